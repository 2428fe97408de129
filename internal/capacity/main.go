// Command capacity measures how the costs of a host grow with flows, hosts and
// documents. For each cost it prints the values at several sizes and a linear
// fit. The figures in docs/CAPACITY.md are derived from its output. A core is a
// balancer.Balancer: the decision logic of one host, without sockets.
//
//	go run ./internal/capacity -part flows
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
)

// part is a named group of measurements.
type part struct {
	name    string
	measure func() []series
}

var parts = []part{
	{"flows", measureFlows},
	{"packets", measurePackets},
	{"views", measureViews},
	{"joining", measureJoining},
	{"churn", measureChurn},
	{"stalls", measureStalls},
	{"members", measureMembers},
	{"links", measureLinks},
	{"budget", measureBudget},
	{"documents", measureDocuments},
	{"store", measureStore},
	{"tables", measureTables},
	{"scrape", measureScrape},
	{"control", measureControl},
	{"zones", measureZoneSizes},
}

func main() {
	names := flag.String("part", "all", "comma-separated parts: "+partNames())
	flag.Parse()
	fmt.Printf("%s %s/%s, seed %d\n", runtime.Version(), runtime.GOOS, runtime.GOARCH, seed)
	ran := false
	for _, p := range parts {
		if *names != "all" && !contains(strings.Split(*names, ","), p.name) {
			continue
		}
		ran = true
		fmt.Printf("\n## %s\n", p.name)
		for _, s := range p.measure() {
			fmt.Println(s.String())
		}
	}
	if !ran {
		fmt.Fprintf(os.Stderr, "no part %q; there are: all,%s\n", *names, partNames())
		os.Exit(2)
	}
}

func partNames() string {
	var names []string
	for _, p := range parts {
		names = append(names, p.name)
	}
	return strings.Join(names, ",")
}

func contains(list []string, want string) bool {
	for _, s := range list {
		if s == want {
			return true
		}
	}
	return false
}
