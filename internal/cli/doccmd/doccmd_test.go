package doccmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/fakes/platform"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	wire "github.com/jujubehaven/jujubehaven/protocol/report"
	"github.com/matryer/is"
	"github.com/urfave/cli/v3"
)

const ordersText = `service: orders
team: recoating
addresses: [{address: 192.0.2.1, port: 443, protocol: tcp}]
targets:
  - name: t1
    zone: north
    tunnel: 10.0.1.1:6080
    limits: {connections: 2000, openings_in_flight: 3, openings_per_second: 50}
`

const zonesText = "zones:\n  - {name: north, state: in}\n  - {name: south, state: in}\n"

// conflictingText is a service with the address of ordersText.
const conflictingText = `service: duplicate
team: maps
addresses: [{address: 192.0.2.1, port: 443, protocol: tcp}]
targets:
  - name: t1
    zone: north
    tunnel: 10.0.2.1:6080
    limits: {connections: 2000, openings_in_flight: 3, openings_per_second: 50}
`

// fixture is a fake platform with a directory for document files.
type fixture struct {
	*is.I
	t        *testing.T
	platform *platform.Platform
	url      string
	dir      string
}

// result holds the exit code and the output of a command.
type result struct {
	code        int
	out, errOut string
}

func newFixture(t *testing.T) fixture {
	p := platform.New(platform.Options{})
	server := httptest.NewServer(platform.NewServer(p))
	t.Cleanup(server.Close)
	return fixture{I: is.New(t), t: t, platform: p, url: server.URL, dir: t.TempDir()}
}

func (f fixture) file(text string) string {
	f.t.Helper()
	file, err := os.CreateTemp(f.dir, "*.yaml")
	f.NoErr(err)
	_, err = file.WriteString(text)
	f.NoErr(err)
	f.NoErr(file.Close())
	return file.Name()
}

// run runs a command line with the platform's URL in the environment.
func (f fixture) run(args ...string) result {
	f.t.Helper()
	f.t.Setenv(envPlatform, f.url)
	return runCommand(f.t.Context(), args)
}

func runCommand(ctx context.Context, args []string) result {
	var out, errOut bytes.Buffer
	root := &cli.Command{
		Name: "jujubehaven", Commands: Commands(), Writer: &out, ErrWriter: &errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(ctx, append([]string{"jujubehaven"}, args...))
	r := result{out: out.String(), errOut: errOut.String()}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		r.code = coder.ExitCode()
	} else if err != nil {
		r.code = ExitFailure
	}
	if err != nil {
		r.errOut += err.Error()
	}
	return r
}

// expect runs a command and checks its exit code and a substring of its output.
func (f fixture) expect(code int, part string, args ...string) result {
	f.t.Helper()
	r := f.run(args...)
	if r.code != code || !strings.Contains(r.out+r.errOut, part) {
		f.t.Fatalf("%v: exit code %d, want %d with %q\n%s%s", args, r.code, code, part, r.out, r.errOut)
	}
	return r
}

func TestCheck(t *testing.T) {
	f := newFixture(t)
	orders, zones, conflicting := f.file(ordersText), f.file(zonesText), f.file(conflictingText)
	broken := f.file(strings.Replace(ordersText, "team:", "taem:", 1))
	f.expect(ExitOK, "documents=2 result=valid", "doc", "check", orders, zones)
	f.expect(ExitInput, broken+":2: taem: unknown key", "doc", "check", broken)
	f.expect(ExitInput, "both have the address", "doc", "check", orders, conflicting)
	f.expect(ExitInput, "two files have this document", "doc", "check", orders, orders)
	f.expect(ExitInput, "zone north", "doc", "check", orders, f.file("zones: [{name: south, state: in}]\n"))
	f.expect(ExitInput, "no such file", "doc", "check", filepath.Join(f.dir, "none"))
	f.expect(ExitInput, "at least one FILE", "doc", "check")
}

