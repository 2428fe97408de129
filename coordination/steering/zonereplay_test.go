package steering

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/allotment"
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/overload"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

const (
	zoneSlots      = 2
	zoneQueue      = 8
	zoneWork       = 55 * time.Millisecond
	zoneWorkSpread = 0.5 // sigma of the logarithm of the work
	zoneObjective  = 400 * time.Millisecond
	// callerRoundTrip is the time from a packet to a caller until the caller's
	// next packet reaches its host.
	callerRoundTrip = 6 * time.Millisecond
	// reportInterval is the time between two exchanges of loads; a host knows the
	// loads of the exchange before.
	reportInterval = 200 * time.Millisecond
)

// zoneReplay simulates the hosts of one zone, their common targets and their
// callers in virtual time. Each caller opens a flow for each request.
type zoneReplay struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	hosts []*fixture
	// dead is set for hosts that were killed; callers' flows go on without them.
	dead    []bool
	servers map[fleet.TargetKey]*zoneServer
	// reports holds the loads of the last exchange, by host.
	reports  []map[Token]TargetLoad
	requests []*zoneRequest
	rejected int
	flows    int
	// share returns the hosts' shares of the slots at an exchange, nil without
	// allotments.
	share func() []allotment.Share
	// work returns the service time of the next request.
	work func() time.Duration
	// route is the service address of the next request.
	route func() packet.Endpoint
	// routeWork returns the service time of a request of a route, in place of
	// work for the routes in it.
	routeWork map[packet.Endpoint]func() time.Duration
}

// zoneServer serves slots requests at once, queues zoneQueue more and rejects the
// rest.
type zoneServer struct {
	slots, busy int
	waiting     []func()
	// failing is set if each request is answered at once with an error.
	failing bool
	// slowness multiplies the service time if it is not 0.
	slowness float64
	// arrivals holds the times of the openings that reached the target.
	arrivals []time.Duration
}

// zoneRequest is one request of a caller with its retries.
type zoneRequest struct {
	due      time.Duration
	attempts int
	// wait is the time in the target's queue and done the time when the answer was
	// acknowledged, 0 if the request failed.
	wait, done time.Duration
	errorSeen  bool
}

func newZoneReplay(t *testing.T, seed uint64, hosts, targets int) *zoneReplay {
	z := &zoneReplay{t: t, rng: rand.New(rand.NewPCG(seed, 2)), servers: map[fleet.TargetKey]*zoneServer{}, dead: make([]bool, hosts)}
	z.work = func() time.Duration { return z.logNormal(zoneWork, zoneWorkSpread) }
	z.route = func() packet.Endpoint { return feeds }
	for range hosts {
		w := newFixture(t)
		w.view.Targets = nil
		for n := range targets {
			key := fmt.Sprintf("t%d", n)
			w.add(key, "book", "a")
			w.entry(fleet.TargetKey(key)).Slots = zoneSlots
			z.servers[fleet.TargetKey(key)] = &zoneServer{slots: zoneSlots}
		}
		w.apply()
		z.hosts = append(z.hosts, w)
	}
	z.at(0, z.exchange)
	return z
}

// logNormal returns a random time with a mean and the spread of its logarithm.
func (z *zoneReplay) logNormal(mean time.Duration, spread float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(spread*z.rng.NormFloat64()-spread*spread/2))
}

func (z *zoneReplay) at(at time.Duration, do func()) { heap.Push(&z.queue, event{at, do}) }

// load lets requests arrive between two times at a share of all targets' slots.
func (z *zoneReplay) load(from, to time.Duration, share func(time.Duration) float64) {
	slots := 0
	for _, s := range z.servers {
		slots += s.slots
	}
	mean := float64(zoneWork) / float64(slots)
	for at := from; at < to; at += time.Duration(z.rng.ExpFloat64() * mean / share(at)) {
		z.at(at, func() { z.request(&zoneRequest{due: at}) })
	}
}

// run handles all events up to a time.
func (z *zoneReplay) run(until time.Duration) {
	for len(z.queue) > 0 && z.queue[0].at <= until {
		e := heap.Pop(&z.queue).(event)
		z.now = e.at
		e.do()
	}
}

