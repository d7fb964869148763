package node

import (
	"log/slog"

	"curlewspool/internal/dispatch"
	"curlewspool/internal/lead"
	"curlewspool/internal/mesh"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// This file is the leader's choice of a part for each job.

func (n *Node) resetSlots() {
	n.slots = make([]dispatch.Slots, len(n.names))
	for k := range n.slots {
		n.slots[k] = dispatch.NewSlots(n.s.Rank.Max)
	}
}

func (n *Node) learnSlots(st *mesh.Status) {
	for _, p := range st.Parts {
		if k := int(p.Part); k >= 0 && k < len(n.slots) && len(p.Load) == n.s.Rank.Max+1 && len(p.Count) == len(p.Load) {
			s := dispatch.NewSlots(n.s.Rank.Max)
			copy(s.Load, p.Load)
			for i, c := range p.Count {
				s.Count[i] = int(c)
			}
			n.slots[k] = s
		}
	}
}

// limited: its team has a limit, so that all of it stays in one part.
func (n *Node) limited(j *wire.Job) bool {
	t := n.s.Team(j.Team)
	return t != nil && t.Limited()
}

// choose ranks a job and gives each of its chunks a part.
func (n *Node) choose(j *wire.Job) (rank, chunk int, parts []int) {
	rank = n.ranker.Rank(j)
	np := len(n.names)
	limited := n.limited(j)
	chunks := 1
	if j.Shape == wire.Array && !j.OneZone && !j.Spread && !limited {
		d := &n.s.Dispatch
		chunks = max(1, min(int(float64(np)*d.ChunksPerPart), j.Tasks/d.ChunkMin))
	}
	chunk = (j.Tasks + chunks - 1) / chunks
	chunks = (j.Tasks + chunk - 1) / chunk
	parts = make([]int, chunks)
	if limited {
		// A limit is kept by the one owner that sees all the team's tasks.
		h := 0
		for _, c := range []byte(j.Team) {
			h = (h*31 + int(c)) % (1 << 20)
		}
		for c := range parts {
			parts[c] = h % np
		}
		return rank, chunk, parts
	}
	eligible := n.eligible(j)
	for c := range parts {
		k := dispatch.Choose(n.slots, eligible, rank)
		parts[c] = k
		n.slots[k].Add(rank, dispatch.Work(j, min(chunk, j.Tasks-c*chunk)))
	}
	return rank, chunk, parts
}

// eligible are the parts whose machines, were they empty, could hold the job;
// a gang as a whole. If there is none, those that hold most of it, or all.
func (n *Node) eligible(j *wire.Job) []bool {
	need, room := 1, make([]map[string]int, len(n.names))
	if j.Shape == wire.Gang {
		need = j.Tasks
	}
	for k := range room {
		room[k] = map[string]int{}
	}
	for _, m := range n.machines {
		if t := n.types[m.Type]; m.Part >= 0 && m.Part < len(n.names) && part.Allows(j, t, m.Zone, m.Spot) {
			room[m.Part][m.Zone] += t.Fits(j, need)
		}
	}
	holds := make([]int, len(n.names))
	best := 0
	for k := range room {
		holds[k] = min(part.Holds(j, room[k]), need)
		best = max(best, holds[k])
	}
	out := make([]bool, len(holds))
	for k, h := range holds {
		out[k] = h == best
	}
	return out
}

// Plan asks the leader where a submission goes.
func (n *Node) Plan(j *wire.Job, done func(rank, chunk int, parts []int)) {
	if n.leads() {
		done(n.choose(j))
		return
	}
	o := n.book.Owner(lead.Leader)
	// Without a leader, or with a slow one, this controller chooses by what all
	// owners told it last, so that users need not wait for an election. One
	// submission at the most waits for a leader that is gone: the next ones do not
	// ask it until it is heard again.
	alone := func() { done(n.choose(j)) }
	p := n.peers[o]
	if p == nil || !n.heard(o) || p.mute {
		alone()
		return
	}
	n.askID++
	id := n.askID
	n.asks[id] = func(a *mesh.Answer) {
		parts := make([]int, len(a.Parts))
		for i, p := range a.Parts {
			parts[i] = int(p)
		}
		done(int(a.Rank), int(a.Chunk), parts)
	}
	n.w.Send(o, &mesh.Envelope{Body: &mesh.Envelope_Ask{Ask: &mesh.Ask{Id: id, Job: wire.Encode(j)}}})
	// Answers come within some milliseconds. (At a third of a heartbeat, 220 ms,
	// the wait alone was longer than users of 200 ms allow for all.)
	n.w.After(n.heartbeat()/12, func() {
		if n.asks[id] != nil {
			delete(n.asks, id)
			p.mute = true
			alone()
		}
	})
}

// News hurries the others' caches.
func (n *Node) News(id string) { n.announce(&mesh.News{Job: id}) }

// Withdrawn tells them that a job's cancellation is stored, which they need no cache for.
func (n *Node) Withdrawn(id, cause string) {
	n.announce(&mesh.News{Job: id, Withdrawn: true, Cause: cause})
}

func (n *Node) announce(news *mesh.News) {
	for _, name := range sortedKeys(n.peers) {
		n.w.Send(name, &mesh.Envelope{Body: &mesh.Envelope_News{News: news}})
	}
}

// calledOff takes another controller's word that a job's cancellation is stored. The
// cache may not say so for long: the state service may refuse this controller alone,
// and then be down for all. An end is final, so the word is as good as the record:
// the job's tasks are halted now, none starts, and users are told. The record goes
// when the cache is told of it. (Without a word the bound of a cancellation holds all
// the same, by the end of leases; see docs/design.md.)
func (n *Node) calledOff(id, cause string) {
	rec := n.jobs[id]
	if rec == nil || n.over[id] {
		return
	}
	n.over[id] = true
	slog.Info("node: called off by another controller's word", "job", id)
	n.intake.Over(id, part.Final{Status: wire.Withdrawn, Tasks: rec.Job.Tasks, Cause: cause})
	n.eachPart(func(p *part.Part) { p.OnJob(id, nil, 0) })
}
