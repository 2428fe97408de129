package explaincmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/protocol/explain"
)

// execute runs the command and returns its output, error text and exit code.
func execute(args ...string) (out, text string, code int) {
	var buf bytes.Buffer
	root := &cli.Command{
		Name: "jujubehaven", Commands: Commands(), Writer: &buf, ErrWriter: io.Discard,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(context.Background(), append([]string{"jujubehaven", "explain"}, args...))
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return buf.String(), err.Error(), coder.ExitCode()
	}
	return buf.String(), "", 0
}

// host answers each question with a status and a body, and records the last one.
func host(t *testing.T, status int, body any) (url string, question *string) {
	question = new(string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*question = r.URL.String()
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	return server.URL, question
}

var answer = explain.Answer{
	Host: "h1", Zone: "a", To: "198.18.0.1:80", From: "100.64.0.7:9", Service: "book",
	Shares: []explain.Share{{Service: "book", Weight: 3}, {Service: "maps", Weight: 1}},
	Chosen: "t/2", Cause: "placed", Reason: "lowest cost of the 2 targets that are not ruled out",
	Ages: []explain.Age{{Name: "view", Seconds: 1.5}},
	Candidates: []explain.Candidate{
		{Target: "t/0", Zone: "a", Cost: 0.1, RuledOut: []string{"draining"}},
		{Target: "t/1", Zone: "b", Cost: 1.2, RankedLower: []string{"other-zone"}, Figures: []explain.Figure{{Name: "held", Value: "2"}}},
		{Target: "t/2", Zone: "a", Cost: 0.3},
	},
}

// Guards against text that lacks the choice, a reason, a candidate or a column that this
// build does not know, or that does not list the best candidate first.
func TestText(t *testing.T) {
	is := is.New(t)
	url, question := host(t, http.StatusOK, answer)
	out, _, code := execute("--admin", url, "--to", "198.18.0.1:80", "--from", "100.64.0.7:9")
	is.Equal(code, 0)
	is.Equal(*question, "/explain?from=100.64.0.7%3A9&to=198.18.0.1%3A80")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(lines[0], "opening to 198.18.0.1:80 from 100.64.0.7:9, at host h1 in zone a")
	is.Equal(lines[1], "service: book of the route's book (weight 3), maps (weight 1)")
	is.Equal(lines[2], "target: t/2 (placed): lowest cost of the 2 targets that are not ruled out")
	is.Equal(lines[3], "data: view 1.500 s old")
	is.True(strings.Contains(lines[5], "HELD"))
	is.True(strings.HasPrefix(lines[6], "t/2"))
	is.True(strings.HasPrefix(lines[7], "t/1") && strings.Contains(lines[7], "other-zone"))
	is.True(strings.HasPrefix(lines[8], "t/0") && strings.Contains(lines[8], "draining"))
}

// Guards against fields of the host's answer that --json leaves out.
func TestJSON(t *testing.T) {
	is := is.New(t)
	url, _ := host(t, http.StatusOK, map[string]any{"chosen": "t/2", "later_field": 4})
	out, _, code := execute("--admin", url, "--to", "198.18.0.1:80", "--json")
	is.Equal(code, 0)
	is.True(strings.Contains(out, `"later_field":4`))
}

// Guards against failures that can't be told apart by their messages and exit codes.
func TestErrors(t *testing.T) {
	noRoute, _ := host(t, http.StatusNotFound, explain.Problem{Error: "to 198.18.0.1:80: no route"})
	older, _ := host(t, http.StatusNotFound, "404 page not found")
	broken, _ := host(t, http.StatusOK, "text")
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	for _, c := range []struct {
		name string
		args []string
		code int
		text string
	}{
		{"no admin", []string{"--to", "198.18.0.1:80"}, ExitUsage, "--admin is missing"},
		{"bad admin", []string{"--admin", "h1:9100", "--to", "198.18.0.1:80"}, ExitUsage, "--admin"},
		{"no to", []string{"--admin", noRoute}, ExitUsage, "--to is missing"},
		{"bad to", []string{"--admin", noRoute, "--to", "198.18.0.1"}, ExitUsage, `--to "198.18.0.1"`},
		{"bad from", []string{"--admin", noRoute, "--to", "198.18.0.1:80", "--from", "x"}, ExitUsage, `--from "x"`},
		{"argument", []string{"--admin", noRoute, "--to", "198.18.0.1:80", "x"}, ExitUsage, "unexpected argument x"},
		{"no route", []string{"--admin", noRoute, "--to", "198.18.0.1:80"}, ExitFailed, "the host answered: to 198.18.0.1:80: no route"},
		{"older build", []string{"--admin", older, "--to", "198.18.0.1:80"}, ExitFailed, "of an older build"},
		{"not an answer", []string{"--admin", broken, "--to", "198.18.0.1:80"}, ExitFailed, "decode answer"},
		{"host down", []string{"--admin", down.URL, "--to", "198.18.0.1:80"}, ExitFailed, "it may be down"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, text, code := execute(c.args...)
			is.Equal(code, c.code)
			is.True(strings.Contains(text, c.text))
		})
	}
}
