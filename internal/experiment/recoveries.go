package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"bendtrestle/internal/emulator"
)

// Recovery describes the return to full service after routers were killed, as recorded by the clients and the emulated
// servers.
type Recovery struct {
	Fault                     string  `json:"fault"`
	At                        float64 `json:"at"`
	Started                   float64 `json:"started"`        // when the last new process started, in seconds of the run
	FullServiceSeconds        float64 `json:"full_service_s"` // from then until two seconds in a row had 98% of the fraction in time before
	Never                     bool    `json:"never"`          // not reached in the run, or not before the next fault of this kind
	BenefitLost               float64 `json:"benefit_lost"`   // fraction of the benefit lost from the fault until full service
	MostHandshakesAtOneServer int     `json:"handshakes"`     // most connections that one server accepted in a second, from the fault on
	MostHandshakes            int     `json:"handshakes_all"` // most connections that all servers together accepted in a second
	MostFetches               int     `json:"most_fetches"`   // most reads and writes at the origin in a second
}

const fullServiceFraction = 0.98 // of the benefit in time before a fault; above it, service is full again

func computeRecoveries(s *Scenario, rec *Records) (all []Recovery) {
	for i, f := range s.Faults {
		if f.Kind != "router-kill" {
			continue
		}
		begin, until := rec.From+f.At, rec.To
		for _, next := range s.Faults[i+1:] {
			if next.Kind == f.Kind && rec.From+next.At > begin {
				until = min(until, rec.From+next.At)
			}
		}
		r := Recovery{Fault: "router-kill " + f.Target, At: f.At}
		started := begin
		for _, l := range rec.Processes {
			if l.From >= begin && l.From < until {
				started = max(started, l.From)
			}
		}
		r.Started = started - rec.From
		before := 1 - lostBetween(rec, begin-2, begin)
		r.Never = true
		for at := started; at+2 <= until; at += 0.1 {
			if 1-lostBetween(rec, at, at+1) >= fullServiceFraction*before && 1-lostBetween(rec, at+1, at+2) >= fullServiceFraction*before {
				r.FullServiceSeconds, r.Never = at-started, false
				break
			}
		}
		if r.Never {
			r.FullServiceSeconds = until - started
		}
		r.BenefitLost = lostBetween(rec, begin, started+r.FullServiceSeconds)
		r.MostHandshakesAtOneServer, r.MostHandshakes = mostAccepts(rec.Fleet.Accepts, begin, until)
		var fetches []float64
		for _, x := range rec.Fleet.Fetches {
			if x.At >= begin && x.At < until {
				fetches = append(fetches, x.At)
			}
		}
		r.MostFetches = mostInASecond(fetches)
		all = append(all, r)
	}
	return all
}

func mostAccepts(all []emulator.Accept, from, to float64) (one, sum int) {
	by := map[*emulator.Server][]float64{}
	var times []float64
	for _, a := range all {
		if a.At >= from && a.At < to {
			by[a.Server] = append(by[a.Server], a.At)
			times = append(times, a.At)
		}
	}
	for _, mine := range by {
		one = max(one, mostInASecond(mine))
	}
	return one, mostInASecond(times)
}

func mostInASecond(times []float64) (most int) {
	slices.Sort(times)
	first := 0
	for i, at := range times {
		for at-times[first] > 1 {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func meanRecovery(f Figures, of func(Recovery) float64) (x float64) {
	for _, r := range f.Recoveries {
		x += of(r) / float64(len(f.Recoveries))
	}
	return x
}

func printRecoveries(out io.Writer, all []Recovery) {
	if len(all) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "fault\tat s\tlast start s\tfull service after s\tlost until then\thandshakes/s, one server\tall\tmost fetches/s\t")
	for _, r := range all {
		full := fmt.Sprintf("%.1f", r.FullServiceSeconds)
		if r.Never {
			full = "never"
		}
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%s\t%.4f\t%d\t%d\t%d\t\n", r.Fault, r.At, r.Started, full, r.BenefitLost, r.MostHandshakesAtOneServer, r.MostHandshakes, r.MostFetches)
	}
	w.Flush()
}
