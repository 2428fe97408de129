package tokenhost

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/protocol/explain"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

const (
	// explanationsPerSecond and explanationBurst limit the questions that the packet
	// path answers, as it handles no packets in the meantime.
	explanationsPerSecond = 5
	explanationBurst      = 5
	// explanationTimeout limits the wait for the packet path, which answers between
	// two packets.
	explanationTimeout = time.Second
)

// explainHandler serves the explanations of a host.
type explainHandler struct {
	host *Host
	// name is the name of the host, which Reload does not change.
	name    string
	limiter *rate.Limiter
}

func newExplainHandler(h *Host) *explainHandler {
	return &explainHandler{host: h, name: h.settings.Host, limiter: rate.NewLimiter(explanationsPerSecond, explanationBurst)}
}

// ServeHTTP implements http.Handler.
func (e *explainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	flow, assumed, err := parseExplainQuery(r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, explain.Problem{Error: err.Error()})
		return
	}
	if !e.limiter.Allow() {
		writeJSON(w, http.StatusTooManyRequests, explain.Problem{Error: "too many questions; this host answers 5 a second"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explanationTimeout)
	defer cancel()
	answer, err := e.host.packets.Explain(ctx, flow)
	if err != nil {
		writeJSON(w, explainStatus(err), explain.Problem{Error: err.Error()})
		return
	}
	answer.Host, answer.CallerAssumed = e.name, assumed
	age := e.host.clock() - e.host.follower.Stats().LastUpdate
	answer.Ages = append(answer.Ages, explain.Age{Name: "store", Seconds: age.Seconds()})
	writeJSON(w, http.StatusOK, answer)
}

// parseExplainQuery returns the flow that a question is about, and whether its caller
// is assumed because the question names none.
func parseExplainQuery(r *http.Request) (flow packet.Flow, assumed bool, err error) {
	query := r.URL.Query()
	to, err := netip.ParseAddrPort(query.Get(explain.ToParameter))
	if err != nil {
		return flow, false, errors.Wrap(err, explain.ToParameter)
	}
	flow.Service = packet.NewEndpoint(to, packet.ProtoTCP)
	from := netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
	if text := query.Get(explain.FromParameter); text != "" {
		if from, err = netip.ParseAddrPort(text); err != nil {
			return flow, false, errors.Wrap(err, explain.FromParameter)
		}
	} else {
		assumed = true
	}
	flow.Caller, flow.CallerPort = from.Addr().As16(), from.Port()
	return flow, assumed, nil
}

// explainStatus returns the HTTP status for an error of the packet path.
func explainStatus(err error) int {
	if errors.Is(err, steering.ErrNoRoute) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
