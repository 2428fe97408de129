// Package admin serves a host's metrics, health checks and documents in force
// over HTTP, for operators and their tools.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

const (
	headerTimeout  = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// Paths of the health checks and the metrics.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
)

// Config configures a Server. All fields are required.
type Config struct {
	// Metrics provides the metrics, which are served in the Prometheus text
	// format.
	Metrics prometheus.Gatherer
	// Ready returns nil if the host forwards packets, otherwise the reason why it
	// does not.
	Ready func() error
	// Documents returns the list of the documents in force.
	Documents func() document.InForceList
}

// Server is the HTTP server on the admin address.
type Server struct {
	mux  *http.ServeMux
	http *http.Server
}

// New returns a server with the endpoints of cfg. It accepts no connections
// before Serve.
func New(cfg Config) *Server {
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(cfg.Metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET "+ReadyPath, readyHandler(cfg.Ready))
	mux.HandleFunc("GET "+document.InForcePath, documentsHandler(cfg.Documents))
	return &Server{mux: mux, http: &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
}

// Handle registers a handler for a pattern of http.ServeMux. It must be called
// before Serve.
func (s *Server) Handle(pattern string, h http.Handler) {
	s.mux.Handle(pattern, h)
}

// Serve serves connections from listener until Close, after which it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "admin")
}

// Close shuts the server down and waits until requests in progress have ended or
// ctx is done.
func (s *Server) Close(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

func readyHandler(ready func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		writeText(w, http.StatusOK, "ready")
	}
}

func documentsHandler(list func() document.InForceList) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has closed the connection.
		_ = json.NewEncoder(w).Encode(list())
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write error means that the client has closed the connection.
	_, _ = w.Write([]byte(text + "\n"))
}
