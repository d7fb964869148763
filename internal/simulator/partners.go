package simulator

import (
	"fmt"
	"maps"
	"slices"
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

// CallPartner is the line between clusters.
func (e *controllerEnvironment) CallPartner(_, addr, path string, in, out any, timeout time.Duration, done func(int)) {
	e.Call(addr, "POST", "/"+e.process.cluster.Name+path, in, out, timeout, done)
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

// forEachAttempt calls f for every task on any machine of any cluster, in a fixed order.
func (n *Network) forEachAttempt(f func(machine *Machine, t *attempt)) {
	for _, name := range slices.Sorted(maps.Keys(n.clusters)) {
		cluster := n.clusters[name]
		for _, id := range cluster.machineIDs() {
			for _, t := range cluster.Machines[id].attempts {
				f(cluster.Machines[id], t)
			}
		}
	}
}

// linksBetween lists the ways between two clusters' controllers.
func linksBetween(a, b *Cluster) (pairs [][2]string) {
	for _, x := range a.controllerNames {
		for _, y := range b.controllerNames {
			pairs = append(pairs, [2]string{a.address(x), b.address("fed-" + y)}, [2]string{b.address(y), a.address("fed-" + x)})
		}
	}
	return pairs
}

// PartitionClusters cuts two clusters off from each other, both ways or only the messages
// from a to b; what is sent is held back, and delivered by the function it
// gives.
func (n *Network) PartitionClusters(a, b *Cluster, oneWay bool) (heal func()) {
	word := "-"
	if oneWay {
		word = ">"
	}
	n.Trace("cut %s %s %s", a.Name, word, b.Name)
	ways := linksBetween(a, b)
	for _, pair := range ways {
		for _, k := range [][2]string{pair, {pair[1], pair[0]}} {
			if !oneWay || strings.HasPrefix(k[0], a.Name+".") {
				n.cuts[k[0]+"|"+k[1]] = true
			}
		}
	}
	return func() {
		n.Trace("heal %s %s %s", a.Name, word, b.Name)
		for _, pair := range ways {
			n.healLink(pair[0], pair[1])
		}
	}
}

// partitionClustersFor cuts two clusters off from one time to another, in seconds.
func (n *Network) partitionClustersFor(a, b *Cluster, oneWay bool, from, to float64) {
	n.At(from, func() {
		heal := n.PartitionClusters(a, b, oneWay)
		n.At(to, heal)
	})
}

// CrashControllers ends all controllers of a cluster.
func (c *Cluster) CrashControllers() {
	for _, name := range c.controllerNames {
		c.Controllers[name].Crash()
	}
}

// LeaderName is the name of the controller that leads; "" if none knows.
func (c *Cluster) LeaderName() string {
	for _, name := range c.runningControllers() {
		if line := c.Controllers[name].Controller.DebugState().Leader; line != "" {
			return line
		}
	}
	return ""
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
