package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	passA      = `{"Action":"run","Package":"p","Test":"TestA"}` + "\n" + `{"Action":"pass","Package":"p","Test":"TestA"}` + "\n"
	skipB      = `{"Action":"skip","Package":"p","Test":"TestB"}` + "\n"
	failC      = `{"Action":"run","Package":"p","Test":"TestC"}` + "\n" + `{"Action":"output","Package":"p","Test":"TestC","Output":"why it failed\n"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestC"}` + "\n"
	failSub    = `{"Action":"fail","Package":"p","Test":"TestD/one"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestD"}` + "\n"
	unfinished = `{"Action":"run","Package":"p","Test":"TestE"}` + "\n"
	okP        = `{"Action":"pass","Package":"p","Elapsed":0.5}` + "\n"
	failP      = `{"Action":"fail","Package":"p","Elapsed":0.5}` + "\n"
	noBuild    = `{"Action":"build-output","ImportPath":"p","Output":"syntax error\n"}` + "\n" + `{"Action":"fail","Package":"p","FailedBuild":"p"}` + "\n"
)

func TestSummary(t *testing.T) {
	const listC = "p TestC | go test ./p, seed 1 | stalls | 9\n"
	cases := []struct {
		name, events, list string
		partial            bool
		pass               bool
		want               string
	}{
		{"all pass", passA + skipB + okP, "", false, true, "\n1 passed, 0 failed, 1 skipped\n"},
		{"failure prints its output", passA + failC + failP, "", false, false, "why it failed"},
		{"failure is counted", passA + failC + failP, "", false, false, "\n1 passed, 1 failed, 0 skipped\n"},
		{"known red is ignored", passA + failC + failP, listC, false, true, "known red: p TestC"},
		{"known red beside a failure", failC + failSub + failP, listC, false, false, "FAIL p TestD/one"},
		{"parent of a known red subtest is ignored", failSub + failP, "p TestD/one | c | s | 9\n", false, true, "\n0 passed, 0 failed, 0 skipped\n"},
		{"listed test passes", passA + okP, "p TestA | c | s | 9\n", false, false, "ended with \"pass\""},
		{"listed test is skipped", skipB + okP, "p TestB | c | s | 9\n", false, false, "ended with \"skip\""},
		{"listed test does not exist", passA + okP, listC, false, false, "does not exist"},
		{"listed test not in a partial run", passA + okP, listC, true, true, "not in this run"},
		{"test does not end", unfinished + failP, "", false, false, "test did not end"},
		{"package does not build", noBuild, "", false, false, "syntax error"},
		{"package fails without a test", passA + failP, "", false, false, "\n1 passed, 1 failed, 0 skipped\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			res, err := readEvents(strings.NewReader(c.events))
			is.NoErr(err)
			known, err := parseKnownRed(strings.NewReader(c.list))
			is.NoErr(err)
			var out bytes.Buffer
			pass := summarize(&out, res, known, scope{Everything: !c.partial})
			if pass != c.pass || !strings.Contains("\n"+out.String(), c.want) {
				t.Errorf("pass=%v, want %v with %q; printed:\n%s", pass, c.pass, c.want, out.String())
			}
		})
	}
}

func TestParseKnownRedRefuses(t *testing.T) {
	cases := []struct{ name, list, want string }{
		{"columns", "# list\np TestA | c | s\n", "2: 3 columns"},
		{"empty column", "p TestA | | s | 9\n", "1: column 2 is empty"},
		{"no test name", "p | c | s | 9\n", "1: first column"},
		{"not a test", "p BenchmarkA | c | s | 9\n", "1: first column"},
		{"twice", "p TestA | c | s | 9\np TestA | c | s | 9\n", "listed on line 1 too"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseKnownRed(strings.NewReader(c.list))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

func TestMalformedEventsAreAnError(t *testing.T) {
	_, err := readEvents(strings.NewReader("FAIL\n"))
	if err == nil {
		t.Error("no error for a line that is not JSON")
	}
}
