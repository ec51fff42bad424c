package hotrestart

import (
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
)

// Path names a file that the processes of a router share, in a folder that all of them can reach: by the address that
// the router's clients connect to, and an ending for the file's use. It is empty where there is no such folder.
func Path(folder, listen, ending string) string {
	info, err := os.Stat(folder)
	if folder == "" || err != nil || !info.IsDir() {
		return ""
	}
	return filepath.Join(folder, fmt.Sprintf("bendtrestle-%08x.%s", crc32.ChecksumIEEE([]byte(listen)), ending))
}
