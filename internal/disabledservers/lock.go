package disabledservers

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lockRetryInterval = 2 * time.Millisecond // the other process writes for about a millisecond

	// Endings of the lock files. Processes of other builds lock the same ones, so they never change.
	queueFileEnding = ".turn"
	lockFileEnding  = ".lock"
)

// lockFiles keeps other processes from writing the file at path until unlock is called. It takes the queue's file
// first, and holds it while it waits for the lock: a process that writes again and again cannot get the lock before
// one that waits.
func lockFiles(path string, deadline time.Time) (unlock func(), err error) {
	queue, err := lockFile(path+queueFileEnding, deadline)
	if err != nil {
		return nil, err
	}
	defer queue.Close()
	lock, err := lockFile(path+lockFileEnding, deadline)
	if err != nil {
		return nil, err
	}
	return func() { lock.Close() }, nil
}

// lockFile opens and locks a file; closing it unlocks it. The error is ErrLockTimeout where another process holds it.
func lockFile(path string, deadline time.Time) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			return file, nil
		}
		if err != unix.EWOULDBLOCK && err != unix.EINTR {
			break
		}
		if !time.Now().Before(deadline) {
			err = ErrLockTimeout
			break
		}
		time.Sleep(lockRetryInterval)
	}
	file.Close()
	return nil, err
}
