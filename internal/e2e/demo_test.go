package e2e

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDemo guards against a demo that breaks flows or still sends packets to a zone
// after the zone was taken out.
func TestDemo(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	out, err := exec.Command(binary, "demo").CombinedOutput()
	text := string(out)
	t.Log(text)
	is.NoErr(err) // no flow was broken
	for _, want := range []string{"taking zone-1 out", "returning zone-1", " 0 broken\n"} {
		is.True(strings.Contains(text, want))
	}
	_, after, _ := strings.Cut(text, "taking zone-1 out")
	during, _, _ := strings.Cut(after, "returning zone-1")
	is.True(strings.Contains(during, "given up with zone-1"))
	is.True(!strings.Contains(during, "in zone-1 answered")) // no packets reach a zone that is out
}
