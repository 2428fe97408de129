package documents

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// Sizes of the fleet that the benchmarks represent.
const (
	benchServices = 360
	benchTargets  = 12
)

// benchText returns the document of one service with benchTargets targets.
func benchText(service, generation int) Text {
	var b strings.Builder
	fmt.Fprintf(&b, "generation: %d\nchange: c-%d\nservice: s%d\nteam: t\n", generation, generation, service)
	fmt.Fprintf(&b, "addresses: [{address: 192.0.%d.%d, port: 443, protocol: tcp}]\ntargets:\n", service/250, 1+service%250)
	for i := range benchTargets {
		fmt.Fprintf(&b, `  - name: target-%d
    zone: north
    tunnel: 10.%d.%d.%d:6080
    limits: {connections: 2000, openings_in_flight: 3, openings_per_second: 50}
    health_url: http://10.%d.%d.%d:8080/healthz
    load_url: http://10.%d.%d.%d:8080/metrics
`, i, service/250, service%250, i+1, service/250, service%250, i+1, service/250, service%250, i+1)
	}
	return Text{Key: document.ServiceKey(fmt.Sprintf("s%d", service)), YAML: []byte(b.String())}
}

// benchTexts returns the documents of the whole fleet.
func benchTexts(generation int) []Text {
	var texts []Text
	for i := range benchServices {
		texts = append(texts, benchText(i, generation))
	}
	return texts
}

// BenchmarkOfferAll offers all documents of the fleet at once, as at a start.
func BenchmarkOfferAll(b *testing.B) {
	texts := benchTexts(1)
	size := 0
	for _, text := range texts {
		size += len(text.YAML)
	}
	for b.Loop() {
		if _, changed := NewSet().Offer(texts); !changed {
			b.Fatal("nothing accepted")
		}
	}
	b.ReportMetric(float64(size)/float64(len(texts)), "bytes/document")
}

// BenchmarkOfferChange offers the fleet's documents again with one changed, as
// after each change seen by a watcher.
func BenchmarkOfferChange(b *testing.B) {
	s := NewSet()
	texts := benchTexts(1)
	s.Offer(texts)
	generation := 1
	for b.Loop() {
		generation++
		texts[7] = benchText(7, generation)
		if _, changed := s.Offer(texts); !changed {
			b.Fatal("nothing accepted")
		}
	}
}
