package experiment

import (
	"math"

	"bendtrestle/internal/emulator"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures are the figures of a run. Fractions of the benefit are relative to the benefit of all requests due after the
// settling time. Times are milliseconds since a request was due.
type Figures struct {
	Requests             int                      `json:"operations"`
	BenefitInTime        float64                  `json:"benefit_in_time"` // fraction of the benefit of the answers within the latency objective
	WorstIntervalBenefit float64                  `json:"worst_spell"`     // the same in the worst interval of IntervalSeconds
	IntervalSeconds      float64                  `json:"spell_s"`         // length of that interval: 10 s, or a third of a shorter run
	WorstTypeBenefit     float64                  `json:"worst_type"`      // the same for the traffic class with the lowest fraction
	WorstTypeName        string                   `json:"worst_type_name"`
	Late                 float64                  `json:"finished_late"` // fraction of the requests
	Declined             float64                  `json:"declined"`      // likewise
	Terminated           float64                  `json:"terminated"`    // likewise: answered by a router as failed
	Unserved             float64                  `json:"unserved"`      // likewise: no answer, no connection, or the client gave up
	AttemptsPerRequest   float64                  `json:"tries_an_operation"`
	ExecutionsPerRequest float64                  `json:"executions_an_op"`
	FetchesPerRequest    float64                  `json:"fetches_an_operation"` // reads from the origin per request
	P50                  float64                  `json:"p50_ms"`
	P90                  float64                  `json:"p90_ms"`
	P99                  float64                  `json:"p99_ms"`
	P999                 float64                  `json:"p999_ms"`
	DeclinedP99          float64                  `json:"declined_p99_ms"` // from the sending of the last attempt to its answer
	RouterCPU            float64                  `json:"router_cpu_us"`   // CPU time of all routers per attempt, in microseconds
	RouterMemory         float64                  `json:"router_memory_mb"`
	LabLate              float64                  `json:"lab_late_p99_ms"`
	LabLateMax           float64                  `json:"lab_late_most_ms"`
	SendLate             float64                  `json:"send_late_p99_ms"` // delay between the time at which requests were due and their start
	OriginHalts          int                      `json:"origin_halts"`
	Types                map[string]TypeFigures   `json:"types"`
	Tenants              map[string]TenantFigures `json:"tenants,omitempty"`
	PerSecond            []Second                 `json:"course"`
	WastedWrites         int                      `json:"burnt"` // writes of routers to connections that relays had cut
	ZoneLosses           []ZoneLoss               `json:"exits,omitempty"`
	Recoveries           []Recovery               `json:"recoveries,omitempty"`
}

// TypeFigures are the figures of one traffic class.
type TypeFigures struct {
	Requests int     `json:"operations"`
	InTime   float64 `json:"in_time"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// Second has the counts of one second of a run. Requests count in the second in which they were due, executions in the
// second in which they reached a server.
type Second struct {
	Due        int `json:"due"`
	InTime     int `json:"in_time"`
	Late       int `json:"late"`
	Declined   int `json:"declined"`
	Terminated int `json:"terminated"`
	Unserved   int `json:"unserved"`
	Executions int `json:"executions"`
	Fetches    int `json:"fetches"`
}

// histogram returns a histogram of times from 0.01 ms to 100 s with 3 significant digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }

func recordSeconds(h *hdrhistogram.Histogram, seconds float64) {
	h.RecordValue(min(10_000_000, max(1, int64(seconds*1e5)))) // within the histogram's bounds, so it returns no error
}

func percentileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / 100
}

// ComputeFigures computes the figures of a run.
func ComputeFigures(s *Scenario, rec *Records) Figures {
	f := Figures{Types: map[string]TypeFigures{}}
	from, to := rec.From+s.Settle, rec.To
	seconds := int(math.Ceil(to - rec.From))
	f.PerSecond = make([]Second, max(seconds, 1))
	second := func(at float64) *Second {
		i := int(at - rec.From)
		if at < rec.From || i >= len(f.PerSecond) {
			return nil
		}
		return &f.PerSecond[i]
	}
	all, declined := histogram(), histogram()
	byType := map[string]*hdrhistogram.Histogram{}
	asked, gained := map[string]float64{}, map[string]float64{}
	counts, inTime := map[string]int{}, map[string]int{}
	var dues, worths, gains []float64
	for _, o := range rec.Clients.Requests {
		served, timely := o.Served()
		sec := second(o.Due)
		if sec != nil {
			sec.count(o, served, timely)
		}
		if o.Due < from || o.Due > to {
			continue
		}
		name := o.Type.Name
		if byType[name] == nil {
			byType[name] = histogram()
		}
		f.Requests++
		f.AttemptsPerRequest += float64(len(o.Attempts))
		counts[name]++
		asked[name] += o.Type.Benefit
		gain := 0.0
		switch {
		case timely:
			gain = o.Type.Benefit
			inTime[name]++
		case served:
			f.Late++
		case o.End == emulator.Rejected:
			f.Declined++
		case o.End == emulator.FailedAttempt:
			f.Terminated++
		default:
			f.Unserved++
		}
		if served {
			recordSeconds(all, o.Latency())
			recordSeconds(byType[name], o.Latency())
		}
		if last := o.Attempts[len(o.Attempts)-1]; o.End == emulator.Rejected && last.Sent > 0 {
			recordSeconds(declined, last.Ended-last.Sent)
		}
		gained[name] += gain
		dues, worths, gains = append(dues, o.Due), append(worths, o.Type.Benefit), append(gains, gain)
	}
	n := max(1, float64(f.Requests))
	f.Late, f.Declined, f.Terminated, f.Unserved, f.AttemptsPerRequest = f.Late/n, f.Declined/n, f.Terminated/n, f.Unserved/n, f.AttemptsPerRequest/n
	f.BenefitInTime, f.WorstTypeBenefit = fraction(sum(gained), sum(asked)), 1
	for name := range asked {
		if x := fraction(gained[name], asked[name]); x <= f.WorstTypeBenefit {
			f.WorstTypeBenefit, f.WorstTypeName = x, name
		}
		h := byType[name]
		f.Types[name] = TypeFigures{Requests: counts[name], InTime: float64(inTime[name]) / float64(counts[name]), P50: percentileMS(h, 50), P99: percentileMS(h, 99)}
	}
	f.IntervalSeconds = min(10, (to-from)/3)
	f.WorstIntervalBenefit = worstSpell(dues, worths, gains, from, to, f.IntervalSeconds)
	f.P50, f.P90, f.P99, f.P999, f.DeclinedP99 = percentileMS(all, 50), percentileMS(all, 90), percentileMS(all, 99), percentileMS(all, 99.9), percentileMS(declined, 99)
	for _, x := range rec.Fleet.Executions {
		if x.First >= from && x.First <= to {
			f.ExecutionsPerRequest++
		}
		if sec := second(x.First); sec != nil {
			sec.Executions++
		}
	}
	for _, x := range rec.Fleet.Fetches {
		if x.Write {
			continue
		}
		if x.At >= from && x.At <= to {
			f.FetchesPerRequest++
		}
		if sec := second(x.At); sec != nil {
			sec.Fetches++
		}
	}
	f.ExecutionsPerRequest, f.FetchesPerRequest = f.ExecutionsPerRequest/n, f.FetchesPerRequest/n
	attempts := 0
	for _, o := range rec.Clients.Requests {
		attempts += len(o.Attempts)
	}
	for _, l := range rec.Processes {
		f.RouterCPU += l.CPU
		f.RouterMemory = max(f.RouterMemory, l.MaxMemoryMB)
	}
	f.RouterCPU *= 1e6 / max(1, float64(attempts))
	f.LabLate = max(rec.FleetLate.Quantile(0.99), rec.ClientsLate.Quantile(0.99)) * 1e3
	f.LabLateMax = max(rec.FleetLate.Quantile(1), rec.ClientsLate.Quantile(1)) * 1e3
	sends := emulator.Lateness{Times: rec.Clients.Lateness}
	f.SendLate = sends.Quantile(0.99) * 1e3
	f.OriginHalts = len(rec.Fleet.Halts)
	f.Tenants = computeTenants(s, rec)
	f.WastedWrites, f.ZoneLosses = len(rec.WastedWrites), computeZoneLosses(s, rec)
	f.Recoveries = computeRecoveries(s, rec)
	return f
}

func (s *Second) count(o *emulator.Request, served, timely bool) {
	s.Due++
	switch {
	case timely:
		s.InTime++
	case served:
		s.Late++
	case o.End == emulator.Rejected:
		s.Declined++
	case o.End == emulator.FailedAttempt:
		s.Terminated++
	default:
		s.Unserved++
	}
}

func fraction(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

func sum(m map[string]float64) (x float64) {
	for _, v := range m {
		x += v
	}
	return x
}

// worstSpell returns the least fraction of the benefit in time of all intervals of spell seconds that begin at a
// multiple of 0.1 s.
func worstSpell(dues, worths, gains []float64, from, to, spell float64) float64 {
	if spell <= 0 {
		return 1
	}
	n := int(math.Ceil((to-from)*10)) + 1
	asked, gained := make([]float64, n+1), make([]float64, n+1)
	for i, due := range dues {
		at := min(n, max(0, int((due-from)*10))+1)
		asked[at] += worths[i]
		gained[at] += gains[i]
	}
	for i := 1; i <= n; i++ {
		asked[i] += asked[i-1]
		gained[i] += gained[i-1]
	}
	least, width := 1.0, max(1, int(spell*10))
	for i := width; i <= n; i++ {
		if a := asked[i] - asked[i-width]; a > 0 {
			least = min(least, (gained[i]-gained[i-width])/a)
		}
	}
	return least
}
