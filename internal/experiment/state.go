package experiment

import (
	"os"
	"path/filepath"
)

// playStateFault changes the files that routers have stored. They are deleted, damaged by one byte in the middle, or
// restored after the fault's duration to their content at its beginning. Running routers get no notice.
func (w *runState) playStateFault(f Fault, hit []int, halt chan struct{}) {
	switch f.Kind {
	case "state-lost":
		for _, n := range hit {
			w.fail(eachFile(w.routerNodes[n].folder, func(path string) error { return os.Remove(path) }))
		}
	case "state-damaged":
		for _, n := range hit {
			w.fail(eachFile(w.routerNodes[n].folder, flipByte))
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
			w.fail(writeAtomically(path, text))
		}
	}
	w.recordEvent("%s of routers %v", f.Kind, hit)
}

// eachFile calls act for all files of a folder. It ignores files that are deleted meanwhile.
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

// flipByte flips a bit of the byte in the middle of a file.
func flipByte(path string) error {
	text, err := os.ReadFile(path)
	if err != nil || len(text) == 0 {
		return err
	}
	text[len(text)/2] ^= 0x20
	return os.WriteFile(path, text, 0o600)
}
