package node

import (
	"log/slog"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/fleet"
	"curlewspool/internal/lead"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// This file takes and gives up parts, as their keys say.

// claimOwn takes back, under new tokens, what this controller held before its
// restart: its dead predecessor cannot act any more, so nothing is waited for.
func (n *Node) claimOwn() {
	if !n.l.Loaded() || !n.l.Grant.Valid() {
		return
	}
	for k := range n.names {
		if key := lead.PartKey(k); n.book.Stale(key) {
			n.book.Claim(key, false)
		}
	}
	if n.book.Stale(lead.Leader) {
		n.book.Claim(lead.Leader, false)
	}
}

func (n *Node) taken(key string, token uint64, until float64) {
	if key == lead.Leader {
		if n.fleet == nil {
			n.fleet = fleet.New(n.w, n.s, token)
			n.resetSlots()
			if n.desk != nil {
				n.desk.Lead(token)
			}
		}
		return
	}
	k, err := strconv.Atoi(strings.TrimPrefix(key, "a/o/"))
	if err != nil || k < 0 || k >= len(n.names) {
		return
	}
	if p := n.parts[k]; p != nil {
		p.Renew(token)
		return
	}
	// The cache may be older than the claim: the last writes of the owner
	// before, such as which job may be on which machine, must be in it before
	// anything is started. No write of his can follow the claim.
	n.settle(k, key, token, n.w.Now()+n.mayAnswer(until))
}

// mayAnswer is for how long yet an owner before may answer workers: until a time
// of day, by two clocks that may both be off, but no longer than a grant. Who
// gave its key up has stopped; one whose grant ended at the state service had
// renewed it, at the latest, when the key was taken from it.
func (n *Node) mayAnswer(until float64) time.Duration {
	left := world.Seconds(until - n.Wall() + 2*n.s.Deployment.SkewMs/1000)
	return max(min(left, n.grantLife()), 2*n.renewEvery())
}

// release gives a part up, unless an owner before may still answer its machines:
// who takes a free part would not know of that.
func (n *Node) release(k int) bool {
	if p := n.parts[k]; p != nil && n.w.Now() < p.Bound() {
		return false
	}
	n.book.Release(lead.PartKey(k))
	return true
}

func (n *Node) settle(k int, key string, token uint64, bound time.Duration) {
	n.l.Prove(func(ok bool) {
		if !n.book.Holds(key) || n.book.Token(key) < token || n.parts[k] != nil {
			return
		}
		if !ok {
			n.w.After(n.heartbeat(), func() { n.settle(k, key, token, bound) })
			return
		}
		n.open(k, key, n.book.Token(key), bound)
	})
}

func (n *Node) open(k int, key string, token uint64, bound time.Duration) {
	p := part.New(k, token, n, func() wire.Cond { return n.book.Guard(key) }, bound)
	n.parts[k] = p
	for _, id := range sortedKeys(n.machines) {
		p.OnMachine(id, n.machines[id])
	}
	for _, id := range sortedKeys(n.jobs) {
		e, _ := n.l.Get(part.JobKey(id))
		p.OnJob(id, n.jobs[id], e.Stamp)
		n.feedProgress(p, id)
	}
	p.Tick()
}

func (n *Node) lost(key string) {
	if key == lead.Leader {
		n.fleet = nil
		return
	}
	if k, err := strconv.Atoi(strings.TrimPrefix(key, "a/o/")); err == nil {
		if p := n.parts[k]; p != nil {
			p.Close()
			delete(n.parts, k)
		}
	}
}

// owns gives a part that this controller owns and may act for now.
func (n *Node) owns(k int) *part.Part {
	if p := n.parts[k]; p != nil && n.book.Holds(lead.PartKey(k)) && n.l.Grant.Valid() {
		return p
	}
	return nil
}

func (n *Node) leads() bool {
	return n.fleet != nil && n.book.Holds(lead.Leader) && n.l.Grant.Valid()
}

// ready: able to act for the service.
func (n *Node) ready() bool {
	return n.l.Loaded() && n.l.Grant.Valid() && !n.l.Down() && len(n.types) > 0
}

func (n *Node) ownership() {
	if !n.l.Loaded() || !n.l.Grant.Valid() {
		return
	}
	n.claimOwn()
	now := n.w.Now()
	if now < n.claims {
		return
	}
	// Who has just started lets the one that led before come back first.
	n.claims = now + n.heartbeat()/2 + time.Duration(n.w.Rand().Int64N(int64(n.heartbeat())))
	switch o := n.book.Owner(lead.Leader); {
	case o == "":
		n.book.Claim(lead.Leader, false)
	case o != n.s.Name && n.absent(o):
		slog.Info("node: the leader is absent", "leader", o)
		n.book.Claim(lead.Leader, true)
	}
}
