package snapshot

import (
	"bytes"
	"errors"
	"io"
	"os"
	"syscall"
)

// unusableEnding is appended to the name of a copy that cannot be used. The documentation for operators mentions it.
const unusableEnding = ".cannot-be-used"

// newestCopy returns the content of the newest usable copy, or the store's current content if there is none. Unusable
// copies are renamed and logged.
func (s *Store) newestCopy() content {
	newest := s.content
	for slot := range copies {
		path := s.copyPath(slot)
		c, err := readCopy(path, s.owner)
		switch {
		case errors.Is(err, os.ErrNotExist):
		case err != nil:
			s.setAside(path, err)
		case c.Number > newest.Number:
			newest = c
		}
	}
	return newest
}

// setAside renames an unusable copy, so that an operator can examine it.
func (s *Store) setAside(path string, reason error) {
	s.mu.Lock()
	s.stats.SetAside++
	s.mu.Unlock()
	renameErr := os.Rename(path, path+unusableEnding)
	s.log.Warn().Err(errors.Join(reason, renameErr)).Str("file", path).
		Msg("a copy of the snapshot cannot be used and is renamed")
}

// readCopy reads and decodes a copy. It reads at most one byte more than maxCopySize.
func readCopy(path, owner string) (content, error) {
	file, err := os.Open(path)
	if err != nil {
		return content{}, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return content{}, err
	}
	if !info.Mode().IsRegular() || !ownedByThisUser(info) {
		return content{}, ErrOtherUser
	}
	var data bytes.Buffer
	length, err := io.Copy(&data, io.LimitReader(file, maxCopySize+1))
	if err != nil {
		return content{}, err
	}
	if length > maxCopySize {
		return content{}, tooLarge()
	}
	return decode(data.Bytes(), owner)
}

// ownedByThisUser guards against files that other users create in a shared folder.
func ownedByThisUser(info os.FileInfo) bool {
	stat, known := info.Sys().(*syscall.Stat_t)
	return known && int(stat.Uid) == os.Getuid()
}
