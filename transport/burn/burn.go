// Package burn counts a balancer's good and bad events against the service-level
// objectives and serves the counts over HTTP.
package burn

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/jujubehaven/jujubehaven/state/slo"
)

// Config configures Handler. All fields are required.
type Config struct {
	Store *slo.Store
	// Host and Zone identify the balancer in the report.
	Host, Zone string
	// Clock returns the monotonic time to which the store is advanced.
	Clock func() time.Duration
}

// Handler serves GET and HEAD requests with a report.Balancer in JSON. It should
// be registered at report.BurnPath.
func Handler(cfg Config) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "only GET is served here", http.StatusMethodNotAllowed)
			return
		}
		body, err := json.Marshal(cfg.Store.Report(cfg.Clock(), cfg.Host, cfg.Zone))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		// A write error means that the client has closed the connection.
		_, _ = w.Write(body)
	})
}
