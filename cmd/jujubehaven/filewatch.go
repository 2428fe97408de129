package main

import (
	"os"
	"time"
)

// fileCheckInterval is the time between two looks at the settings file, which
// may change without a signal.
const fileCheckInterval = 2 * time.Second

// fileWatch notices that a file was replaced or written.
type fileWatch struct {
	path    string
	changed time.Time
	size    int64
}

// newFileWatch remembers the file as it is. An empty path never changes.
func newFileWatch(path string) *fileWatch {
	w := &fileWatch{path: path}
	w.Changed()
	return w
}

// Changed reports whether the file differs from the last call. A file that
// can't be read counts as unchanged until it can be.
func (w *fileWatch) Changed() bool {
	if w.path == "" {
		return false
	}
	info, err := os.Stat(w.path)
	if err != nil || (info.ModTime().Equal(w.changed) && info.Size() == w.size) {
		return false
	}
	w.changed, w.size = info.ModTime(), info.Size()
	return true
}
