package node

import (
	"log/slog"
	"time"

	"curlewspool/internal/dependency"
	"curlewspool/internal/lead"
	"curlewspool/internal/ledger"
	"curlewspool/internal/mesh"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// This file releases jobs that have waited for others, and withdraws those of which one
// that they need was cancelled. A job that waits has no part: nobody can start any of it,
// a controller of the version before included. What releases it is one transaction that
// gives it its parts, sent only when the ends of all that it needs have been read, which
// are durable and never change. So it does not matter who sends it, or how often.

// dependencies is what a controller follows of that.
type dependencies struct {
	graph     *dependency.Graph
	reading   map[string]bool          // ends that are being read
	releasing map[string]time.Duration // since when a transaction of the job is under way
	released  int
	cascaded  int
}

// releaseAgain is after how many heartbeats a release without a result is sent again.
const releaseAgain = 12

// mostReading bounds the ends that are read at once.
const mostReading = 8

func (n *Node) newDependencies() {
	n.waits.graph = dependency.New(func(id string) bool {
		_, ok := n.l.Get(part.JobKey(id))
		return ok
	})
	n.waits.reading, n.waits.releasing = map[string]bool{}, map[string]time.Duration{}
}

// Dependencies says which jobs wait for which.
func (n *Node) Dependencies() *dependency.Graph { return n.waits.graph }

// TakesDependencies tells whether every controller that is heard understands jobs that
// need others. One that is not heard is not waited for: it finds a record without parts.
func (n *Node) TakesDependencies() bool {
	for name, p := range n.peers {
		if p.status != nil && n.heard(name) && p.status.GetVersion() < mesh.VersionDependencies {
			return false
		}
	}
	return true
}

// releases tells whether it is for this controller to release: the leader does, as it
// chooses the parts; while none is heard that knows how to, the first by name of those
// that do.
func (n *Node) releases() bool {
	if !n.ready() {
		return false
	}
	if n.leads() {
		return true
	}
	knows := func(name string) bool {
		p := n.peers[name]
		return p != nil && p.status != nil && n.heard(name) && p.status.Ready && p.status.GetVersion() >= mesh.VersionDependencies
	}
	if knows(n.book.Owner(lead.Leader)) {
		return false
	}
	for _, name := range n.names {
		if name == n.s.Name {
			return true
		}
		if knows(name) {
			return false
		}
	}
	return false
}

// mindDependencies does what is to be done: reads ends, releases, withdraws.
func (n *Node) mindDependencies() {
	g := n.waits.graph
	if g.Waiting() == 0 || !n.releases() {
		return
	}
	for _, id := range g.AllUnread() {
		n.readEnd(id)
	}
	for _, id := range g.AllCascaded() {
		if n.begin(id) {
			n.intake.Cascade(id, func(ok bool) {
				delete(n.waits.releasing, id)
				if ok {
					n.waits.cascaded++
					slog.Info("node: withdrawn with a job that it needs", "job", id)
				}
			})
		}
	}
	for _, id := range g.Ready() {
		if rec := n.jobs[id]; rec != nil && n.begin(id) {
			n.placeReleased(id, rec)
		}
	}
}

func (n *Node) readEnd(id string) {
	if n.waits.reading[id] || len(n.waits.reading) >= mostReading {
		return // when one of those under way is there, or at the next tick
	}
	n.waits.reading[id] = true
	n.intake.ReadEnd(id, func(ok bool) {
		if ok {
			delete(n.waits.reading, id)
			n.mindDependencies()
			return
		}
		// A refusal is there in milliseconds: asking again at once would ask hundreds of
		// times a second. Members do not come back in step.
		pause := n.heartbeat() + time.Duration(n.w.Rand().Int64N(int64(n.heartbeat())))
		n.w.After(pause, func() { delete(n.waits.reading, id) })
	})
}

// begin notes that a transaction of the job is under way; false if one is already.
func (n *Node) begin(id string) bool {
	now := n.w.Now()
	if at, ok := n.waits.releasing[id]; ok && now-at < releaseAgain*n.heartbeat() {
		return false
	}
	n.waits.releasing[id] = now
	return true
}

// terms are what a job passes on to those that it needs.
func terms(rec *part.JobRecord) dependency.Terms {
	t := dependency.Terms{Rank: rec.Job.Rank, Estimate: rec.Job.Estimate}
	if rec.Job.Deadline > 0 {
		t.Due = rec.At + rec.Job.Deadline
	}
	return t
}

// Inherit gives a job's record with what it takes over from jobs that wait for it: the
// highest of their priorities, and the time by which it must be done for their deadlines.
// Users set both on the last job of a pipeline only. Nothing of it is stored.
func (n *Node) Inherit(rec *part.JobRecord) *part.JobRecord {
	t, ok := n.waits.graph.Inherited(rec.Job.ID)
	if !ok {
		return rec
	}
	out := *rec
	out.Job.Rank = max(out.Job.Rank, t.Rank)
	if t.Due > 0 {
		due := max(t.Due-rec.At, part.Overdue)
		if out.Job.Deadline == 0 || due < out.Job.Deadline {
			out.Job.Deadline = due
		}
	}
	return &out
}

// inheritAnew has the parts take over anew what jobs have from those that wait for them.
func (n *Node) inheritAnew(ids []string) {
	for _, id := range ids {
		n.eachPart(func(p *part.Part) { p.Inherit(id) })
	}
}

// placeReleased gives a job that has waited its parts.
func (n *Node) placeReleased(id string, waiting *part.JobRecord) {
	rec := waiting.Release(n.Wall())
	n.Plan(&n.Inherit(rec).Job, func(rank, chunk int, parts []int) {
		rec.Rank, rec.Chunk, rec.Parts = rank, chunk, parts
		n.l.Write(ledger.Urgent, &ledger.Write{
			Build: func(nonce string) ([]wire.Cond, []wire.Op) {
				if n.jobs[id] != waiting {
					return nil, nil
				}
				rec.W = nonce
				return []wire.Cond{n.l.Stamp(part.JobKey(id))}, []wire.Op{{Put: part.JobKey(id), Value: wire.Encode(rec)}}
			},
			Done: func(ok bool, _ uint64) {
				delete(n.waits.releasing, id)
				if ok {
					n.waits.released++
					slog.Info("node: released", "job", id, "after_s", rec.At-rec.SubmittedAt, "parts", parts)
					n.News(id)
				}
			},
		})
	})
}
