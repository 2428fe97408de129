package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFileWatch(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string, at time.Time) {
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		is.NoErr(os.Chtimes(path, at, at))
	}
	start := time.Now()
	write("a", start)
	w := newFileWatch(path)
	is.True(!w.Changed())
	write("b", start.Add(time.Second))
	is.True(w.Changed())
	is.True(!w.Changed())
	write("cc", start.Add(time.Second)) // same modification time, other size
	is.True(w.Changed())
	is.NoErr(os.Remove(path))
	is.True(!w.Changed())
	write("d", start.Add(2*time.Second))
	is.True(w.Changed())
	is.True(!newFileWatch("").Changed())
}
