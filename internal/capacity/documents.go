package main

import (
	"fmt"
	"os"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// measureDocuments measures parsing and checking the operators' documents.
func measureDocuments() []series {
	text := newSeries("text of all documents", "KB", "services")
	parse := newSeries("parsing all documents", "ms", "services")
	one := newSeries("parsing one document", "ms", "services")
	check := newSeries("checking all documents together", "ms", "services")
	memory := newSeries("memory of the parsed documents", "KB", "services")
	for _, size := range fleetSizes {
		texts := textsOf(servicesOf(size.services, size.targets, fullZones))
		bytes := 0
		for _, t := range texts {
			bytes += len(t)
		}
		text.add(size.services, float64(bytes)/1e3)
		before := heapBytes()
		parsed := parseAll(texts)
		memory.add(size.services, (heapBytes()-before)/1e3)
		parse.add(size.services, milliseconds(shortest(func() { parseAll(texts) })))
		one.add(size.services, milliseconds(shortest(func() { parseAll(texts[:1]) })))
		check.add(size.services, milliseconds(shortest(func() {
			if conflicts := document.CheckSet(parsed, zonesDocument(1, "")); len(conflicts) > 0 {
				fail("documents conflict: %v", conflicts[0])
			}
		})))
	}
	return []series{*text, *parse, *one, *check, *memory}
}

func textsOf(services []document.Service) [][]byte {
	var texts [][]byte
	for i := range services {
		text, err := services[i].Marshal()
		if err != nil {
			fail("marshal %s: %v", services[i].Name, err)
		}
		texts = append(texts, text)
	}
	return texts
}

func parseAll(texts [][]byte) []document.Service {
	services := make([]document.Service, len(texts))
	for i, text := range texts {
		s, err := document.ParseService("", text)
		if err != nil {
			fail("parse: %v", err)
		}
		services[i] = s
	}
	return services
}

// fail prints a message and exits with status 1.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(1)
}
