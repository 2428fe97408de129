package main

import (
	"os"
	"time"
)

// fileCheckInterval is the time between two checks of the settings file, which
// may change without a signal.
const fileCheckInterval = 2 * time.Second

// fileWatch detects that a file was replaced or written. It compares the file's
// modification time and size.
type fileWatch struct {
	path     string
	modified time.Time
	size     int64
}

// newFileWatch records the current state of the file. With an empty path, Changed
// always returns false.
func newFileWatch(path string) *fileWatch {
	w := &fileWatch{path: path}
	w.Changed()
	return w
}

// Changed reports whether the file has changed since the last call. A file that
// can't be read counts as unchanged.
func (w *fileWatch) Changed() bool {
	if w.path == "" {
		return false
	}
	info, err := os.Stat(w.path)
	if err != nil || (info.ModTime().Equal(w.modified) && info.Size() == w.size) {
		return false
	}
	w.modified, w.size = info.ModTime(), info.Size()
	return true
}
