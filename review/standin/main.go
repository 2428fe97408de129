// Command standin runs the review's cases. It stands in for the platform: its store,
// its routers, the back ends, the clients and the operator. The hosts of the balancer
// are separate processes, started with the command of the deploy file.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its function, which returns the exit code.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"config-storm": configStorm,
	"new-route":    newRoute,
	"long-watch":   longWatch,
	"zone-cut":     zoneCut,
	"same-id":      sameKey,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE BALANCER FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays one case and returns its exit code.
func run(name, balancer, folder string) int {
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(temp) }()
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(balancer, temp, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	code, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		w.printHostLogs()
		return exitNotRun
	}
	return code
}
