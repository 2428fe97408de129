package replay

import (
	"testing"

	"github.com/matryer/is"
)

// valueOf returns the value of the first outcome of a kind.
func valueOf(t *testing.T, r *Result, kind OutcomeKind) float64 {
	t.Helper()
	for _, o := range r.Outcomes {
		if o.Outcome.Kind == kind {
			return o.Value
		}
	}
	t.Fatalf("trace states no %s", kind)
	return 0
}

// TestSimplerPoliciesOverload compares the core with simpler policies on the
// same trace and seed: the core must stay within the targets' limits, and each
// simpler policy must exceed them.
func TestSimplerPoliciesOverload(t *testing.T) {
	traces := []string{"spejlsoelv-zone-out", "dauys-koru-zone-out"}
	for _, name := range traces {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			trace := loadTrace(t, "traces/"+name+".yaml")
			core := Run(trace, Options{Policy: PolicyCore})
			t.Logf("seed %d", core.Seed)
			is.Equal(valueOf(t, core, OverLimit), 0.0)
			for _, p := range []Policy{PolicyNoRamp, PolicyHashing, PolicyLeastReported} {
				over := valueOf(t, Run(trace, Options{Policy: p}), OverLimit)
				t.Logf("%s: %v openings over a limit", p, over)
				is.True(over > 0)
			}
		})
	}
}

// TestSeedChangesTheRun guards against an option Seed that is ignored or not
// reported.
func TestSeedChangesTheRun(t *testing.T) {
	is := is.New(t)
	trace := loadTrace(t, "traces/dauys-koru-zone-out.yaml")
	a, b := Run(trace, Options{}), Run(trace, Options{Seed: 99})
	is.Equal(b.Seed, uint64(99))
	is.True(a.Flows != b.Flows)
}
