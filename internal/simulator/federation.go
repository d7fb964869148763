package simulator

import (
	"fmt"
	"strings"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/settings"
)

// NewFederation makes two clusters, west and east, in one world; each may lend to
// the other.
func NewFederation(seed uint64, nodes int) (west, east *Cluster) {
	network := newNetwork(seed)
	west, east = network.addCluster("west", nodes), network.addCluster("east", nodes)
	for _, cluster := range []*Cluster{west, east} {
		other := east
		if cluster == east {
			other = west
		}
		for _, name := range cluster.controllerNames {
			process := cluster.Controllers[name]
			f := &settings.Federation{Cluster: cluster.Name, Listen: cluster.address("fed-" + name)}
			p := settings.Partner{Name: other.Name, Classes: []string{"*"}, Lends: 0.8, Ratio: 2, Lease: 14 * time.Second}
			p.Term = remotelease.MaxTerm(time.Duration(cluster.Settings.Deployment.Workers.Cancel)*time.Second, p.Lease, settings.Drift)
			for _, o := range other.controllerNames {
				p.Addresses = append(p.Addresses, other.address("fed-"+o))
			}
			f.Partners = []settings.Partner{p}
			process.settings.Federation = f
			process.settings.Dispatch.ChunksPerPart, process.settings.Rent.OwnIdleBoots = 2, 100
			network.controllers[f.Listen] = process
			network.handlers[f.Listen] = func(_, path string, body []byte, reply func(int, any)) {
				// The caller's certificate names it; here the path does.
				from, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
				process.execute(process.incarnation, func() {
					process.Controller.HandlePartnerRequest(from, "/"+rest, body, func(status int, b any, _ int) { reply(status, b) })
				})
			}
		}
		cluster.ServeAPI()
	}
	return west, east
}

// jobByID is a job's description, which machines fetch by themselves: for a
// borrowed one its home's, from the loan's first task on.
func (c *Cluster) jobByID(id string) *protocol.Job {
	if job := c.jobs[id]; job != nil {
		return job
	}
	home, k, ok := remotelease.ParseJobID(id)
	if !ok || c.clusters[home] == nil || c.clusters[home].jobs[k.Job] == nil {
		return nil
	}
	j := *c.clusters[home].jobs[k.Job]
	j.ID = id
	j.Tasks -= k.FirstTask
	c.jobs[id] = &j
	return &j
}

// origin is a task as its user knows it.
func (c *Cluster) origin(t agent.TaskID) (*Cluster, agent.TaskID) {
	home, k, ok := remotelease.ParseJobID(t.Job)
	if !ok || c.clusters[home] == nil {
		return c, t
	}
	return c.clusters[home], agent.TaskID{Job: k.Job, Index: k.FirstTask + t.Index}
}

// LoanSummary tells how many chunks are lent and how many loans are borrowed, as the
// controllers say.
func (c *Cluster) LoanSummary() string {
	for _, name := range c.runningControllers() {
		if v := c.Controllers[name].Controller.DebugState().Federation; v != nil {
			return fmt.Sprintf("%s: %d lent, %d borrowed", c.Name, len(v.Lent), len(v.Borrowed))
		}
	}
	return c.Name + ": nobody there"
}