// exchange gives each host the loads that the others had at the last exchange.
func (z *zoneReplay) exchange() {
	shares := make([]allotment.Share, len(z.hosts))
	if z.share != nil {
		shares = z.share()
	}
	z.shareReports(func(i int, l *PeerLoads) { l.Share = shares[i] })
	z.at(z.now+reportInterval, z.exchange)
}

// shareReports lets each live host do its periodic work and gives it the reports of the
// others at the last exchange, which complete adds to. Then it collects new reports.
func (z *zoneReplay) shareReports(complete func(i int, l *PeerLoads)) {
	sum := map[Token]TargetLoad{}
	for _, report := range z.reports {
		addTo(sum, report, 1)
	}
	live := z.live()
	for _, i := range live {
		w := z.hosts[i]
		w.now = z.now
		w.Tick(z.now, w.recordReset)
		l := &PeerLoads{Hosts: len(live), Settled: true, Targets: map[Token]TargetLoad{}}
		addTo(l.Targets, sum, 1)
		if z.reports != nil {
			addTo(l.Targets, z.reports[i], -1)
		}
		complete(i, l)
		w.SetPeerLoads(l)
	}
	z.reports = make([]map[Token]TargetLoad, len(z.hosts))
	for _, i := range live {
		z.reports[i] = map[Token]TargetLoad{}
		for _, s := range z.hosts[i].TargetStats(z.now) {
			z.reports[i][s.Token] = s.TargetLoad
		}
	}
}

// live returns the indexes of the hosts that are not dead.
func (z *zoneReplay) live() []int {
	var live []int
	for i := range z.hosts {
		if !z.dead[i] {
			live = append(live, i)
		}
	}
	return live
}

func addTo(sum, loads map[Token]TargetLoad, sign int) {
	for token, l := range loads {
		total := sum[token]
		total.Open += sign * l.Open
		total.Busy += sign * l.Busy
		total.FastShare = max(total.FastShare, l.FastShare)
		sum[token] = total
	}
}

// request starts an attempt at a random live host.
func (z *zoneReplay) request(r *zoneRequest) {
	if r.attempts == 0 {
		z.requests = append(z.requests, r)
	}
	r.attempts++
	host := z.rng.IntN(len(z.hosts))
	for z.dead[host] {
		host = z.rng.IntN(len(z.hosts))
	}
	z.flows++
	c := z.hosts[host].caller(z.flows, z.route())
	c.p.Flow.CallerPort = uint16(1 + z.flows>>16)
	z.open(r, c, host, z.now, 0)
}

// open sends an opening, the given copy of an attempt that started at a time.
func (z *zoneReplay) open(r *zoneRequest, c *caller, host int, started time.Duration, copies uint32) {
	if z.dead[host] {
		z.retry(r)
		return
	}
	c.w.now = z.now
	switch a := c.open(copies); a.Kind {
	case Forward:
		s := z.servers[a.Key]
		s.arrivals = append(s.arrivals, z.now)
		z.at(z.now+callerRoundTrip, func() { z.send(r, c, host, s) })
	case Reset:
		z.retry(r)
	case Drop:
		z.afterDrop(started, copies, func() { z.open(r, c, host, started, copies+1) }, func() { z.retry(r) })
	}
}

// afterDrop schedules what a caller does after a copy of an opening was dropped: the next
// copy, or the end of the attempt.
func (z *zoneReplay) afterDrop(started time.Duration, copies uint32, next, end func()) {
	if copies == lastCopy {
		z.at(started+attemptTimeout, end)
		return
	}
	z.at(started+overload.Elapsed(copies+1), next)
}

func (z *zoneReplay) retry(r *zoneRequest) {
	if r.attempts <= callerRetries {
		z.at(z.now+10*time.Millisecond, func() { z.request(r) })
	}
}

