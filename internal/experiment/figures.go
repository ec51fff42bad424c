package experiment

import (
	"math"

	"bendtrestle/internal/emulator"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures is a run in numbers. Shares are of the benefit that was asked for by operations due after the settling time;
// times are milliseconds from when an operation was due.
type Figures struct {
	Operations   int                      `json:"operations"`
	Whole        float64                  `json:"benefit_in_time"`      // part of the benefit that came within the promised time
	Worst        float64                  `json:"worst_spell"`          // the same in the worst spell
	Spell        float64                  `json:"spell_s"`              // how long that is: 10 s, or a third of a shorter run
	WorstType    float64                  `json:"worst_type"`           // the same for the traffic type that fares worst
	WorstName    string                   `json:"worst_type_name"`      //
	Late         float64                  `json:"finished_late"`        // parts of the operations
	Declined     float64                  `json:"declined"`             //
	Terminated   float64                  `json:"terminated"`           // by a router's answer
	Unserved     float64                  `json:"unserved"`             // no answer, no connection, or the client left
	Tries        float64                  `json:"tries_an_operation"`   //
	Executions   float64                  `json:"executions_an_op"`     //
	Fetches      float64                  `json:"fetches_an_operation"` // reads of the origin
	P50          float64                  `json:"p50_ms"`
	P90          float64                  `json:"p90_ms"`
	P99          float64                  `json:"p99_ms"`
	P999         float64                  `json:"p999_ms"`
	DeclinedP99  float64                  `json:"declined_p99_ms"` // from when the last try was sent until the answer
	RouterCPU    float64                  `json:"router_cpu_us"`   // processor time of all routers for each try
	RouterMemory float64                  `json:"router_memory_mb"`
	LabLate      float64                  `json:"lab_late_p99_ms"`
	LabLateMost  float64                  `json:"lab_late_most_ms"`
	SendLate     float64                  `json:"send_late_p99_ms"` // how much later than due operations began
	Halts        int                      `json:"origin_halts"`
	Types        map[string]TypeFigures   `json:"types"`
	Tenants      map[string]TenantFigures `json:"tenants,omitempty"`
	Course       []Second                 `json:"course"`
	Burnt        int                      `json:"burnt"` // what routers wrote where relays let nothing through
	Exits        []Exit                   `json:"exits,omitempty"`
	Recoveries   []Recovery               `json:"recoveries,omitempty"`
}

// TypeFigures is one traffic type.
type TypeFigures struct {
	Operations int     `json:"operations"`
	InTime     float64 `json:"in_time"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
}

// Second is one second of a run, by when operations were due and executions came.
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

// histogram keeps times from 0.01 ms to 100 s, to 3 digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }

func record(h *hdrhistogram.Histogram, seconds float64) {
	h.RecordValue(min(10_000_000, max(1, int64(seconds*1e5)))) // within the bounds, so there is no error
}

func ms(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / 100
}

// Reckon makes the figures of a run.
func Reckon(s *Scenario, rec *Records) Figures {
	f := Figures{Types: map[string]TypeFigures{}}
	from, to := rec.From+s.Settle, rec.To
	seconds := int(math.Ceil(to - rec.From))
	f.Course = make([]Second, max(seconds, 1))
	second := func(at float64) *Second {
		i := int(at - rec.From)
		if at < rec.From || i >= len(f.Course) {
			return nil
		}
		return &f.Course[i]
	}
	all, declined := histogram(), histogram()
	byType := map[string]*hdrhistogram.Histogram{}
	asked, gained := map[string]float64{}, map[string]float64{}
	counts, inTime := map[string]int{}, map[string]int{}
	var dues, worths, gains []float64
	for _, o := range rec.Clients.Ops {
		any, timely := o.Served()
		sec := second(o.Due)
		if sec != nil {
			sec.count(o, any, timely)
		}
		if o.Due < from || o.Due > to {
			continue
		}
		name := o.Type.Name
		if byType[name] == nil {
			byType[name] = histogram()
		}
		f.Operations++
		f.Tries += float64(len(o.Tries))
		counts[name]++
		asked[name] += o.Type.Benefit
		gain := 0.0
		switch {
		case timely:
			gain = o.Type.Benefit
			inTime[name]++
		case any:
			f.Late++
		case o.How == emulator.Declined:
			f.Declined++
		case o.How == emulator.Terminated:
			f.Terminated++
		default:
			f.Unserved++
		}
		if any {
			record(all, o.Took())
			record(byType[name], o.Took())
		}
		if last := o.Tries[len(o.Tries)-1]; o.How == emulator.Declined && last.Sent > 0 {
			record(declined, last.Ended-last.Sent)
		}
		gained[name] += gain
		dues, worths, gains = append(dues, o.Due), append(worths, o.Type.Benefit), append(gains, gain)
	}
	n := max(1, float64(f.Operations))
	f.Late, f.Declined, f.Terminated, f.Unserved, f.Tries = f.Late/n, f.Declined/n, f.Terminated/n, f.Unserved/n, f.Tries/n
	f.Whole, f.WorstType = share(sum(gained), sum(asked)), 1
	for name := range asked {
		if x := share(gained[name], asked[name]); x <= f.WorstType {
			f.WorstType, f.WorstName = x, name
		}
		h := byType[name]
		f.Types[name] = TypeFigures{Operations: counts[name], InTime: float64(inTime[name]) / float64(counts[name]), P50: ms(h, 50), P99: ms(h, 99)}
	}
	f.Spell = min(10, (to-from)/3)
	f.Worst = worst(dues, worths, gains, from, to, f.Spell)
	f.P50, f.P90, f.P99, f.P999, f.DeclinedP99 = ms(all, 50), ms(all, 90), ms(all, 99), ms(all, 99.9), ms(declined, 99)
	for _, x := range rec.Fleet.Executions {
		if x.First >= from && x.First <= to {
			f.Executions++
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
			f.Fetches++
		}
		if sec := second(x.At); sec != nil {
			sec.Fetches++
		}
	}
	f.Executions, f.Fetches = f.Executions/n, f.Fetches/n
	tries := 0
	for _, o := range rec.Clients.Ops {
		tries += len(o.Tries)
	}
	for _, l := range rec.Lives {
		f.RouterCPU += l.CPU
		f.RouterMemory = max(f.RouterMemory, l.MaxMemoryMB)
	}
	f.RouterCPU *= 1e6 / max(1, float64(tries))
	f.LabLate = max(rec.FleetLate.Part(0.99), rec.ClientsLate.Part(0.99)) * 1e3
	f.LabLateMost = max(rec.FleetLate.Part(1), rec.ClientsLate.Part(1)) * 1e3
	sends := emulator.Lateness{Times: rec.Clients.Lateness}
	f.SendLate = sends.Part(0.99) * 1e3
	f.Halts = len(rec.Fleet.Halts)
	f.Tenants = tenants(s, rec)
	f.Burnt, f.Exits = len(rec.Burnt), exits(s, rec)
	f.Recoveries = recoveries(s, rec)
	return f
}

func (s *Second) count(o *emulator.Op, any, timely bool) {
	s.Due++
	switch {
	case timely:
		s.InTime++
	case any:
		s.Late++
	case o.How == emulator.Declined:
		s.Declined++
	case o.How == emulator.Terminated:
		s.Terminated++
	default:
		s.Unserved++
	}
}

func share(a, b float64) float64 {
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

// worst is the least share of any spell that begins at a tenth of a second.
func worst(dues, worths, gains []float64, from, to, spell float64) float64 {
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
