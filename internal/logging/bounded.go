package logging

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog/diode"
)

// queueLines is how many lines may wait for a slow reader of the log.
const queueLines = 2000

// Queue is a writer that never waits for the one below it: lines that it can't
// take are dropped and counted.
type Queue struct {
	writer  diode.Writer
	dropped atomic.Int64
}

// NewQueue returns a queue in front of a writer.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{}
	q.writer = diode.NewWriter(out, queueLines, 0, func(missed int) { q.dropped.Add(int64(missed)) })
	return q
}

// Write implements io.Writer.
func (q *Queue) Write(line []byte) (int, error) { return q.writer.Write(line) }

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits, and closes the writer below if it can be closed.
func (q *Queue) Close() error { return q.writer.Close() }
