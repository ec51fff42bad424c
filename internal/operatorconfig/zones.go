package operatorconfig

import "slices"

// Zones switches on zone failover: a zone is evacuated and restored as a whole, automatically or by an operator.
type Zones struct {
	On bool `toml:"on"`
}

// Region is a group of zones with shared dependencies. They are restored one after another, in this order.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

func (f *File) checkRegions() {
	var names []string
	regionOf := map[string]string{} // by zone
	for i, region := range f.Regions {
		key := keyIn("region.%d", i)
		f.checkName(key("name"), region.Name)
		if slices.Contains(names, region.Name) {
			f.toml.Fault(key("name"), "duplicate name %q", region.Name)
		}
		names = append(names, region.Name)
		if len(region.Zones) == 0 {
			f.toml.Fault(key("zones"), "empty; a region has one or more zones, named as in the endpoint list")
		}
		for _, zone := range region.Zones {
			f.checkName(key("zones"), zone)
			other, duplicate := regionOf[zone]
			if duplicate {
				f.toml.Fault(key("zones"), "%q is already in region %q; a zone belongs to one region only", zone, other)
			}
			regionOf[zone] = region.Name
		}
	}
	if len(f.Regions) > 0 && !f.Zones.On {
		f.toml.Fault("region", "regions have no effect while zones.on is false")
	}
}

// RegionZones returns the zones of each region, in the order in which they are restored.
func (f *File) RegionZones() (all [][]string) {
	for _, region := range f.Regions {
		all = append(all, region.Zones)
	}
	return all
}
