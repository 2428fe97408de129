package admin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

func TestEndpoints(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "flows_total", Help: "Flows."})
	registry.MustRegister(counter)
	notReady := errors.New("no documents in force")
	var state error
	s := New(Config{
		Metrics: registry,
		Ready:   func() error { return state },
		Documents: func() document.InForceList {
			return document.InForceList{Host: "a1", Documents: []document.InForce{{Key: document.ZonesKey, Generation: 4}}}
		},
	})
	s.Handle("GET /extra", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))

	cases := []struct {
		method, path string
		state        error
		status       int
		body         string
	}{
		{"GET", HealthPath, notReady, http.StatusOK, "ok"},
		{"GET", ReadyPath, notReady, http.StatusServiceUnavailable, "no documents in force"},
		{"GET", ReadyPath, nil, http.StatusOK, "ready"},
		{"GET", MetricsPath, nil, http.StatusOK, "flows_total 0"},
		{"GET", document.InForcePath, nil, http.StatusOK, `"generation":4`},
		{"POST", document.InForcePath, nil, http.StatusMethodNotAllowed, ""},
		{"GET", "/extra", nil, http.StatusTeapot, ""},
		{"GET", "/nothing", nil, http.StatusNotFound, ""},
	}
	for _, c := range cases {
		state = c.state
		w := httptest.NewRecorder()
		s.mux.ServeHTTP(w, httptest.NewRequest(c.method, c.path, nil))
		is.Equal(w.Code, c.status)                         // status
		is.True(strings.Contains(w.Body.String(), c.body)) // body
		if c.path == document.InForcePath && c.method == "GET" {
			var list document.InForceList
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &list))
			is.Equal(list.Host, "a1")
		}
	}
}
