package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"bendtrestle/internal/emulator"
	"bendtrestle/internal/tiles"
)

// operators returns the text of a router's operators' file with the scenario's pools and teams. Each team's budget is
// multiplied by its factor.
func (s *Scenario) operators(lists, tileFront func(name string) string, factors map[string]float64, zones, recovery bool) string {
	var b strings.Builder
	others := s.Broker.Others
	if others == "" {
		others = "platform"
	}
	fmt.Fprintf(&b, "[broker]\nothers = %q\n", others)
	if recovery {
		fmt.Fprintf(&b, "\n[recovery]\non = true\n")
	}
	if zones {
		fmt.Fprintf(&b, "\n[zones]\non = true\n")
		for _, r := range s.Regions {
			text, _ := json.Marshal(r.Zones)
			fmt.Fprintf(&b, "\n[[region]]\nname = %q\nzones = %s\n", r.Name, text)
		}
	}
	for _, p := range s.Pools {
		fmt.Fprintf(&b, "\n[[pool]]\nname = %q\ndiscovery = %q\ncapacity = %v\nconnections = %v\n", p.Name, lists(p.Name), p.Capacity, p.Connections)
		if p.Scheme != "" {
			fmt.Fprintf(&b, "protocol = \"tiles\"\nscheme = %q\n", p.Scheme)
		}
	}
	for _, t := range s.Teams {
		factor, known := factors[t.Name]
		if !known {
			factor = 1
		}
		budget, burst := t.Budget*factor, t.Budget*factor
		if t.Burst != nil {
			burst = *t.Burst
		}
		if s.Broker.Budgets == "none" { // a budget that no team reaches
			budget, burst = 1e6, 1e6
		}
		fmt.Fprintf(&b, "\n[[team]]\nname = %q\npool = %q\nbudget = %v\nburst = %v\nborrow = %v\nweight = %v\n", t.Name, t.Pool, budget, burst,
			t.Borrow, t.Weight)
		if !s.hasTiles(t.Name) {
			fmt.Fprintf(&b, "tenant = %q\n", t.Name)
		}
		if addr := tileFront(t.Name); s.hasTiles(t.Name) {
			fmt.Fprintf(&b, "listen = %q\n[team.tiles]\ntitle = \"Maps\"\nwait_header = %q\n[[team.tiles.layer]]\nname = \"roads\"\ntitle = \"Roads\"\n",
				addr, emulator.WaitHeader)
		}
		for _, k := range s.Types {
			if k.Tenant == t.Name {
				fmt.Fprintf(&b, "[[team.type]]\nname = %q\neffect = %q\ngroup = %q\nwindow = %v\npromised_ms = %v\nhard_stop_ms = %v\nbenefit = %v\n",
					k.Name, k.Effect, k.Group, k.Window, k.PromisedMS, k.HardStopMS, k.Benefit)
				for key, places := range map[string][]string{"runs_in": k.RunsIn, "allowed_on": k.AllowedOn} {
					if places != nil {
						text, _ := json.Marshal(places) // JSON and TOML have the same syntax for lists of strings
						fmt.Fprintf(&b, "%s = %s\n", key, text)
					}
				}
			}
		}
	}
	return b.String()
}

// hasTiles reports whether a team has traffic classes of map tiles.
func (s *Scenario) hasTiles(team string) bool {
	return slices.ContainsFunc(s.Types, func(k TypePart) bool { return k.Tenant == team && k.Scheme != "" })
}

// Layers returns the tile service of the emulated tile servers and of the routers: one layer of roads.
func Layers() *tiles.Service {
	return tiles.New("Maps", []*tiles.Layer{{Name: "roads", Title: "Roads", Formats: []string{"png"}, Styles: []string{"default"},
		Sets: []string{tiles.Google}, MaxZoom: 18}}, nil)
}

// TenantFigures are the figures of one tenant.
type TenantFigures struct {
	Requests      int     `json:"operations"`
	BenefitInTime float64 `json:"benefit_in_time"`
	Declined      float64 `json:"declined"`        // fraction of its requests whose last attempt was declined
	DeclinedP99   float64 `json:"declined_p99_ms"` // of all declined attempts, from when they were sent
	Load          float64 `json:"load"`            // seconds of executions at servers per second, from the first fault's begin to the last one's end
	Budget        float64 `json:"budget,omitempty"`
}