func TestApplyGetDiff(t *testing.T) {
	f := newFixture(t)
	orders := f.file(ordersText)
	f.expect(ExitInput, "zone north", "doc", "apply", orders) // no zones document yet
	f.expect(ExitOK, "key=zones generation=1", "doc", "apply", f.file(zonesText))
	f.expect(ExitOK, "+ service: orders", "doc", "apply", orders)
	f.expect(ExitOK, "generation=1 change=c-", "doc", "apply", "--team", "recoating", orders)
	f.expect(ExitOK, "result=unchanged", "doc", "apply", orders)
	f.expect(ExitOK, "", "doc", "diff", orders)

	got := f.run("doc", "get", "orders")
	f.True(strings.HasPrefix(got.out, "generation: 1\nchange: c-"))
	edited := f.file(strings.Replace(got.out, "2000", "1000", 1))
	f.expect(ExitDiffers, "+     limits: {connections: 1000", "doc", "diff", edited)
	f.expect(ExitOK, "key=services/orders generation=2", "doc", "apply", edited)
	f.expect(ExitOK, "services/orders  2           recoating", "doc", "get")
	f.expect(ExitInput, "no such document", "doc", "get", "services/none")
	f.expect(ExitInput, "not the name of a service", "doc", "get", "No!")
}

func TestApplyRefusals(t *testing.T) {
	f := newFixture(t)
	f.expect(ExitOK, "", "doc", "apply", f.file(zonesText))
	f.expect(ExitOK, "", "doc", "apply", f.file(ordersText))
	stale := f.run("doc", "get", "orders").out
	f.expect(ExitOK, "", "doc", "apply", f.file(strings.Replace(stale, "2000", "1500", 1)))

	r := f.expect(ExitConflict, "the store has generation 2", "doc", "apply", f.file(strings.Replace(stale, "2000", "1000", 1)))
	f.True(strings.Contains(r.out, "+     limits: {connections: 1500")) // the concurrent change
	f.expect(ExitRefused, "belongs to team recoating", "doc", "apply", "--team", "maps", f.file(strings.Replace(ordersText, "2000", "1000", 1)))
	f.expect(ExitInput, "both have the address 192.0.2.1:443/tcp", "doc", "apply", f.file(conflictingText))
	f.expect(ExitInput, "--wait needs at least one --balancer", "doc", "apply", "--wait", f.file(ordersText))
	f.expect(ExitInput, "not defined", "doc", "apply", "--wiat", f.file(ordersText))
	f.expect(ExitInput, `no command "aply"`, "doc", "aply")
	f.expect(ExitInput, "expects one FILE", "doc", "apply")
	f.t.Setenv(envPlatform, "")
	r = runCommand(f.t.Context(), []string{"doc", "get"})
	f.Equal(r.code, ExitInput)
	f.True(strings.Contains(r.errOut, "--platform: missing"))
}

func TestPlatformDown(t *testing.T) {
	f := newFixture(t)
	f.expect(ExitOK, "", "doc", "apply", f.file(zonesText))
	f.platform.SetFaults(platform.Faults{Outage: true})
	f.expect(ExitPlatform, "nothing was written", "doc", "apply", "--timeout", "100ms", f.file(ordersText))
	f.expect(ExitPlatform, "nothing was written", "zone", "out", "--timeout", "100ms", "north")
	f.expect(ExitPlatform, "unavailable", "zone", "status", "--timeout", "100ms")
	f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
	f.expect(ExitOK, "generation=1", "doc", "apply", f.file(ordersText)) // the retry finds the change written
}

func TestUnknownOutcomeIsReported(t *testing.T) {
	f := newFixture(t)
	f.expect(ExitOK, "", "doc", "apply", f.file(zonesText))
	f.platform.SetFaults(platform.Faults{BeforeWrite: func() {
		f.platform.SetFaults(platform.Faults{LoseAnswers: 1, Delay: time.Minute})
	}})
	f.expect(ExitPlatform, "may have been written", "zone", "out", "--timeout", "300ms", "north")
	f.platform.SetFaults(platform.Faults{})
	f.expect(ExitOK, "result=unchanged", "zone", "out", "north") // the retry finds the change written
}

// reissue restores the platform from a copy that lacks the writes of the last
// minute and writes a value so that it gets a revision that was given out before.
func (f fixture) reissue(key store.Key, value string, revision store.Revision) {
	f.NoErr(f.platform.Restore(time.Second))
	for f.revision(key) < revision {
		f.platform.Set(key, []byte(value))
	}
	f.Equal(f.revision(key), revision)
}

