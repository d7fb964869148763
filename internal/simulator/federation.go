package simulator

import (
	"strings"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/settings"
)

// remoteLeaseDuration is the duration of remote leases between simulated clusters.
const remoteLeaseDuration = 14 * time.Second

// NewFederation returns two clusters, west and east, on one network. Each may offload chunks
// to the other.
func NewFederation(seed uint64, controllers int) (west, east *Cluster) {
	network := newNetwork(seed)
	west = network.addCluster("west", controllers)
	east = network.addCluster("east", controllers)
	west.addPartner(east)
	east.addPartner(west)
	return west, east
}

// addPartner configures another cluster as a partner and serves its requests.
func (c *Cluster) addPartner(other *Cluster) {
	for _, name := range c.controllerNames {
		process := c.Controllers[name]
		listen := c.address(federationHost(name))
		process.settings.Federation = &settings.Federation{
			Cluster:  c.Name,
			Listen:   listen,
			Partners: []settings.Partner{c.partnerSettings(other)},
		}
		process.settings.Dispatch.ChunksPerShard = 2
		process.settings.ScaleIn.PermanentIdleTimeoutFactor = 100
		c.controllers[listen] = process
		c.handlers[listen] = process.servePartner
	}
	c.ServeAPI()
}

// partnerSettings returns the settings with which a cluster reaches its partner.
func (c *Cluster) partnerSettings(other *Cluster) settings.Partner {
	partner := settings.Partner{
		Name:         other.Name,
		Classes:      []string{"*"},
		HostedShare:  0.8,
		MinWaitRatio: 2,
		MachineLease: remoteLeaseDuration,
	}
	cancel := time.Duration(c.Settings.Deployment.Workers.Cancel) * time.Second
	partner.Term = remotelease.MaxTerm(cancel, partner.MachineLease, settings.MaxClockDrift)
	for _, name := range other.controllerNames {
		partner.Addresses = append(partner.Addresses, other.address(federationHost(name)))
	}
	return partner
}

// servePartner answers requests of a partner cluster. The path begins with the caller's
// cluster name, which the client certificate proves on real connections.
func (p *ControllerProcess) servePartner(_, path string, body []byte, reply func(int, any)) {
	caller, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	p.execute(p.incarnation, func() {
		p.Controller.HandlePartnerRequest(caller, "/"+rest, body, func(status int, answer any, _ int) { reply(status, answer) })
	})
}

// jobByID returns the description of a job, or nil if there is no such job. Machines look it up
// because commands name only the task. The description of a hosted job is derived from the one in
// its home cluster: it contains the tasks from the first task of the remote lease on.
func (c *Cluster) jobByID(id string) *protocol.Job {
	if job := c.jobs[id]; job != nil {
		return job
	}
	homeName, key, ok := remotelease.ParseJobID(id)
	if !ok {
		return nil
	}
	home := c.clusters[homeName]
	if home == nil || home.jobs[key.Job] == nil {
		return nil
	}
	hosted := *home.jobs[key.Job]
	hosted.ID = id
	hosted.Tasks -= key.FirstTask
	c.jobs[id] = &hosted
	return &hosted
}

// homeTask returns the home cluster of a task and the id that the task has there.
func (c *Cluster) homeTask(id agent.TaskID) (*Cluster, agent.TaskID) {
	homeName, key, ok := remotelease.ParseJobID(id.Job)
	if !ok || c.clusters[homeName] == nil {
		return c, id
	}
	return c.clusters[homeName], agent.TaskID{Job: key.Job, Index: key.FirstTask + id.Index}
}
