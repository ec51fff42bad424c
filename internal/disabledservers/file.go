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

// maxFileSize bounds the bytes read from the file: an id has at most 256, followed by a line break.
const maxFileSize = maxDisabled * 257

// parse returns the entries of the file, one on each line.
func parse(text []byte) (ids []string) {
	for line := range strings.Lines(string(text)) {
		id := strings.TrimSpace(line)
		if id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// format returns the file's text, with a line for each entry.
func format(ids []string) []byte {
	return []byte(strings.Join(append(slices.Clip(ids), ""), "\n"))
}

// readFile returns the content of the file, at most one byte more than maxFileSize. A file of another user counts as
// missing.
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

// ownedByThisUser guards against files that other users create in a shared folder: other users must not be able to
// disable servers.
func ownedByThisUser(info os.FileInfo) bool {
	stat, known := info.Sys().(*syscall.Stat_t)
	return known && int(stat.Uid) == os.Getuid()
}

// writeFile replaces the file atomically. The text is synced to disk before the rename, so that a crash of the machine
// does not leave an empty file.
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

// syncDirectory syncs the rename to disk. All processes see the new file even if this fails, so a failure is only
// logged.
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
