package crosszone

import "time"

const (
	// warmUp is how long a reader sends no summary after it has become the reader, or
	// after it was stalled: the hosts' reports of the next round arrive, and the packet
	// path has summed them. A sum without some of the hosts shows spare capacity that
	// does not exist.
	warmUp = 500 * time.Millisecond
	// stallTimeout is the time between two rounds from which this host was stalled.
	stallTimeout = 400 * time.Millisecond
	// roundTolerance is how much earlier than Interval a summary may follow another
	// one, as rounds are not exactly periodic.
	roundTolerance = 50 * time.Millisecond
)

// Reader decides when the reader of a zone sends summaries, and makes them. Every host has one; it does nothing while
// the host is not the reader of a large zone.
type Reader struct {
	zone       string
	summarizer *Summarizer
	// isReader is set while the host is the reader, readerSince is when it became the
	// reader or was last stalled.
	isReader                         bool
	readerSince, lastRound, lastSent time.Duration
	sequence                         uint64
}

// NewReader returns the Reader of a host in a zone.
func NewReader(zone string) *Reader { return &Reader{zone: zone, summarizer: NewSummarizer(zone)} }

// Round is called once per round with the loads of this host's zone. isReader
// is set if the host is the zone's reader. It reports whether summaries are to be sent
// now.
func (r *Reader) Round(now time.Duration, isReader bool, loads []Load) bool {
	if !isReader {
		if r.isReader {
			r.summarizer = NewSummarizer(r.zone)
		}
		r.isReader, r.lastRound = false, now
		return false
	}
	if !r.isReader || now > r.lastRound+stallTimeout {
		r.isReader, r.readerSince = true, now
		r.summarizer = NewSummarizer(r.zone)
	}
	r.lastRound = now
	if now < r.readerSince+warmUp {
		return false
	}
	r.summarizer.Update(loads)
	if r.sequence > 0 && now < r.lastSent+Interval-roundTolerance {
		return false
	}
	r.lastSent = now
	r.sequence++
	return true
}

// Sequence returns the number of the summaries that are to be sent now.
func (r *Reader) Sequence() uint64 { return r.sequence }

// Own returns the zone's own summary. others are the valid summaries of all zones.
func (r *Reader) Own(others []Zone) []Service { return r.summarizer.Own(others) }

// For returns the summary for another zone. others are the valid summaries of all
// zones.
func (r *Reader) For(zone string, others []Zone) []Service { return r.summarizer.For(zone, others) }
