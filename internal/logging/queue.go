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

// Queue is a writer that never waits for the one below it: lines that it can't
// take are dropped and counted.
type Queue struct {
	writer diode.Writer
	// taken and written count lines that came in and that went out.
	taken, written atomic.Int64
}

// counting counts what is written and hides the writer's Close: standard
// output stays open.
type counting struct {
	io.Writer
	lines *atomic.Int64
}

// Write implements io.Writer.
func (c counting) Write(line []byte) (int, error) {
	n, err := c.Writer.Write(line)
	c.lines.Add(1)
	return n, err
}

// NewQueue returns a queue in front of a writer.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{}
	q.writer = diode.NewWriter(counting{out, &q.written}, queueLines, 0, nil)
	return q
}

// Write implements io.Writer.
func (q *Queue) Write(line []byte) (int, error) {
	q.taken.Add(1)
	return q.writer.Write(line)
}

// Dropped returns how many lines were dropped, at least: those that neither
// went out nor can wait.
func (q *Queue) Dropped() int64 { return max(0, q.taken.Load()-q.written.Load()-queueLines) }

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
