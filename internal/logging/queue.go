package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog/diode"
)

// closeTimeout limits the time that Close waits for queued lines to be written.
const closeTimeout = 500 * time.Millisecond

// maxQueuedLines is the number of lines that the queue holds for a slow writer.
const maxQueuedLines = 2000

// Queue is a writer that never blocks on the underlying writer. When the queue
// overflows, older lines that are not yet written are dropped and counted.
type Queue struct {
	writer diode.Writer
	// received counts the lines passed to Write, written those that reached the
	// underlying writer.
	received, written atomic.Int64
	// dropped is the last result of Dropped.
	dropped atomic.Int64
}

// countingWriter counts the lines written. It hides the Close method of the
// underlying writer, so that closing the queue leaves standard output open.
type countingWriter struct {
	io.Writer
	lines *atomic.Int64
}

// Write implements io.Writer.
func (c countingWriter) Write(line []byte) (int, error) {
	n, err := c.Writer.Write(line)
	c.lines.Add(1)
	return n, err
}

// NewQueue returns a queue that writes to out from its own goroutine.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{}
	q.writer = diode.NewWriter(countingWriter{out, &q.written}, maxQueuedLines, 0, nil)
	return q
}

// Write implements io.Writer.
func (q *Queue) Write(line []byte) (int, error) {
	q.received.Add(1)
	return q.writer.Write(line)
}

// Dropped returns a lower bound of the number of dropped lines, which never
// decreases. It assumes that the queue is full, since the lines not yet written may
// still be queued.
func (q *Queue) Dropped() int64 {
	bound := q.received.Load() - q.written.Load() - maxQueuedLines
	for {
		last := q.dropped.Load()
		if bound <= last || q.dropped.CompareAndSwap(last, bound) {
			return max(bound, last)
		}
	}
}

// Close writes the queued lines. It returns an error if that takes longer than
// closeTimeout.
func (q *Queue) Close() error {
	done := make(chan error, 1)
	go func() { done <- q.writer.Close() }()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return errors.New("log output is blocked; queued lines are lost")
	}
}
