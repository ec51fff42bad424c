package operatorconfig

import "slices"

// Zones says whether zones are evacuated and restored as a whole, by evidence and by operators.
type Zones struct {
	On bool `toml:"on"`
}

// Region is zones that share what they depend on: they are restored one after another, in this order.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

func (f *File) checkRegions() {
	var names []string
	regionOf := map[string]string{} // of a zone
	for i, region := range f.Regions {
		key := keyIn("region.%d", i)
		f.checkName(key("name"), region.Name)
		if slices.Contains(names, region.Name) {
			f.toml.Fault(key("name"), "%q is there twice", region.Name)
		}
		names = append(names, region.Name)
		if len(region.Zones) == 0 {
			f.toml.Fault(key("zones"), "names none; a region is one zone or more, as the list of servers names them")
		}
		for _, zone := range region.Zones {
			f.checkName(key("zones"), zone)
			other, twice := regionOf[zone]
			if twice {
				f.toml.Fault(key("zones"), "%q is in region %q already; a zone is in one region", zone, other)
			}
			regionOf[zone] = region.Name
		}
	}
	if len(f.Regions) > 0 && !f.Zones.On {
		f.toml.Fault("region", "regions do nothing while zones.on is false")
	}
}

// RegionZones returns the zones of each region, in the order in which they are restored.
func (f *File) RegionZones() (all [][]string) {
	for _, region := range f.Regions {
		all = append(all, region.Zones)
	}
	return all
}
