package main

import (
	"fmt"
	"time"
)

// Figures of the case reborn.
const (
	// rebornDown is how long the back end is down.
	rebornDown = 100 * time.Millisecond
	// outage is how long the store gives no response.
	outage    = 4500 * time.Millisecond
	rebornPer = 200
)

// runReborn starts a back end again under its ID while the store is down, so that its
// entry does not say that it is cold. Without the disruption the store answers.
func runReborn(e *env, trouble bool) ([]string, error) {
	e.store.put("op/config", config(7, 110, coldPerS))
	if err := e.addServers(map[string]int{"z-a": 4}); err != nil {
		return nil, err
	}
	for i := range 3 {
		if _, err := e.addHost(fmt.Sprintf("edge-a-%d", i+1), "z-a", fmt.Sprintf("127.79.1.%d", i+1), 1000, []string{"127.79.1.1"}); err != nil {
			return nil, err
		}
	}
	for _, h := range e.hosts {
		e.poll(h)
	}
	if err := e.waitReady(); err != nil {
		return nil, err
	}
	c, err := newClient(fmt.Sprintf("127.79.3.1:%d", e.dataPort), e.router("z-a"))
	if err != nil {
		return nil, err
	}
	e.clients = append(e.clients, c)
	e.load(c, service, rebornPer, 1_000_000)
	time.Sleep(6 * time.Second)

	if trouble {
		for _, h := range e.hosts {
			e.store.setSilent(h.name, true)
		}
		e.logf("the store is down")
	}
	time.Sleep(time.Second)
	old := e.servers[0]
	old.close()
	time.Sleep(rebornDown)
	reborn, err := newServer(e.store, old.number, "orders", "z-a", old.addr, uint16(e.dataPort), coldTime)
	if err != nil {
		return nil, err
	}
	e.servers[0] = reborn
	e.logf("back end %s starts again under its ID and is cold", reborn.id)
	time.Sleep(outage - time.Second - rebornDown)
	for _, h := range e.hosts {
		e.store.setSilent(h.name, false)
	}
	e.logf("the store is back")
	time.Sleep(time.Until(reborn.born.Add(coldTime)))
	return e.overCold(reborn), nil
}
