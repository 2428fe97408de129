package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog/diode"
)

// closeTimeout bounds how long the last lines may take.
const closeTimeout = 500 * time.Millisecond

// queueLines is how many lines may wait for a slow reader of the log.
const queueLines = 2000

// unclosed hides a writer's Close: standard output stays open.
type unclosed struct{ io.Writer }

// Queue is a writer that never waits for the one below it: lines that it can't
// take are dropped and counted.
type Queue struct {
	writer  diode.Writer
	dropped atomic.Int64
}

// NewQueue returns a queue in front of a writer.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{}
	q.writer = diode.NewWriter(unclosed{out}, queueLines, 0, func(missed int) { q.dropped.Add(int64(missed)) })
	return q
}

// Write implements io.Writer.
func (q *Queue) Write(line []byte) (int, error) { return q.writer.Write(line) }

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits, for as long as closeTimeout.
func (q *Queue) Close() error {
	done := make(chan error, 1)
	go func() { done <- q.writer.Close() }()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return errors.New("the log's reader does not read; lines are lost")
	}
}
