package replay

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func load(t *testing.T, path string) *Trace {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	trace, err := Parse(f)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return trace
}

func TestTraces(t *testing.T) {
	paths, err := filepath.Glob("traces/*.yaml")
	if err != nil || len(paths) < 8 {
		t.Fatalf("%d traces, want at least 8 (%v)", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".yaml"), func(t *testing.T) {
			t.Parallel()
			keeps(t, load(t, path))
		})
	}
}

// keeps runs a trace and fails if a stated outcome is broken.
func keeps(t *testing.T, trace *Trace) {
	t.Helper()
	is := is.New(t)
	result := Run(trace, Options{})
	var out bytes.Buffer
	is.NoErr(result.Write(&out))
	t.Log(out.String())
	is.True(!result.Broken()) // a stated outcome is broken
}

// Other seeds of a trace that broke an outcome once.
func TestOtherSeeds(t *testing.T) {
	for _, c := range []struct {
		trace string
		seed  uint64
	}{
		{"dauys-koru-ordinary-day", 102},
		{"dauys-koru-ordinary-day", 103},
	} {
		t.Run(fmt.Sprintf("%s-%d", c.trace, c.seed), func(t *testing.T) {
			t.Parallel()
			trace := load(t, "traces/"+c.trace+".yaml")
			trace.Seed = c.seed
			keeps(t, trace)
		})
	}
}
