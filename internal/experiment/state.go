package experiment

import (
	"os"
	"path/filepath"
)

// causeAtState does something to what routers have stored: it is lost, damaged in the middle of each file, or put back after the fault's
// length as it was at its beginning. A router that runs is not told.
func (w *world) playStateFault(f Fault, hit []int, halt chan struct{}) {
	switch f.Kind {
	case "state-lost":
		for _, n := range hit {
			w.fail(eachFile(w.routerNodes[n].folder, func(path string) error { return os.Remove(path) }))
		}
	case "state-damaged":
		for _, n := range hit {
			w.fail(eachFile(w.routerNodes[n].folder, damage))
		}
	case "state-old":
		kept := map[string][]byte{}
		for _, n := range hit {
			w.fail(eachFile(w.routerNodes[n].folder, func(path string) (err error) {
				kept[path], err = os.ReadFile(path)
				return err
			}))
		}
		w.recordEvent("%s of routers %v is copied", f.Kind, hit)
		w.waitUntil(f.At+f.For, halt)
		for path, text := range kept {
			w.fail(replace(path, text))
		}
	}
	w.recordEvent("%s of routers %v", f.Kind, hit)
}

// eachFile acts on all files of a folder; one that goes meanwhile is no fault.
func eachFile(folder string, act func(path string) error) error {
	all, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		return err
	}
	for _, path := range all {
		info, gone := os.Lstat(path)
		if gone != nil || !info.Mode().IsRegular() {
			continue
		}
		if err = act(path); err != nil && !os.IsNotExist(err) {
			return err
		}
	}
	return nil
}

// damage changes a byte in the middle of a file.
func damage(path string) error {
	text, err := os.ReadFile(path)
	if err != nil || len(text) == 0 {
		return err
	}
	text[len(text)/2] ^= 0x20
	return os.WriteFile(path, text, 0o600)
}
