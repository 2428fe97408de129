package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/protocol/explain"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// ErrNoAnswer means that the packet path did not answer a question in time: Run does
// not run, or the host is overloaded.
var ErrNoAnswer = errors.New("the packet path does not answer")

// question is a request for the placement of an opening of a flow. The packet path
// sends the result.
type question struct {
	flow   packet.Flow
	result chan explanation // has room for the result
}

type explanation struct {
	answer *explain.Answer
	err    error
}

// Explain says where an opening of a flow would be placed now, and why. Run computes
// the answer between two packets, since it owns the state.
func (s *Server) Explain(ctx context.Context, flow packet.Flow) (*explain.Answer, error) {
	s.questionMu.Lock()
	defer s.questionMu.Unlock()
	q := &question{flow: flow, result: make(chan explanation, 1)}
	s.question.Store(q)
	// The error is ignored: it means that the socket is closed.
	_ = s.conn.SetReadDeadline(time.Now())
	select {
	case r := <-q.result:
		return r.answer, r.err
	case <-ctx.Done():
		s.question.CompareAndSwap(q, nil)
		return nil, ErrNoAnswer
	}
}

// answer computes the answer to a question and sends it.
func (s *Server) answer(now time.Duration, q *question) {
	s.question.CompareAndSwap(q, nil)
	var r explanation
	r.answer, r.err = s.cfg.Steering.Explain(now, q.flow)
	if r.err == nil && s.appliedLoads != nil {
		r.answer.Ages = append(r.answer.Ages, explain.Age{Name: "loads", Seconds: (now - s.appliedLoadsAt).Seconds()})
	}
	q.result <- r
}
