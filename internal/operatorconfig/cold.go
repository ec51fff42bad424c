package operatorconfig

// Cold says up to how many routers keep no more for a cold server, all together, than what is put down to chance. With more each keeps a
// request for it, so that it is used as its budget allows; a demand that comes from all at once may then be too much for it.
type Cold struct {
	Routers int `toml:"routers"`
}

const (
	usualRouters = 64     // beyond it servers that start are used far less than they bear (docs/design.md)
	mostRouters  = 100000 // more than any fleet has
)

// checkCold tells every fault of it.
func (f *File) checkCold() {
	if n := f.Cold.Routers; n < 1 || n > mostRouters {
		f.from.Fault("cold.routers", "%v is not from 1 to %v, a number of routers", n, mostRouters)
	}
}
