// Package rendezvous implements rendezvous hashing (highest random weight):
// hosts with the same candidates make the same choice without a message.
package rendezvous

import (
	"math"
	"math/bits"
)

// Mix combines two hashes into one that depends on every bit of both.
func Mix(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	hi, lo := bits.Mul64(a^odd, b^bits.RotateLeft64(odd, 32))
	x := hi ^ lo ^ a
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// Score returns the rank of a candidate in weighted rendezvous hashing; the
// candidate with the highest score wins. See Thaler and Ravishankar 1998, and
// for weights Schindelhauer and Schomaker 2005.
func Score(key, candidate uint64, weight float64) float64 {
	const fraction = 1.0 / (1 << 53)
	u := (float64(Mix(key, candidate)>>11) + 0.5) * fraction
	return -weight / math.Log(u)
}
