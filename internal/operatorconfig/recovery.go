package operatorconfig

// Recovery says whether a router keeps in its folder what helps its next process.
type Recovery struct {
	On bool `toml:"on"`
}
