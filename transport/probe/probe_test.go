package probe

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const goodLoad = "# TYPE target_load_ratio gauge\ntarget_load_ratio 0.5\ntarget_shedding 0\n"

func text(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// hang sends no response until the request is canceled.
func hang(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// hangInBody sends the response headers but no body.
func hangInBody(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

func endlessBody(w http.ResponseWriter, r *http.Request) {
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for r.Context().Err() == nil {
		if _, err := w.Write(line); err != nil {
			return
		}
	}
}

func redirect(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/elsewhere" {
		http.Redirect(w, r, "/elsewhere", http.StatusFound)
	}
}

func TestFaultsOfEndpoints(t *testing.T) {
	cases := []struct {
		name         string
		health, load http.HandlerFunc
		unhealthy    bool
		shedding     bool
		wantLoad     float64
		loadErr      error
	}{
		{"healthy", text(200, "ok"), text(200, goodLoad), false, false, 0.5, nil},
		{"unhealthy", text(503, "no"), text(200, goodLoad), true, false, 0.5, nil},
		{"health missing", text(404, ""), text(200, goodLoad), true, false, 0.5, nil},
		{"health hangs", hang, text(200, goodLoad), true, false, 0.5, nil},
		{"health hangs in its body", hangInBody, text(200, goodLoad), true, false, 0.5, nil},
		{"health endless", endlessBody, text(200, goodLoad), true, false, 0.5, nil},
		{"health redirected", redirect, text(200, goodLoad), true, false, 0.5, nil},
		{"sheds load", text(200, ""), text(200, "target_load_ratio 1\ntarget_shedding 1\n"), false, true, 1, nil},
		{"load hangs", text(200, ""), hang, false, false, -1, context.DeadlineExceeded},
		{"load endless", text(200, ""), endlessBody, false, false, -1, ErrTooLarge},
		{"load is HTML", text(200, ""), text(200, "<html><body>hi</body></html>"), false, false, -1, ErrContent},
		{"load empty", text(200, ""), text(200, ""), false, false, -1, ErrContent},
		{"load not a number", text(200, ""), text(200, "target_load_ratio NaN\n"), false, false, -1, ErrContent},
		{"load negative", text(200, ""), text(200, "target_load_ratio -3\n"), false, false, -1, ErrContent},
		{"load over 1", text(200, ""), text(200, "target_load_ratio 17\n"), false, false, 1, nil},
		{"load is a histogram", text(200, ""), text(200, "# TYPE target_load_ratio histogram\ntarget_load_ratio_sum 1\ntarget_load_ratio_count 1\n"), false, false, -1, ErrContent},
		{"load returns 500", text(200, ""), text(500, goodLoad), false, false, -1, ErrStatus},
		{"sheds load with load 0", text(200, ""), text(200, "target_load_ratio 0\ntarget_shedding 1\n"), false, true, 0, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			health, load := httptest.NewServer(c.health), httptest.NewServer(c.load)
			defer health.Close()
			defer load.Close()
			checker := NewChecker(Config{Timeout: 100 * time.Millisecond, MaxBytes: 16 << 10})
			r := checker.Check(context.Background(), 7*time.Second, Target{ID: 3, HealthURL: health.URL, LoadURL: load.URL})
			is.Equal(r.Target, uint64(3))
			is.Equal(r.Report.At, 7*time.Second)
			is.Equal(r.Report.Unhealthy, c.unhealthy)
			is.Equal(r.HealthErr != nil, c.unhealthy) // an unhealthy target has an error
			is.Equal(r.Report.Shedding, c.shedding)
			is.Equal(r.Report.Load, c.wantLoad)
			is.True(errors.Is(r.LoadErr, c.loadErr))
		})
	}
}

func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	gone := httptest.NewServer(text(200, ""))
	gone.Close()
	r := NewChecker(Config{}).Check(context.Background(), 0, Target{HealthURL: gone.URL})
	is.True(r.Report.Unhealthy)
	is.Equal(r.Report.Load, -1.0)
	is.NoErr(r.LoadErr) // it was not queried
}

func TestManagerChecksCurrentTargets(t *testing.T) {
	is := is.New(t)
	var flip atomic.Int64
	flapping := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if flip.Add(1)%2 == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer flapping.Close()
	hung := httptest.NewServer(http.HandlerFunc(hang))
	defer hung.Close()
	results := make(chan Result, 64)
	clock := func() time.Duration { return time.Second }
	m := NewManager(Config{Interval: time.Millisecond, Timeout: time.Minute, Seed: 1}, clock, func(r Result) { results <- r })
	m.Set([]Target{{ID: 1, HealthURL: flapping.URL}, {ID: 2, HealthURL: hung.URL}, {ID: 3}})
	healthy, unhealthy := 0, 0
	for healthy < 2 || unhealthy < 2 {
		r := <-results
		is.Equal(r.Target, uint64(1)) // the hanging target delays no other
		if r.Report.Unhealthy {
			unhealthy++
		} else {
			healthy++
		}
	}
	done := make(chan struct{})
	go func() { m.Close(); close(done) }()
	for open := true; open; {
		select {
		case <-results:
		case <-done:
			open = false
		}
	}
	is.Equal(len(m.running), 0)
}

func TestJitterBounds(t *testing.T) {
	for _, c := range []struct {
		uniform float64
		want    time.Duration
	}{{0, 750 * time.Millisecond}, {0.5, time.Second}, {1, 1250 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.uniform), func(t *testing.T) {
			is.New(t).Equal(jittered(time.Second, c.uniform), c.want)
		})
	}
}