// computeTenants computes the figures of each tenant.
func computeTenants(s *Scenario, rec *Records) map[string]TenantFigures {
	from, to := rec.From+s.Settle, rec.To
	first, last := to, from
	for _, f := range s.Faults {
		first, last = min(first, rec.From+f.At), max(last, rec.From+f.At+f.For)
	}
	if first >= last {
		first, last = from, to
	}
	asked, gained, all := map[string]float64{}, map[string]float64{}, map[string]TenantFigures{}
	declineSeconds, tenantOf := map[string][]float64{}, map[string]string{} // by attempt id: tile servers have no tenants
	for _, o := range rec.Clients.Requests {
		name := o.Type.Tenant
		if name == "" || o.Due < from || o.Due > to {
			continue
		}
		f := all[name]
		f.Requests++
		asked[name] += o.Type.Benefit
		if _, timely := o.Served(); timely {
			gained[name] += o.Type.Benefit
		}
		if o.End == emulator.Rejected {
			f.Declined++
		}
		for _, t := range o.Attempts {
			tenantOf[t.ID] = name
			if t.End == emulator.Rejected && t.Sent > 0 {
				declineSeconds[name] = append(declineSeconds[name], t.Ended-t.Sent)
			}
		}
		all[name] = f
	}
	for _, x := range rec.Fleet.Executions {
		name := tenantOf[x.ID]
		if f, there := all[name]; there && x.First >= first && x.First < last && x.End > x.First {
			f.Load += (x.End - x.First) / (last - first)
			all[name] = f
		}
	}
	for name, f := range all {
		f.Declined /= float64(f.Requests)
		f.BenefitInTime = fraction(gained[name], asked[name])
		times := emulator.Lateness{Times: declineSeconds[name]}
		f.DeclinedP99 = times.Quantile(0.99) * 1e3
		if i := slices.IndexFunc(s.Teams, func(t TeamPart) bool { return t.Name == name }); i >= 0 {
			f.Budget = s.Teams[i].Budget
		}
		all[name] = f
	}
	return all
}

// HasControlScenario reports whether a scenario is also played without some of its faults.
func (s *Scenario) HasControlScenario() bool { return len(s.Control) > 0 }

// ControlScenario returns the control scenario: this one without the kinds of fault in Control.
func (s *Scenario) ControlScenario() *Scenario {
	c := *s
	c.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return slices.Contains(s.Control, f.Kind) })
	c.Control = nil
	return &c
}

// PrintTenants writes the figures of each tenant beside those of the control run without the faults. The two slices are
// paired by seed.
func PrintTenants(out io.Writer, with, control []Result) {
	if len(with) == 0 || len(with[0].Figures.Tenants) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tseed\toperations\tin time\twithout the fault\tdifference\tdeclined\tdeclines p99 ms\tload s/s\tbudget s/s\tpart of it\t")
	for _, name := range slices.Sorted(maps.Keys(with[0].Figures.Tenants)) {
		var sum float64
		for i, r := range with {
			f := r.Figures.Tenants[name]
			before, difference, part := "-", "-", "-"
			if i < len(control) {
				x := control[i].Figures.Tenants[name].BenefitInTime
				before, difference = fmt.Sprintf("%.4f", x), fmt.Sprintf("%+.4f", f.BenefitInTime-x)
				sum += f.BenefitInTime - x
			}
			if f.Budget > 0 {
				part = fmt.Sprintf("%.3f", f.Load/f.Budget)
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%.4f\t%s\t%s\t%.4f\t%.1f\t%.3f\t%.3f\t%s\t\n", name, r.Seed, f.Requests, f.BenefitInTime, before, difference,
				f.Declined, f.DeclinedP99, f.Load, f.Budget, part)
		}
		if len(control) > 1 {
			fmt.Fprintf(w, "%s\tall\t\t\t\t%+.4f\t\t\t\t\t\t\n", name, sum/float64(len(control)))
		}
	}
	w.Flush()
}
