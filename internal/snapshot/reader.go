package snapshot

import (
	"bytes"
	"errors"
	"io"
	"os"
	"syscall"
)

// unusableEnding is put behind the name of a copy that cannot be used. Pages for operators name it.
const unusableEnding = ".cannot-be-used"

// newestCopy returns the newest copy that can be used, or the store as it is. The others are renamed and logged.
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

// setAside keeps a copy that cannot be used for people to look at.
func (s *Store) setAside(path string, reason error) {
	s.mu.Lock()
	s.stats.SetAside++
	s.mu.Unlock()
	renamed := os.Rename(path, path+unusableEnding)
	s.log.Warn().Err(errors.Join(reason, renamed)).Str("file", path).
		Msg("a copy of the snapshot cannot be used and is put aside")
}

// readCopy reads a copy, of which no more than maxCopySize is held in memory.
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
	var text bytes.Buffer
	length, err := io.Copy(&text, io.LimitReader(file, maxCopySize+1))
	if err != nil {
		return content{}, err
	}
	if length > maxCopySize {
		return content{}, tooLarge()
	}
	return decode(text.Bytes(), owner)
}

// ownedByThisUser guards against files that others put into a folder that they may write to.
func ownedByThisUser(info os.FileInfo) bool {
	stat, known := info.Sys().(*syscall.Stat_t)
	return known && int(stat.Uid) == os.Getuid()
}
