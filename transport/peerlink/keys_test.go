package peerlink

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/internal/fakes/authority"
)

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	a, err := authority.New()
	is.New(t).NoErr(err)
	return a
}

// issue writes the PEM files of a new certificate for 127.0.0.1 to dir.
func issue(t *testing.T, a *authority.Authority, dir string) authority.Files {
	t.Helper()
	files, err := a.Issue(dir, netip.MustParseAddr("127.0.0.1"))
	is.New(t).NoErr(err)
	return files
}

// newKeys issues a certificate for 127.0.0.1 and loads it.
func newKeys(t *testing.T, a *authority.Authority) *Keys {
	t.Helper()
	return loadKeys(t, issue(t, a, t.TempDir()))
}

func loadKeys(t *testing.T, files authority.Files) *Keys {
	t.Helper()
	k, err := LoadKeys(files.Cert, files.Key, files.CA)
	is.New(t).NoErr(err)
	return k
}
