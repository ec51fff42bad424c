package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"bendtrestle/internal/experiment/faultproxy"
)

// ZoneLoss is the effect of one loss of a zone or a region, as recorded by the relays, the emulated servers and the
// clients.
type ZoneLoss struct {
	Fault           string  `json:"fault"`
	At              float64 `json:"at"`
	WastedWrites    int     `json:"burnt"`           // writes of routers to the lost servers, if relays cut the connections
	WritingRouters  int     `json:"senders"`         // routers with such writes
	FirstLeft       float64 `json:"first_left_s"`    // seconds from the loss until the first of them stopped, but for trial attempts
	LastLeft        float64 `json:"last_left_s"`     // the same for the last of them
	LostAfterLoss   float64 `json:"benefit_lost"`    // fraction of the benefit that was lost in the first 10 s of the loss ...
	LostAfterReturn float64 `json:"lost_after_heal"` // ... and in the 10 s after its end
	ReturnSeconds   float64 `json:"back_s"`          // seconds from its end to 90% of the zone's earlier rate of executions
	MostFetches     float64 `json:"most_fetches"`    // most fetches from the origin in one of the 10 s after its end
	OriginRate      float64 `json:"origin_bears"`    // fetches a second that the origin sustains
}

const (
	observedSeconds = 10.0 // of the time after a loss and after its end, for which losses and fetches are counted
	quietSeconds    = 0.4  // a router that writes nothing for this long has left: before, it wrote several times a second
)

// computeZoneLosses returns the effect of each fault that removes a zone or a region.
func computeZoneLosses(s *Scenario, rec *Records) (all []ZoneLoss) {
	for _, f := range s.Faults {
		t, err := s.parseGroup(f.Target, nil)
		if err != nil || !slices.Contains([]string{"part", "vanish", "crash"}, f.Kind) || len(f.Target) < 5 || f.Target[:4] != "zone" && f.Target[:4] != "regi" {
			continue
		}
		until := rec.To
		begin, end := rec.From+f.At, rec.From+f.At+f.For
		for _, next := range s.Faults {
			if at := rec.From + next.At; at > end {
				until = min(until, at)
			}
		}
		x := ZoneLoss{Fault: f.Kind + " " + f.Target, At: f.At, OriginRate: float64(s.Ledger.AtOnce) / (s.Ledger.TakesMS / 1e3),
			LostAfterLoss: lostBetween(rec, begin, min(begin+observedSeconds, end)), LostAfterReturn: lostBetween(rec, end, min(end+observedSeconds, until))}
		x.computeLeaving(rec, t, begin, end)
		in := func(zone string) bool { return t(faultproxy.End{Kind: faultproxy.Server, Zone: zone}) }
		x.computeReturn(rec, in, begin, end, until)
		all = append(all, x)
	}
	return all
}

// lostBetween returns the fraction of the benefit lost to late or missing answers, of the requests due between two
// times.
func lostBetween(rec *Records, from, to float64) float64 {
	asked, gained := 0.0, 0.0
	for _, o := range rec.Clients.Requests {
		if o.Due >= from && o.Due < to {
			asked += o.Type.Benefit
			if _, timely := o.Served(); timely {
				gained += o.Type.Benefit
			}
		}
	}
	return 1 - fraction(gained, asked)
}

func (x *ZoneLoss) computeLeaving(rec *Records, in func(faultproxy.End) bool, begin, end float64) {
	last, done := map[int]float64{}, map[int]bool{}
	for _, b := range rec.WastedWrites {
		if b.At < begin || b.At >= end || !in(b.To) || in(faultproxy.End{Kind: faultproxy.Router, Number: b.Router}) {
			continue
		}
		x.WastedWrites++
		if at, sent := last[b.Router]; sent && b.At-at > quietSeconds {
			done[b.Router] = true // later writes are trial attempts
		}
		if !done[b.Router] {
			last[b.Router] = b.At
		}
	}
	x.WritingRouters = len(last)
	for _, at := range last {
		if x.LastLeft = max(x.LastLeft, at-begin); x.FirstLeft == 0 || at-begin < x.FirstLeft {
			x.FirstLeft = at - begin
		}
	}
}

func (x *ZoneLoss) computeReturn(rec *Records, in func(zone string) bool, begin, end, until float64) {
	const slice = 0.5
	before, n := 0.0, 0
	counts := make([]float64, int(max(0, until-end)/slice))
	for _, e := range rec.Fleet.Executions {
		if !in(e.Server.Zone) {
			continue
		}
		if e.First >= begin-2 && e.First < begin {
			before += slice / 2
			n++
		}
		if i := int((e.First - end) / slice); e.First >= end && i < len(counts) {
			counts[i]++
		}
	}
	x.ReturnSeconds = until - end
	for i, c := range counts {
		if n > 0 && c >= 0.9*before {
			x.ReturnSeconds = float64(i+1) * slice
			break
		}
	}
	fetches := make([]float64, int(observedSeconds))
	for _, e := range rec.Fleet.Fetches {
		if i := int(e.At - end); e.At >= end && i < len(fetches) {
			fetches[i]++
		}
	}
	x.MostFetches = slices.Max(fetches)
}

func meanZoneLoss(f Figures, of func(ZoneLoss) float64) (x float64) {
	for _, e := range f.ZoneLosses {
		x += of(e) / float64(len(f.ZoneLosses))
	}
	return x
}

func printZoneLosses(out io.Writer, all []ZoneLoss) {
	if len(all) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "loss\tat s\tburnt\tby routers\tfirst left s\tlast left s\tlost in 10 s\tlost after\tback s\tmost fetches/s\torigin bears\t")
	for _, x := range all {
		fmt.Fprintf(w, "%s\t%.1f\t%d\t%d\t%.2f\t%.2f\t%.4f\t%.4f\t%.1f\t%.0f\t%.0f\t\n", x.Fault, x.At, x.WastedWrites, x.WritingRouters, x.FirstLeft, x.LastLeft, x.LostAfterLoss,
			x.LostAfterReturn, x.ReturnSeconds, x.MostFetches, x.OriginRate)
	}
	w.Flush()
}
