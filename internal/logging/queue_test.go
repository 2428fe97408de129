package logging

import (
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/internal/fakes/buffer"
)

// A pipe that nobody reads must block neither the logging goroutine nor the end
// of the process. Lost lines are counted.
func TestFullPipeDoesNotBlock(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	defer func() { _ = r.Close() }()
	q := NewQueue(w)
	log := New(q, zerolog.InfoLevel)
	done := make(chan error)
	go func() {
		line := strings.Repeat("x", 200)
		for range 20 * maxQueuedLines {
			log.Info().Str("event", "host_started").Str("text", line).Send()
		}
		done <- q.Close()
	}()
	select {
	case err := <-done:
		is.True(err != nil) // queued lines are lost
	case <-time.After(time.Minute):
		t.Fatal("logging blocks on the full pipe")
	}
	is.True(q.Dropped() > 0)
}

func TestCloseWritesQueuedLines(t *testing.T) {
	is := is.New(t)
	var out buffer.Buffer
	q := NewQueue(&out)
	for range 100 {
		_, err := io.WriteString(q, "line\n")
		is.NoErr(err)
	}
	is.NoErr(q.Close())
	is.Equal(strings.Count(out.String(), "line\n"), 100)
}

// slowWriter takes its time for each line until it is released.
type slowWriter struct{ release chan struct{} }

func (w slowWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// Guards against a counter that goes down once the queue drains.
func TestDroppedLinesNeverDecrease(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	q := NewQueue(slowWriter{release})
	for range 3 * maxQueuedLines {
		_, err := io.WriteString(q, "line\n")
		is.NoErr(err)
	}
	before := q.Dropped()
	is.True(before > 0)
	close(release)
	is.NoErr(q.Close())
	is.True(q.Dropped() >= before)
}