// send sends the request's data to the target.
func (z *zoneReplay) send(r *zoneRequest, c *caller, host int, s *zoneServer) {
	if !z.dead[host] {
		c.w.now = z.now
		c.confirm()
		c.sendRequest()
	}
	if s.failing {
		r.errorSeen = true
		z.answer(c, host, func() {})
		return
	}
	arrived, wait := z.now, time.Duration(0)
	served := s.serve(z, func() time.Duration {
		wait = z.now - arrived
		return z.workOf(c.p.Flow.Service, s)
	}, func() {
		r.wait = wait
		z.answer(c, host, func() { r.done = z.now })
	})
	if !served {
		z.rejected++
		z.answer(c, host, func() { z.retry(r) })
	}
}

// serve serves a request at once or after those that wait, and calls done at its end. It
// reports false if the queue is full. work returns the service time at its beginning.
func (s *zoneServer) serve(z *zoneReplay, work func() time.Duration, done func()) bool {
	begin := func() {
		z.at(z.now+work(), func() {
			s.busy--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				s.busy++
				next()
			}
			done()
		})
	}
	switch {
	case s.busy < s.slots:
		s.busy++
		begin()
	case len(s.waiting) < zoneQueue:
		s.waiting = append(s.waiting, begin)
	default:
		return false
	}
	return true
}

// answer lets the caller acknowledge an answer and close the flow.
func (z *zoneReplay) answer(c *caller, host int, then func()) {
	z.at(z.now+callerRoundTrip, func() {
		if !z.dead[host] {
			c.w.now = z.now
			c.acknowledge()
			c.p.Class = packet.Closing
			c.send()
		}
		then()
	})
}

// between returns the requests that were due between two times.
func (z *zoneReplay) between(from, to time.Duration) []*zoneRequest {
	var list []*zoneRequest
	for _, r := range z.requests {
		if r.due >= from && r.due < to {
			list = append(list, r)
		}
	}
	return list
}

// inTime returns the share of requests that were answered within the objective.
func inTime(list []*zoneRequest) float64 {
	n := 0
	for _, r := range list {
		if r.done > 0 && r.done-r.due <= zoneObjective {
			n++
		}
	}
	return float64(n) / float64(max(len(list), 1))
}

// percentile returns a percentile of the time from the first attempt to the answer.
func percentile(list []*zoneRequest, p float64) time.Duration {
	var times []time.Duration
	for _, r := range list {
		if r.done > 0 {
			times = append(times, r.done-r.due)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(p*float64(len(times))), len(times)-1)]
}

// inUse returns how many targets got an opening between two times.
func (z *zoneReplay) inUse(from, to time.Duration) int {
	n := 0
	for _, s := range z.servers {
		if slices.ContainsFunc(s.arrivals, func(at time.Duration) bool { return at >= from && at < to }) {
			n++
		}
	}
	return n
}

func constant(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// Guards against an overload that outlasts its cause: while requests wait in queues,
// idle targets answer far faster than usual, and must not be avoided as failing, which
// would overload the others.
func TestOverloadEndsWithItsCause(t *testing.T) {
	is := is.New(t)
	const (
		overload = 8 * time.Second
		ends     = overload + 3*time.Second
	)
	for seed := range uint64(3) {
		z := newZoneReplay(t, seed, 20, 40)
		z.load(time.Second, overload, constant(0.55))
		z.load(overload, ends, constant(1.6))
		z.load(ends, ends+6*time.Second, constant(0.55))
		z.run(ends + 8*time.Second)
		before, after := z.between(4*time.Second, overload), z.between(ends+2*time.Second, ends+6*time.Second)
		t.Logf("seed %d: in use %d, then %d targets; p50 %v, then %v; in time %.3f, then %.3f; rejected %d", seed,
			z.inUse(6*time.Second, overload), z.inUse(ends+2*time.Second, ends+4*time.Second),
			percentile(before, 0.5), percentile(after, 0.5), inTime(before), inTime(after), z.rejected)
		is.Equal(z.inUse(ends+2*time.Second, ends+4*time.Second), 40)
		is.True(percentile(after, 0.5) <= percentile(before, 0.5)*11/10)
		is.True(inTime(after) >= 0.99)
	}
}
