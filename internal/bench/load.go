package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/internal/fakes/caller"
)

const (
	// openTimeout, requestTimeout and closeTimeout bound an opening, a request
	// and the close of a flow, retransmissions included.
	openTimeout    = 10 * time.Second
	requestTimeout = 15 * time.Second
	closeTimeout   = 5 * time.Second
	// zoneOutGrace is how long after a zone's return a reset may still result
	// from taking it out.
	zoneOutGrace = 5 * time.Second
)

// load opens the flows of one run and counts their results.
type load struct {
	system *system
	cfg    Config
	wg     sync.WaitGroup

	mu      sync.Mutex
	flows   Flows
	open    int
	opening *hdrhistogram.Histogram
	request *hdrhistogram.Histogram
	// zonesOut holds when each zone that was taken out returned, or the zero time
	// while it is out.
	zonesOut map[string]time.Time
}

func newLoad(s *system) *load {
	return &load{
		system: s, cfg: s.cfg, opening: newHistogram(), request: newHistogram(),
		zonesOut: make(map[string]time.Time),
	}
}

// run opens flows until ctx is done and waits until all have ended.
func (l *load) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 1))
	for next := time.Now(); ctx.Err() == nil; {
		next = next.Add(time.Duration(rng.ExpFloat64() / l.cfg.Rate * float64(time.Second)))
		if !pauseUntil(ctx, next) {
			break
		}
		long := rng.Float64() < l.cfg.LongShare
		length := time.Duration(rng.ExpFloat64() * float64(l.cfg.MeanLength))
		if long {
			length = l.cfg.Duration
		}
		if l.admit() {
			l.wg.Go(func() { l.flow(ctx, length) })
		}
	}
	l.wg.Wait()
}

// pauseUntil waits until a time; it reports false if ctx was done first.
func pauseUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// admit counts an arrival; it reports false if too many flows are open.
func (l *load) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.cfg.MaxFlows {
		l.flows.Skipped++
		return false
	}
	l.open++
	l.flows.Started++
	return true
}

// flow opens one flow, sends requests for the given length and closes it.
func (l *load) flow(ctx context.Context, length time.Duration) {
	defer l.withLock(func() { l.open-- })
	conn, err := l.dial()
	if err != nil {
		l.withLock(func() { l.countOpening(err) })
		return
	}
	l.withLock(func() { l.flows.Opened++ })
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		if err := l.send(conn, i); err != nil {
			conn.Abandon()
			l.withLock(func() { l.countFailure(conn, err) })
			return
		}
		pauseUntil(ctx, earlier(time.Now().Add(l.cfg.Interval), end))
	}
	l.closeFlow(conn)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// withLock runs f with the counters locked.
func (l *load) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *load) dial() (*caller.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	start := time.Now()
	conn, err := l.system.caller.Dial(ctx, service)
	if err == nil {
		l.record(l.opening, start)
	}
	return conn, err
}

func (l *load) send(conn *caller.Conn, i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	start := time.Now()
	_, err := conn.Request(ctx, fmt.Sprintf("%s request %d", conn.Local(), i))
	if err == nil {
		l.record(l.request, start)
	}
	return err
}

// closeFlow closes the flow. A flow that was reset counts as reset or given up,
// and one that is not closed in time as silent.
func (l *load) closeFlow(conn *caller.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := conn.Close(ctx)
	l.withLock(func() {
		if err != nil {
			l.countFailure(conn, err)
			return
		}
		l.flows.Ended++
	})
}

func (l *load) record(h *hdrhistogram.Histogram, start time.Time) {
	micros := min(max(int64(time.Since(start)/time.Microsecond), lowestMicros), highestMicros)
	// A value within the histogram's bounds is always recorded.
	l.withLock(func() { _ = h.RecordValue(micros) })
}

func (l *load) countOpening(err error) {
	if errors.Is(err, caller.ErrRefused) || errors.Is(err, caller.ErrUnreachable) {
		l.flows.Refused++
		return
	}
	l.flows.Unopened++
}

func (l *load) countFailure(conn *caller.Conn, err error) {
	switch {
	case errors.Is(err, caller.ErrReset) && l.zoneWasOut(l.system.zoneOf[conn.Target()]):
		l.flows.GivenUp++
	case errors.Is(err, caller.ErrReset):
		l.flows.Reset++
	case errors.Is(err, caller.ErrCrossed):
		l.flows.Crossed++
	default:
		l.flows.Silent++
	}
}

// setZoneOut records that a zone is out, or was out until now.
func (l *load) setZoneOut(zone string, out bool) {
	l.withLock(func() {
		if out {
			l.zonesOut[zone] = time.Time{}
			return
		}
		l.zonesOut[zone] = time.Now()
	})
}

// zoneWasOut reports whether the zone is out or was until recently, so that its
// flows may have been given up.
func (l *load) zoneWasOut(zone string) bool {
	returnedAt, ok := l.zonesOut[zone]
	return ok && (returnedAt.IsZero() || time.Since(returnedAt) < zoneOutGrace+l.cfg.Interval)
}
