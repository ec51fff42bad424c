package disabledservers

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lockRetryInterval = 2 * time.Millisecond // another process holds the lock for about a millisecond

	// Suffixes of the lock files. Processes of other builds lock the same files, so the suffixes must not change.
	queueFileEnding = ".turn"
	lockFileEnding  = ".lock"
)

// lockFiles prevents other processes from writing the file at path until unlock is called. It locks the queue file
// first and holds it while it waits for the lock file, so that a process that writes repeatedly can't starve a waiting
// one.
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

// lockFile opens and locks a file; closing the file unlocks it. The error is ErrLockTimeout if the file stays locked
// until the deadline.
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
