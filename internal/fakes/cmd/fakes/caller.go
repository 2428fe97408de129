package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/internal/fakes/caller"
)

func callerCommand() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "open flows, send requests and check the answers",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "fabric", Required: true, Usage: "`ADDRESS:PORT` of the fabric"},
			&cli.StringFlag{Name: "addr4", Value: "192.0.2.7", Usage: "IPv4 `ADDRESS` of the callers"},
			&cli.StringFlag{Name: "addr6", Value: "2001:db8::7", Usage: "IPv6 `ADDRESS` of the callers"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "`ADDRESS:PORT` to call"},
			&cli.BoolFlag{Name: "udp", Usage: "send UDP requests in place of TCP connections"},
			&cli.IntFlag{Name: "flows", Value: 1, Usage: "flows that are open at once"},
			&cli.IntFlag{Name: "requests", Value: 1, Usage: "requests on each flow"},
			&cli.IntFlag{Name: "bytes", Value: 100, Usage: "length of a request"},
			&cli.DurationFlag{Name: "interval", Usage: "pause between the requests of a flow"},
			&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second, Usage: "longest wait for one answer"},
		},
		Action: runCaller,
	}
}

// workload runs the flows of one caller process and counts their results.
type workload struct {
	caller   *caller.Caller
	service  netip.AddrPort
	udp      bool
	requests int
	bytes    int
	interval time.Duration
	timeout  time.Duration

	answered, refused, broken atomic.Uint64
}

func runCaller(ctx context.Context, cmd *cli.Command) error {
	c, err := newCaller(cmd)
	if err != nil {
		return err
	}
	service, err := addrFlag(cmd, "service")
	if err != nil {
		return err
	}
	w := &workload{
		caller: c, service: service, udp: cmd.Bool("udp"), requests: cmd.Int("requests"),
		bytes: cmd.Int("bytes"), interval: cmd.Duration("interval"), timeout: cmd.Duration("timeout"),
	}
	ctx, stop := context.WithCancel(ctx)
	go func() {
		w.run(ctx, cmd.Int("flows"))
		stop()
	}()
	return serve(ctx, c)
}

func newCaller(cmd *cli.Command) (*caller.Caller, error) {
	listen, err := addrFlag(cmd, "listen")
	if err != nil {
		return nil, err
	}
	fabric, err := addrFlag(cmd, "fabric")
	if err != nil {
		return nil, err
	}
	addr4, err := netip.ParseAddr(cmd.String("addr4"))
	if err != nil {
		return nil, errors.Wrap(err, "--addr4")
	}
	addr6, err := netip.ParseAddr(cmd.String("addr6"))
	if err != nil {
		return nil, errors.Wrap(err, "--addr6")
	}
	return caller.New(caller.Config{Listen: listen, Fabric: fabric, Addr4: addr4, Addr6: addr6})
}

// run runs the flows concurrently and prints the totals.
func (w *workload) run(ctx context.Context, flows int) {
	var wg sync.WaitGroup
	for i := range flows {
		wg.Go(func() {
			if w.udp {
				w.runDatagrams(ctx, i)
				return
			}
			w.runConnection(ctx, i)
		})
	}
	wg.Wait()
	stats := w.caller.Stats()
	printEvent("done", "answered", w.answered.Load(), "refused", w.refused.Load(), "broken", w.broken.Load(),
		"retransmitted", stats.Retransmitted, "bad_resets", stats.BadResets)
}

// request returns the text of a request; its first word is a unique ID.
func (w *workload) request(flow, n int) string {
	id := fmt.Sprintf("%s-%d-%d ", w.caller.Addr(), flow, n)
	return id + strings.Repeat("x", max(0, w.bytes-len(id)))
}

func (w *workload) runDatagrams(ctx context.Context, flow int) {
	for n := range w.requests {
		reqCtx, cancel := context.WithTimeout(ctx, w.timeout)
		answer, err := w.caller.Datagram(reqCtx, w.service, w.request(flow, n))
		cancel()
		w.report(flow, n, answer, err)
		if !w.pause(ctx) {
			return
		}
	}
}

func (w *workload) runConnection(ctx context.Context, flow int) {
	reqCtx, cancel := context.WithTimeout(ctx, w.timeout)
	conn, err := w.caller.Dial(reqCtx, w.service)
	cancel()
	if err != nil {
		w.report(flow, 0, caller.Answer{}, err)
		return
	}
	for n := range w.requests {
		reqCtx, cancel := context.WithTimeout(ctx, w.timeout)
		answer, err := conn.Request(reqCtx, w.request(flow, n))
		cancel()
		w.report(flow, n, answer, err)
		if err != nil || !w.pause(ctx) {
			conn.Abandon()
			return
		}
	}
	reqCtx, cancel = context.WithTimeout(ctx, w.timeout)
	defer cancel()
	if err := conn.Close(reqCtx); err != nil {
		w.report(flow, w.requests, caller.Answer{}, err)
	}
}

// pause waits for the interval between requests; it returns false if ctx is done.
func (w *workload) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(w.interval):
		return true
	}
}

// report counts the result of one request and prints it as an event.
func (w *workload) report(flow, n int, answer caller.Answer, err error) {
	switch {
	case err == nil:
		w.answered.Add(1)
		printEvent("answer", "flow", flow, "request", n, "target", answer.Target)
	case errors.Is(err, caller.ErrRefused), errors.Is(err, caller.ErrUnreachable):
		w.refused.Add(1)
		printEvent("refused", "flow", flow, "request", n, "error", fmt.Sprintf("%q", err.Error()))
	default:
		w.broken.Add(1)
		printEvent("broken", "flow", flow, "request", n, "error", fmt.Sprintf("%q", err.Error()))
	}
}
