package wire

import (
	"testing"

	"github.com/matryer/is"
)

// TestReorder guards against segments lost or delivered out of order where the
// sequence numbers wrap around.
func TestReorder(t *testing.T) {
	is := is.New(t)
	var r ReorderBuffer
	next := ^uint32(0) - 1 // two bytes before the wrap
	is.Equal(string(r.Take(next)), "")
	r.Insert(next, next+6, []byte("ghi"))
	r.Insert(next, next+3, []byte("def"))
	r.Insert(next, next+12, []byte("mno"))
	r.Insert(next, next, []byte("abc"))   // not beyond next
	r.Insert(next, next-3, []byte("old")) // retransmission of older bytes
	is.Equal(string(r.Take(next)), "")
	is.Equal(string(r.Take(next+3)), "defghi")
	is.Equal(string(r.Take(next+9)), "") // the segment at next+12 follows a gap
	is.Equal(string(r.Take(next+15)), "")
	is.Equal(len(r.held), 0) // older segments are discarded
}
