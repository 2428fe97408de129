package main

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestFitAndPower checks the fit of linear and the exponent of quadratic growth.
func TestFitAndPower(t *testing.T) {
	is := is.New(t)
	line, square := newSeries("", "", ""), newSeries("", "", "")
	for _, x := range []int{1, 10, 100} {
		line.add(x, 3+2*float64(x))
		square.add(x, 5*float64(x*x))
	}
	slope, base := line.fit()
	is.True(math.Abs(slope-2) < 1e-9)
	is.True(math.Abs(base-3) < 1e-9)
	is.True(math.Abs(square.power()-2) < 1e-9)
}

// TestServicesHaveFullSize guards against documents with fewer services,
// targets or zones than the full size.
func TestServicesHaveFullSize(t *testing.T) {
	is := is.New(t)
	services := servicesOf(fullServices, fullTargets, fullZones)
	zones := make(map[string]int)
	targets := 0
	for i := range services {
		for _, target := range services[i].Targets {
			zones[target.Zone]++
			targets++
		}
	}
	is.Equal(len(services), fullServices)
	is.Equal(targets, fullTargets)
	is.Equal(len(zones), fullZones)
}

// TestFleetServes guards against measurements of a core that does not serve: it
// must count its peers as serving and refuse no opening.
func TestFleetServes(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, true)
	f.start(servicesOf(4, 12, 1))
	is.Equal(f.core.Stats(f.now).Serving, 3)
	is.Equal(newSingleHost().openFlows(0, 500, 20), 0)
}