func (f fixture) revision(key store.Key) store.Revision {
	entry, err := platform.NewMemory(f.platform, time.Second).Get(f.t.Context(), key)
	f.NoErr(err)
	return entry.Revision
}

// Guards against commands that overwrite another operator's change, or give one
// address to two services, because the platform is restored from an older copy between a
// command's read and its write and gives out a revision again.
func TestPlatformReturnsDuringACommand(t *testing.T) {
	f := newFixture(t)
	f.expect(ExitOK, "", "doc", "apply", f.file(zonesText))
	f.expect(ExitOK, "", "doc", "apply", f.file(ordersText))
	f.platform.AdvanceClock(time.Minute)
	f.expect(ExitOK, "", "doc", "apply", f.file(strings.Replace(f.run("doc", "get", "orders").out, "2000", "1500", 1)))
	read := f.run("doc", "get", "orders").out
	theirs := strings.Replace(read, "1500", "500", 1)
	key := store.DocumentKey("services/orders")
	revision := f.revision(key)
	f.platform.SetFaults(platform.Faults{BeforeWrite: func() { f.reissue(key, theirs, revision) }})
	r := f.expect(ExitConflict, "the store has generation 2", "doc", "apply", f.file(strings.Replace(read, "1500", "1000", 1)))
	f.True(strings.Contains(r.out, "the other change:") && strings.Contains(r.out, "connections: 500"))
	f.Equal(f.run("doc", "get", "orders").out, theirs)

	f.platform.AdvanceClock(time.Minute)
	f.expect(ExitOK, "", "zone", "out", "south")
	key = store.DocumentKey(document.ZonesKey)
	revision = f.revision(key)
	theirs = strings.Replace(f.run("doc", "get", "zones").out, "south", "west", 1)
	f.platform.SetFaults(platform.Faults{BeforeWrite: func() { f.reissue(key, theirs, revision) }})
	f.expect(ExitOK, "result=written", "zone", "out", "north")
	r = f.expect(ExitOK, "north  out", "zone", "status")
	f.True(strings.Contains(r.out, "west   out")) // the other change is not undone

	f.platform.AdvanceClock(time.Minute)
	billing := strings.NewReplacer("orders", "billing", "192.0.2.1", "192.0.2.2", "10.0.1.1", "10.0.3.1").Replace(ordersText)
	same := strings.NewReplacer("orders", "archive", "192.0.2.1", "192.0.2.2", "10.0.1.1", "10.0.4.1").Replace(ordersText)
	f.platform.SetFaults(platform.Faults{BeforeWrite: func() { // of the claim
		f.platform.SetFaults(platform.Faults{BeforeWrite: func() { // of the document
			f.NoErr(f.platform.Restore(time.Second))
			f.expect(ExitOK, "result=written", "doc", "apply", f.file(same))
		}})
	}})
	r = f.expect(ExitConflict, "lost the claim of this change", "doc", "apply", f.file(billing))
	f.True(!strings.Contains(r.out, "the other change:"))
	f.expect(ExitInput, "both have the address", "doc", "apply", f.file(billing))
}

func TestZone(t *testing.T) {
	f := newFixture(t)
	f.expect(ExitInput, "no zones document", "zone", "out", "north")
	f.expect(ExitInput, "no zones document", "zone", "status")
	f.expect(ExitOK, "", "doc", "apply", f.file(zonesText))
	f.expect(ExitOK, "result=written", "zone", "out", "north")
	f.expect(ExitOK, "result=unchanged", "zone", "out", "north")
	f.expect(ExitOK, "north  out", "zone", "status")
	f.expect(ExitOK, "warning: no zone is in service", "zone", "out", "south")
	f.expect(ExitOK, "result=written", "zone", "return", "north")
	f.expect(ExitInput, `zone "west" is not in the zones document`, "zone", "return", "west")
	f.expect(ExitOK, "key=zones generation=4", "zone", "status")
}

// balancer serves a list with the zones document in force at the given
// generation; 0 stands for the generation in the store.
func (f fixture) balancer(generation *atomic.Uint64) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.Equal(r.URL.Path, document.InForcePath)
		inForce := document.InForce{Key: document.ZonesKey, Generation: generation.Load()}
		value, _ := f.platform.Value(store.DocumentKey(document.ZonesKey))
		zones, err := document.ParseZones("", value)
		f.NoErr(err)
		if inForce.Generation == 0 || inForce.Generation == zones.Generation {
			inForce.Generation, inForce.Change = zones.Generation, zones.Change
		}
		_ = json.NewEncoder(w).Encode(document.InForceList{Host: "h", Documents: []document.InForce{inForce}})
	}))
	f.t.Cleanup(server.Close)
	return server.URL
}

