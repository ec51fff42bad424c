package hotrestart

import (
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
)

// Path returns the path of a file that the processes of a router share, in a directory that all of them can access. The
// name of the file is derived from the address that clients connect to; its extension tells the files of a router
// apart. Path returns "" if the directory does not exist.
func Path(dir, listenAddr, extension string) string {
	info, err := os.Stat(dir)
	if dir == "" || err != nil || !info.IsDir() {
		return ""
	}
	return filepath.Join(dir, fmt.Sprintf("bendtrestle-%08x.%s", crc32.ChecksumIEEE([]byte(listenAddr)), extension))
}
