package steering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// A flow with an unknown token is reset once this host has read everything that
// the store held when the token was first seen, and not while that is
// uncertain.
func TestUnknownToken(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c := w.caller(1, feeds)
	c.token = 0x99999999
	w.completeKnown = true
	w.complete = w.now + time.Hour
	is.Equal(c.confirm().Kind, Drop) // the token is only recorded
	is.Equal(w.refreshes, 1)         // and a read of the store started
	first := w.now
	w.complete = first
	w.now += time.Second
	is.Equal(c.sendRequest().Kind, Drop) // its target may be written but not read yet
	w.complete, w.completeKnown = w.now, false
	is.Equal(c.sendRequest().Kind, Drop) // the read may be incomplete
	w.completeKnown = true
	a := c.sendRequest()
	is.Equal(a.Kind, Reset)
	is.Equal(a.Cause, CauseUnknownToken)
	is.Equal(w.refreshes, 1)
	c.token = 0
	is.Equal(c.sendRequest().Kind, Drop)
}

// A host that has just started receives the flows of many targets that died
// before. More unknown tokens than the host records must not keep it from
// resetting these flows.
func TestManyUnknownTokens(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	w.completeKnown = true
	for i := range maxAbsentFlows {
		other := w.caller(2+i, feeds)
		other.token = Token(0x99000000 + i)
		is.Equal(other.confirm().Kind, Drop)
	}
	c := w.caller(1, feeds)
	c.token = 0x98000000
	is.Equal(c.sendRequest().Kind, Drop)
	w.now += time.Second
	w.complete = w.now
	is.Equal(c.sendRequest().Kind, Reset)
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), maxAbsentFlows-1) // but for the one that made room
}

func TestTokensOfTwoTargetsThatCollide(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	older := &target{entry: fleet.Entry{Target: fleet.Target{Key: "x", Started: 1}}, token: 5}
	newer := &target{entry: fleet.Entry{Target: fleet.Target{Key: "y", Started: 2}}, token: 5}
	for _, order := range [][]*target{{older, newer}, {newer, older}} {
		tokens := map[Token]*target{}
		for _, t := range order {
			t.shadowed = false
			assignToken(tokens, t)
		}
		is.Equal(tokens[5], older)
		is.True(newer.shadowed && !newer.eligible())
		is.True(!older.shadowed)
	}
	older.entry.Gone = true
	tokens := map[Token]*target{}
	for _, t := range []*target{older, newer} {
		t.shadowed = false
		assignToken(tokens, t)
	}
	is.Equal(tokens[5], newer)
	_ = w
}

func TestTokenIsNeverZeroAndTheSameEverywhere(t *testing.T) {
	is := is.New(t)
	is.Equal(TokenOf("i-7f3a91c2"), TokenOf("i-7f3a91c2"))
	is.True(TokenOf("i-7f3a91c2") != TokenOf("i-7f3a91c3"))
	is.True(TokenOf("") != 0)
}
