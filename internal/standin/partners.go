package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"curlewspool/internal/loan"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
)

// Federated makes two clusters, west and east, in one world; each may lend to
// the other.
func Federated(seed uint64, nodes int) (west, east *Sim) {
	n := newNet(seed)
	west, east = n.cluster("west", nodes), n.cluster("east", nodes)
	for _, s := range []*Sim{west, east} {
		other := east
		if s == east {
			other = west
		}
		for _, name := range s.all {
			h := s.Nodes[name]
			f := &settings.Federation{Cluster: s.Name, Listen: s.addr("fed-" + name)}
			p := settings.Partner{Name: other.Name, Classes: []string{"*"}, Lends: 0.8, Ratio: 2, Lease: 14 * time.Second}
			p.Term = loan.LongestTerm(time.Duration(s.S.Deployment.Workers.Cancel)*time.Second, p.Lease, settings.Drift)
			for _, o := range other.all {
				p.Addresses = append(p.Addresses, other.addr("fed-"+o))
			}
			f.Partners = []settings.Partner{p}
			h.set.Federation = f
			h.set.Dispatch.ChunksPerPart, h.set.Rent.OwnIdleBoots = 2, 100
			n.hosts[f.Listen] = h
			n.serve[f.Listen] = func(_, path string, body []byte, reply func(int, any)) {
				// The caller's certificate names it; here the path does.
				from, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
				h.step(h.life, func() {
					h.Node.PartnerAsks(from, "/"+rest, body, func(status int, b any, _ int) { reply(status, b) })
				})
			}
		}
		s.API()
	}
	return west, east
}

// Ask is the line between clusters.
func (w *world) Ask(_, addr, path string, in, out any, timeout time.Duration, done func(int)) {
	w.Call(addr, "POST", "/"+w.h.s.Name+path, in, out, timeout, done)
}

// job is a job's description, which machines fetch by themselves: for a
// borrowed one its home's, from the loan's first task on.
func (s *Sim) job(id string) *wire.Job {
	if j := s.jobs[id]; j != nil {
		return j
	}
	home, k, ok := loan.Parse(id)
	if !ok || s.sims[home] == nil || s.sims[home].jobs[k.Job] == nil {
		return nil
	}
	j := *s.sims[home].jobs[k.Job]
	j.ID = id
	j.Tasks -= k.First
	s.jobs[id] = &j
	return &j
}

// origin is a task as its user knows it.
func (s *Sim) origin(t worker.Task) (*Sim, worker.Task) {
	home, k, ok := loan.Parse(t.Job)
	if !ok || s.sims[home] == nil {
		return s, t
	}
	return s.sims[home], worker.Task{Job: k.Job, Index: k.First + t.Index}
}

// each calls f for every task on any machine of any cluster, in a fixed order.
func (n *Net) each(f func(w *Worker, t *task)) {
	for _, name := range slices.Sorted(maps.Keys(n.sims)) {
		s := n.sims[name]
		for _, id := range s.workerIDs() {
			for _, t := range s.Workers[id].tasks {
				f(s.Workers[id], t)
			}
		}
	}
}

// apart lists the ways between two clusters' controllers.
func apart(a, b *Sim) (pairs [][2]string) {
	for _, x := range a.all {
		for _, y := range b.all {
			pairs = append(pairs, [2]string{a.addr(x), b.addr("fed-" + y)}, [2]string{b.addr(y), a.addr("fed-" + x)})
		}
	}
	return pairs
}

// Part cuts two clusters off from each other, both ways or only the messages
// from a to b; what is sent is held back, and delivered by the function it
// gives.
func (n *Net) Part(a, b *Sim, oneWay bool) (heal func()) {
	word := "-"
	if oneWay {
		word = ">"
	}
	n.Trace("cut %s %s %s", a.Name, word, b.Name)
	ways := apart(a, b)
	for _, p := range ways {
		for _, k := range [][2]string{p, {p[1], p[0]}} {
			if !oneWay || strings.HasPrefix(k[0], a.Name+".") {
				n.cuts[k[0]+"|"+k[1]] = true
			}
		}
	}
	return func() {
		n.Trace("heal %s %s %s", a.Name, word, b.Name)
		for _, p := range ways {
			n.heal(p[0], p[1])
		}
	}
}

// partFor cuts two clusters off from one time to another, in seconds.
func (n *Net) partFor(a, b *Sim, oneWay bool, from, to float64) {
	n.At(from, func() {
		heal := n.Part(a, b, oneWay)
		n.At(to, heal)
	})
}

// CrashAll ends all controllers of a cluster.
func (s *Sim) CrashAll() {
	for _, name := range s.all {
		s.Nodes[name].Crash()
	}
}

// Leader is the name of the controller that leads; "" if none knows.
func (s *Sim) Leader() string {
	for _, name := range s.names() {
		if l := s.Nodes[name].Node.Describe().Leader; l != "" {
			return l
		}
	}
	return ""
}

// Loans tells how many chunks are lent and how many loans are borrowed, as the
// controllers say.
func (s *Sim) Loans() string {
	for _, name := range s.names() {
		if v := s.Nodes[name].Node.Describe().Federation; v != nil {
			return fmt.Sprintf("%s: %d lent, %d borrowed", s.Name, len(v.Away), len(v.Borrowed))
		}
	}
	return s.Name + ": nobody there"
}
