package tokenhost

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/jujubehaven/jujubehaven/protocol/explain"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// Guards against a question that places a flow, or that is not answered while the host
// gets no packets.
func TestExplain(t *testing.T) {
	is := is.New(t)
	x := newTestHost(t)
	admin := x.host.settings.Admin
	status, body, err := x.get(admin, "/explain?to=198.18.0.1:80&from=100.64.0.8:41")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	var answer explain.Answer
	is.NoErr(json.Unmarshal([]byte(body), &answer))
	is.Equal(answer.Host, "h1")
	is.Equal(answer.From, "100.64.0.8:41")
	is.Equal(answer.Chosen, "t/1")
	is.Equal(answer.Cause, "placed")
	is.Equal(len(answer.Candidates), 1)
	names := map[string]bool{}
	for _, age := range answer.Ages {
		names[age.Name] = age.Seconds >= 0
	}
	is.True(names["view"] && names["store"])
	is.Equal(x.host.packets.Stats().Flows, uint64(0))
	is.Equal(x.exchange(rawPacket(packet.Opening, "")), "7 ")
	for path, want := range map[string]struct {
		status int
		text   string
	}{
		"/explain":                       {http.StatusBadRequest, "to:"},
		"/explain?to=198.18.0.1":         {http.StatusBadRequest, "to:"},
		"/explain?to=1.2.3.4:5&from=x":   {http.StatusBadRequest, "from:"},
		"/explain?to=198.18.0.1:81":      {http.StatusNotFound, "to 198.18.0.1:81: no route"},
		"/explain?to=[2001:db8::1]:8080": {http.StatusNotFound, "no route"},
	} {
		status, body, err := x.get(admin, path)
		is.NoErr(err)
		is.Equal(status, want.status)
		is.True(strings.Contains(body, want.text))
	}
}

// Guards against a question that blocks or gets a wrong answer because the packet path
// has no view or does not run.
func TestExplainWithoutView(t *testing.T) {
	is := is.New(t)
	x := newIdleTestHost(t)
	t.Cleanup(x.host.Close)
	ask := func() (int, string) {
		w := httptest.NewRecorder()
		newExplainHandler(x.host).ServeHTTP(w, httptest.NewRequest("GET", "/explain?to=198.18.0.1:80", nil))
		return w.Code, w.Body.String()
	}
	status, body := ask()
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "the packet path does not answer"))
	done := make(chan error, 1)
	go func() { done <- x.host.packets.Run() }()
	status, body = ask()
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "no view"))
	x.host.Close()
	is.NoErr(<-done)
}

// Guards against many questions that keep the packet path from handling packets.
func TestExplainIsBounded(t *testing.T) {
	is := is.New(t)
	x := newIdleTestHost(t)
	t.Cleanup(x.host.Close)
	handler := newExplainHandler(x.host)
	handler.limiter = rate.NewLimiter(0, 0)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/explain?to=198.18.0.1:80", nil))
	is.Equal(w.Code, http.StatusTooManyRequests)
	is.True(strings.Contains(w.Body.String(), fmt.Sprint(explanationsPerSecond)))
}

// Guards against concurrent questions that get each other's answers, or that stop the
// handling of packets.
func TestConcurrentQuestions(t *testing.T) {
	is := is.New(t)
	x := newTestHost(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	results := make(chan error, 20)
	for i := range 20 {
		go func() {
			flow := packet.Flow{Caller: service.Addr, CallerPort: uint16(1 + i), Service: service}
			answer, err := x.host.packets.Explain(ctx, flow)
			if err == nil && answer.From != fmt.Sprintf("198.18.0.1:%d", 1+i) {
				err = fmt.Errorf("answer for %s", answer.From)
			}
			results <- err
		}()
	}
	for range 20 {
		is.Equal(x.exchange(rawPacket(packet.Opening, "")), "7 ")
		is.NoErr(<-results)
	}
}
