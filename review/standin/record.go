package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes the lines of record.txt, each with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// logf writes one line.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// sayf writes one line to the record and to standard output.
func (r *record) sayf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// at returns the seconds from the start to a time.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
