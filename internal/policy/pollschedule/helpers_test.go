package pollschedule

import (
	"math"
	"math/rand/v2"
)

// fate is what becomes of a call: "told" a list without the news, "failed", "old" for a list that is behind, or "hangs" for ever.
type fate struct {
	what  string
	after float64 // seconds from its beginning
}

// end is a call that is out.
type end struct {
	number int
	fate
	at float64
}

// list is a list service: the first calls are fated, those that begin later are answered with the news, so long after they began.
// What it answers in the first seconds is behind what is known, and the first calls that could be answered may be turned away.
type list struct {
	fates        []fate
	answer, lags float64
	turned       int
}

// play has a rhythm call a list service. The news was there, and the service to be reached, from right after the last of the fated
// calls began: no other moment is as long before the next. It gives how long after that the first of the others began, how long until
// the news was told, and how many calls that took.
func play(r Schedule, l list) (begun, told float64, calls int) {
	c, out, timer, there := Calls{Schedule: r}, []end(nil), 0.0, math.Inf(1)
	begun = math.Inf(1)
	drop := func(numbers ...int) {
		for _, n := range numbers {
			for i := len(out) - 1; i >= 0; i-- {
				if out[i].number == n {
					out = append(out[:i], out[i+1:]...)
				}
			}
		}
	}
	begin := func(now float64) {
		number, _, late, life := c.Begin(now)
		f := fate{"news", l.answer}
		if calls < len(l.fates) {
			f = l.fates[calls]
		} else {
			begun = min(begun, now-there)
			if calls < len(l.fates)+l.turned {
				f = fate{"failed", 0.003}
			}
		}
		if calls++; calls == len(l.fates) {
			there = now
		}
		if f.what == "hangs" || f.after > life {
			f = fate{"failed", life}
		}
		out, timer = append(out, end{number, f, now + f.after}), now+late
	}
	for range 1000 {
		first := -1
		for i, e := range out {
			if e.at <= timer && (first < 0 || e.at < out[first].at) {
				first = i
			}
		}
		if first < 0 {
			now := timer
			dropped, wait, _ := c.Overdue(now)
			if drop(dropped); wait > 0 {
				timer = now + wait
				continue
			}
			begin(now)
			continue
		}
		e := out[first]
		drop(e.number)
		if !c.Ended(e.number) {
			continue
		}
		if e.what == "news" && e.at < l.lags {
			e.what = "old"
		}
		switch e.what {
		case "news":
			return begun, e.at - there, calls
		case "told":
			drop(c.Told()...)
			begin(e.at)
		default:
			timer = e.at + c.Failed(e.at, e.what == "old")
		}
	}
	return begun, math.Inf(1), calls
}

// sequences calls f with each sequence of so many fates at the most, from the shortest on.
func sequences(fates []fate, most int, f func([]fate)) {
	var grow func(to []fate)
	grow = func(to []fate) {
		if len(to) > 0 {
			f(to)
		}
		if len(to) < most {
			for _, next := range fates {
				grow(append(to[:len(to):len(to)], next))
			}
		}
	}
	grow(nil)
}

// crowd has so many routers follow a service on request that is down for 8 s, refusing or silent, and then takes so many calls a second:
// it queues them for 2 s, turns away what would wait longer at a quarter of the price, and goes on with who was answered for nothing.
// It gives when the last has had an answer, counted from the return, and how many calls were turned away.
func crowd(routers int, takes float64, hangs bool) (last float64, turned int) {
	const back, queue, most = 8, 2, 60
	type router struct {
		c         Calls
		number    int
		timer, at float64 // when its call is overdue or its pause over, and when its call ends
		told      bool    // how it ends
	}
	all, busy, left, never := make([]router, routers), 0.0, routers, math.Inf(1)
	chance := rand.New(rand.NewPCG(1, 2))
	call := func(r *router, now float64) {
		number, _, late, _ := r.c.Begin(now)
		r.number, r.timer, r.at, r.told = number, now+late, now+0.001, false
		busy = max(busy, now)
		switch {
		case now < back && hangs:
			r.at = never
		case now < back:
		case busy+1/takes-now <= queue:
			busy += 1 / takes
			r.at, r.told = busy, true
		default:
			busy += 0.25 / takes
			turned++
		}
	}
	for i := range all {
		all[i] = router{c: Calls{Schedule: ForSharedService(10, chance.Uint32())}}
		call(&all[i], back*chance.Float64())
	}
	for left > 0 {
		r := &all[0]
		for i := range all {
			if o := &all[i]; min(o.timer, o.at) < min(r.timer, r.at) {
				r = o
			}
		}
		now := min(r.timer, r.at)
		if now > back+most {
			return never, turned
		}
		if r.at <= now && r.c.Ended(r.number) {
			if r.at = never; !r.told {
				r.timer = now + r.c.Failed(now, false)
				continue
			}
			r.c.Told()
			r.timer, last = never, now-back // its watch goes on
			left--
			continue
		}
		_, wait, _ := r.c.Overdue(now)
		if r.at, r.timer = never, now+wait; wait == 0 {
			call(r, now)
		}
	}
	return last, turned
}
