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
	l := &workload{
		caller: c, service: service, udp: cmd.Bool("udp"), requests: cmd.Int("requests"),
		bytes: cmd.Int("bytes"), interval: cmd.Duration("interval"), timeout: cmd.Duration("timeout"),
	}
	ctx, stop := context.WithCancel(ctx)
	go func() {
		l.run(ctx, cmd.Int("flows"))
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
func (l *workload) run(ctx context.Context, flows int) {
	var wg sync.WaitGroup
	for i := range flows {
		wg.Go(func() {
			if l.udp {
				l.runDatagrams(ctx, i)
				return
			}
			l.runConnection(ctx, i)
		})
	}
	wg.Wait()
	stats := l.caller.Stats()
	printEvent("done", "answered", l.answered.Load(), "refused", l.refused.Load(), "broken", l.broken.Load(),
		"retransmitted", stats.Retransmitted, "bad_resets", stats.BadResets)
}

// request returns the text of a request; its first word is a unique ID.
func (l *workload) request(flow, n int) string {
	id := fmt.Sprintf("%s-%d-%d ", l.caller.Addr(), flow, n)
	return id + strings.Repeat("x", max(0, l.bytes-len(id)))
}

func (l *workload) runDatagrams(ctx context.Context, flow int) {
	for n := range l.requests {
		reqCtx, cancel := context.WithTimeout(ctx, l.timeout)
		answer, err := l.caller.Datagram(reqCtx, l.service, l.request(flow, n))
		cancel()
		l.report(flow, n, answer, err)
		if !l.pause(ctx) {
			return
		}
	}
}

func (l *workload) runConnection(ctx context.Context, flow int) {
	reqCtx, cancel := context.WithTimeout(ctx, l.timeout)
	conn, err := l.caller.Dial(reqCtx, l.service)
	cancel()
	if err != nil {
		l.report(flow, 0, caller.Answer{}, err)
		return
	}
	for n := range l.requests {
		reqCtx, cancel := context.WithTimeout(ctx, l.timeout)
		answer, err := conn.Request(reqCtx, l.request(flow, n))
		cancel()
		l.report(flow, n, answer, err)
		if err != nil || !l.pause(ctx) {
			conn.Abandon()
			return
		}
	}
	reqCtx, cancel = context.WithTimeout(ctx, l.timeout)
	defer cancel()
	if err := conn.Close(reqCtx); err != nil {
		l.report(flow, l.requests, caller.Answer{}, err)
	}
}

// pause waits for the interval between requests; it returns false if ctx is done.
func (l *workload) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(l.interval):
		return true
	}
}

// report counts the result of one request and prints it as an event.
func (l *workload) report(flow, n int, answer caller.Answer, err error) {
	switch {
	case err == nil:
		l.answered.Add(1)
		printEvent("answer", "flow", flow, "request", n, "target", answer.Target)
	case errors.Is(err, caller.ErrRefused), errors.Is(err, caller.ErrUnreachable):
		l.refused.Add(1)
		printEvent("refused", "flow", flow, "request", n, "error", fmt.Sprintf("%q", err.Error()))
	default:
		l.broken.Add(1)
		printEvent("broken", "flow", flow, "request", n, "error", fmt.Sprintf("%q", err.Error()))
	}
}
