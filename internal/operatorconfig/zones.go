package operatorconfig

import (
	"fmt"
	"slices"
)

// Zones says whether zones are left and returned to as one, by evidence and by hand.
type Zones struct {
	On bool `toml:"on"`
}

// Region is zones that share what they depend on: they return one after another, in this order.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// checkRegions tells every fault of regions.
func (f *File) checkRegions() {
	names, in := []string{}, map[string]string{}
	for i, r := range f.Regions {
		key := func(k string) string { return fmt.Sprintf("region.%d.%s", i, k) }
		f.word(key("name"), r.Name)
		if slices.Contains(names, r.Name) {
			f.from.Fault(key("name"), "%q is there twice", r.Name)
		}
		names = append(names, r.Name)
		if len(r.Zones) == 0 {
			f.from.Fault(key("zones"), "names none; a region is one zone or more, as the list of servers names them")
		}
		for _, z := range r.Zones {
			f.word(key("zones"), z)
			if other, twice := in[z]; twice {
				f.from.Fault(key("zones"), "%q is in region %q already; a zone is in one region", z, other)
			}
			in[z] = r.Name
		}
	}
	if len(f.Regions) > 0 && !f.Zones.On {
		f.from.Fault("region", "regions do nothing while zones.on is false")
	}
}

// Groups gives the zones of each region, in the order of their return.
func (f *File) Groups() (all [][]string) {
	for _, r := range f.Regions {
		all = append(all, r.Zones)
	}
	return all
}
