package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

func joinNewTarget(s []document.Service) { joinTarget(s, "new", "z2") }

// plannedChanges restarts every host by a planned stop while targets join, drain
// and change their weight.
func (c *workload) plannedChanges() {
	state := func(i int, state document.TargetState) func(s []document.Service) {
		return func(s []document.Service) { s[0].Targets[i].State = state }
	}
	changes := []func(s []document.Service){
		joinNewTarget,
		state(1, document.TargetDraining),
		func(s []document.Service) { s[0].Targets[3].Weight = 2 },
		state(4, document.TargetDraining),
		state(1, document.TargetActive),
		func(s []document.Service) { joinTarget(s, "new2", "z3") },
		state(6, document.TargetDraining),
		state(4, document.TargetActive),
		state(7, document.TargetDraining),
	}
	const leaveTimeout = time.Minute
	for i, f := range changes {
		c.changeDocuments(3*time.Second, f)
		c.runTraffic(time.Second)
		c.leave(i)
		for from := c.now(); !c.left(i) && c.now()-from < leaveTimeout; {
			c.runTraffic(step)
		}
		c.failHost(i)
		c.runTraffic(time.Second)
		c.startHost(i)
		c.runTraffic(4 * time.Second)
	}
}

// killHosts makes hosts fail 4 s after a target joined.
func (c *workload) killHosts(hosts ...int) {
	c.changeDocuments(time.Second, joinNewTarget)
	c.runTraffic(4 * time.Second)
	for _, host := range hosts {
		c.failHost(host)
	}
	c.runTraffic(10 * time.Second)
}

// partition blocks traffic between two zones for a minute.
func (c *workload) partition() {
	c.partitioned = true
	c.cut("z1", "z2", true)
	c.cut("z2", "z1", true)
	c.runTraffic(time.Minute)
	c.cut("z1", "z2", false)
	c.cut("z2", "z1", false)
	c.runTraffic(8 * time.Second)
}

// pauseDuringJoin pauses one host for 30 s while a target joins.
func (c *workload) pauseDuringJoin() {
	c.pause(1, true)
	c.down[1], c.downSince[1] = true, c.now()
	c.changeDocuments(0, joinNewTarget)
	c.runTraffic(30 * time.Second)
	c.pause(1, false)
	c.down[1] = false
	c.runTraffic(10 * time.Second)
}

// scenarios are the changes and faults under which the variants are compared.
var scenarios = []struct {
	name string
	seed uint64
	run  func(c *workload)
}{
	{"planned changes", 11, (*workload).plannedChanges},
	{"one host dies", 21, func(c *workload) { c.killHosts(1) }},
	{"two die in one zone", 23, func(c *workload) { c.killHosts(1, 4) }},
	{"two zones cut off", 32, (*workload).partition},
	{"a host pauses", 41, (*workload).pauseDuringJoin},
}
