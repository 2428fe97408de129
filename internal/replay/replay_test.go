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

func loadTrace(t *testing.T, path string) *Trace {
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

// TestTraces runs every trace with its own seed and checks the stated outcomes.
func TestTraces(t *testing.T) {
	paths, err := filepath.Glob("traces/*.yaml")
	if err != nil || len(paths) < 8 {
		t.Fatalf("%d traces, want at least 8 (%v)", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".yaml"), func(t *testing.T) {
			t.Parallel()
			checkOutcomes(t, loadTrace(t, path))
		})
	}
}

// checkOutcomes runs a trace and fails the test if a stated outcome is broken.
func checkOutcomes(t *testing.T, trace *Trace) {
	t.Helper()
	is := is.New(t)
	result := Run(trace, Options{})
	var out bytes.Buffer
	is.NoErr(result.Write(&out))
	t.Log(out.String())
	is.True(!result.Broken()) // a stated outcome is broken
}

// TestOtherSeeds runs traces with seeds that once broke an outcome.
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
			trace := loadTrace(t, "traces/"+c.trace+".yaml")
			trace.Seed = c.seed
			checkOutcomes(t, trace)
		})
	}
}
