package daemon

import (
	"math/rand/v2"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/transport/consul"
	"github.com/jujubehaven/jujubehaven/transport/docsource"
)

// newDocuments returns the source of this host's documents. If the settings have
// no platform, documents come from peers only.
func (d *Daemon) newDocuments(metrics *docsource.Metrics) (*docsource.Source, error) {
	var platform store.Store
	if d.settings.Platform != "" {
		client, err := consul.New(consul.Config{URL: d.settings.Platform})
		if err != nil {
			return nil, err
		}
		platform = client
	}
	return docsource.New(docsource.Config{
		Host:      d.host.Name,
		Store:     platform,
		Peers:     d.links,
		IsWatcher: d.balancer.IsWatcher,
		Apply:     d.applyDocuments,
		Seed:      rand.Uint64(),
		Metrics:   metrics,
		Log:       d.log,
	}), nil
}

// applyDocuments passes the documents in force and the hosts listed in the
// platform to the balancer.
func (d *Daemon) applyDocuments(s docsource.State) {
	now := d.clock()
	if s.Ready {
		d.balancer.SetDocuments(now, s.Services, s.Zones, s.Digest)
		d.services.Store(&s.Services)
	}
	d.balancer.AddHosts(now, s.Hosts)
}
