package disabledservers

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// maxFileSize bounds what is read of the file, in bytes: an id has 256 at most, and a line break.
const maxFileSize = maxDisabled * 257

// parse returns the entries of the file, one a line.
func parse(text []byte) (ids []string) {
	for line := range strings.Lines(string(text)) {
		id := strings.TrimSpace(line)
		if id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// format returns the file's text, a line an entry.
func format(ids []string) []byte {
	return []byte(strings.Join(append(slices.Clip(ids), ""), "\n"))
}

// readFile returns the file, up to a byte beyond maxFileSize. A file of another user is treated as missing.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if !ownedByThisUser(info) {
		return nil, os.ErrNotExist
	}
	return io.ReadAll(io.LimitReader(file, maxFileSize+1))
}

// ownedByThisUser guards against files that others put into a folder that they may write to: they must not disable
// servers.
func ownedByThisUser(info os.FileInfo) bool {
	stat, known := info.Sys().(*syscall.Stat_t)
	return known && int(stat.Uid) == os.Getuid()
}

// writeFile replaces the file as a whole. The text is on the disk before it gets the name, so that a machine that
// stops does not leave an empty file.
func (r *Registry) writeFile(text []byte) error {
	file, err := os.CreateTemp(filepath.Dir(r.path), filepath.Base(r.path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name()) // fails where the rename succeeded
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	err = errors.Join(err, file.Close())
	if err != nil {
		return err
	}
	err = os.Rename(file.Name(), r.path)
	if err != nil {
		return err
	}
	r.syncDirectory()
	return nil
}

// syncDirectory puts the file's name on the disk. Both processes see the file whether or not this succeeds, so a
// failure is only logged.
func (r *Registry) syncDirectory() {
	directory, err := os.Open(filepath.Dir(r.path))
	if err != nil {
		return
	}
	err = errors.Join(directory.Sync(), directory.Close())
	if err != nil {
		r.log.Warn().Err(err).Msg("the disabled servers or zones may not survive a crash of this machine")
	}
}
