package main

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"github.com/jujubehaven/jujubehaven/coordination/admission"
	"github.com/jujubehaven/jujubehaven/state/slo"
	"github.com/jujubehaven/jujubehaven/transport/metrics"
)

// measureTables measures the state that admission and service levels keep.
func measureTables() []series {
	target := newSeries("memory of admission", "bytes a target", "targets")
	for _, n := range []int{100, 1000, 4400} {
		before := heapBytes()
		list := make([]*admission.Target, n)
		services := servicesOf(1, 1, 1)
		for i := range list {
			cfg := admission.Config{ID: uint64(i), Limits: services[0].Targets[0].Limits, Ramp: time.Minute}
			list[i] = admission.NewTarget(0, cfg, true, seed)
		}
		target.add(n, (heapBytes()-before)/float64(n))
		list[0].Flows() // keeps list reachable for the measurement above
	}
	levels := newSeries("memory of service levels", "bytes a service", "services")
	advance := newSeries("advancing the service levels by a second", "ms", "services")
	for _, n := range []int{18, 90, 360} {
		store := slo.New(0)
		services := servicesOf(n, n, 1)
		base := heapBytes()
		for i := range services {
			store.Service(services[i].Name, services[i].Objectives).Count(slo.NewFlowsServed, 1, 0)
		}
		now := time.Second
		store.Advance(now)
		levels.add(n, (heapBytes()-base)/float64(n))
		advance.add(n, milliseconds(shortest(func() {
			now += time.Second
			store.Advance(now)
		})))
	}
	return []series{*target, *levels, *advance, *measureBurnReport()}
}

// busyServices is the number of services with flows at one host of a deployment
// of the full size.
const busyServices = 10

// measureBurnReport measures the length of a host's answer to "report burn".
func measureBurnReport() *series {
	answer := newSeries("answer to report burn, 10 services with flows", "KB", "services")
	for _, n := range []int{18, 90, 360} {
		store := slo.New(0)
		services := servicesOf(n, n, 1)
		for i := range services {
			s := store.Service(services[i].Name, services[i].Objectives)
			if i < busyServices {
				s.Count(slo.NewFlowsServed, 1_000_000, 1)
			}
		}
		answer.add(n, float64(jsonBytes(store.Report(time.Second, "host", "zone")))/1e3)
	}
	return answer
}

// countingWriter counts the bytes written and discards them.
type countingWriter int

func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}

// measureScrape measures the time and length of one scrape of the metrics.
func measureScrape() []series {
	took := newSeries("one scrape", "ms", "services")
	size := newSeries("text of one scrape", "KB", "services")
	for _, n := range fleetSizes {
		f := newFleet(n.hosts, false)
		f.start(servicesOf(n.services, n.targets, fullZones))
		registry := prometheus.NewRegistry()
		registry.MustRegister(metrics.New(metrics.Config{
			Source: f.core, Clock: func() time.Duration { return f.now },
			Documents: func() []metrics.Generation { return generations(n.services) },
		}))
		bytes := 0
		took.add(n.services, milliseconds(shortest(func() { bytes = scrape(registry) })))
		size.add(n.services, float64(bytes)/1e3)
	}
	return []series{*took, *size}
}

func generations(services int) []metrics.Generation {
	list := make([]metrics.Generation, services)
	for i := range list {
		list[i] = metrics.Generation{Document: fmt.Sprintf("services/service-%03d", i), Generation: 1}
	}
	return list
}

func scrape(registry *prometheus.Registry) int {
	families, err := registry.Gather()
	if err != nil {
		fail("gather: %v", err)
	}
	var w countingWriter
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&w, family); err != nil {
			fail("write metrics: %v", err)
		}
	}
	return int(w)
}