func TestWait(t *testing.T) {
	f := newFixture(t)
	f.expect(ExitOK, "", "doc", "apply", f.file(zonesText))
	var current, behind atomic.Uint64
	behind.Store(1)
	up, late := f.balancer(&current), f.balancer(&behind)
	f.expect(ExitOK, "generation=2", "zone", "out", "--wait", "--balancer", up, "north")
	r := f.expect(ExitWait, "1 of 2 balancers", "zone", "out", "--wait", "--wait-timeout", "300ms",
		"--balancer", up, "--balancer", late, "north")
	f.True(strings.Contains(r.out, "balancer="+up+" host=h generation=2"))
	f.True(strings.Contains(r.out, "balancer="+late+" host=h generation=1 change= in_force=false"))
	behind.Store(2)
	f.expect(ExitOK, "in_force=true", "zone", "out", "--wait", "--balancer", up, "--balancer", late, "north")
	f.expect(ExitWait, "in_force=unknown", "zone", "out", "--wait", "--wait-timeout", "300ms",
		"--balancer", "http://127.0.0.1:1", "north")
	f.expect(ExitOK, "in_force=true", "zone", "status", "--balancer", up)

	// The store was reset to an older generation: the new generation must exceed
	// the one in force on the balancers.
	current.Store(7)
	r = f.expect(ExitOK, "key=zones generation=8", "zone", "return", "--balancer", up, "north")
	f.True(strings.Contains(r.errOut, "older generation"))
}

// Guards against a report that zone capacity prints incompletely, as text or as JSON, and
// against success for a bad flag, a host that does not answer or one without the report.
func TestZoneCapacity(t *testing.T) {
	f := newFixture(t)
	capacity := wire.Capacity{
		Host: "h1", Zone: "a", Enabled: true, Services: []wire.ServiceCapacity{
			{
				Service: "book", Known: true, Slots: 60, Demand: 72, Spare: 0, ShareAway: 0.25,
				Zones: []wire.ZoneCapacity{{Zone: "b", Slots: 80, Busy: 31, Spare: 30, ShareAway: 0.2}, {Zone: "c", Slots: 40, Busy: 20, Spare: 6, ShareAway: 0.05}},
			},
			{Service: "maps", Zones: []wire.ZoneCapacity{{Zone: "b", Slots: 8, Busy: 1}}},
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != wire.CapacityPath {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(capacity)
	}))
	t.Cleanup(server.Close)
	r := f.expect(ExitOK, "host=h1 zone=a enabled=true", "zone", "capacity", "--admin", server.URL)
	var fields [][]string
	for _, line := range strings.Split(strings.TrimSpace(r.out), "\n")[1:] {
		fields = append(fields, strings.Fields(line))
	}
	f.Equal(fields, [][]string{
		{"SERVICE", "ZONE", "SLOTS", "REQUESTS", "SPARE", "SHARE"},
		{"book", "a", "60", "72", "0", "0.75"},
		{"book", "b", "80", "31", "30", "0.20"},
		{"book", "c", "40", "20", "6", "0.05"},
		{"maps", "a", "-", "-", "-", "1.00"},
		{"maps", "b", "8", "1", "0", "0.00"},
	})
	r = f.expect(ExitOK, "", "zone", "capacity", "--admin", server.URL, "--json")
	var got wire.Capacity
	f.NoErr(json.Unmarshal([]byte(r.out), &got))
	f.Equal(got, capacity)
	f.expect(ExitInput, "--admin", "zone", "capacity")
	f.expect(ExitInput, "--admin", "zone", "capacity", "--admin", "10.0.0.1:9100")
	f.expect(ExitInput, "expects no argument", "zone", "capacity", "--admin", server.URL, "a")
	f.expect(ExitFailure, "answered 404", "zone", "capacity", "--admin", server.URL+"/other")
	f.expect(ExitFailure, "127.0.0.1:1", "zone", "capacity", "--admin", "http://127.0.0.1:1")
}
