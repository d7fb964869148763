// Package dependency follows which jobs wait for others. It derives from the records of
// live jobs and from the ends of those they need whether a job waits, may be released, or
// is withdrawn with one that it needs. Ends never change, so what is derived from them is
// final as well, on every controller and after any restart; nothing of it is stored.
//
// The graph does no input or output and has no clock. What it costs is in proportion to
// the links of what changes.
package dependency

import (
	"maps"
	"slices"
)

// Outcome is how a job ended.
type Outcome int

// Ends of a job.
const (
	OutcomeUnknown   Outcome = iota // it lives, or its end has not been read
	OutcomeDone                     // all of its tasks are done, durably
	OutcomeCancelled                // it was cancelled
)

// Terms are what a job passes on to those that it needs.
type Terms struct {
	Rank     int     // of priorities
	DueAt    float64 // time of day by which it is to be done, in seconds; 0: none
	Estimate float64 // of its run time, in seconds
}

// node is one that lives, or that a waiting one needs.
type node struct {
	waiting    bool
	needs      []string
	terms      Terms
	dependents map[string]bool // waiting jobs that need it
	outcome    Outcome
	unmetCount int  // needed jobs that are not done
	cancelled  bool // one that it needs, directly or through others, is withdrawn
}

// Graph belongs to the owner's loop.
type Graph struct {
	isLive       func(id string) bool // whether a job's record is there
	nodes        map[string]*node
	unread       map[string]bool // needed, neither alive nor with a known end
	ready        map[string]bool // waiting, all that they need is done
	cancelled    map[string]bool // waiting, to be withdrawn
	waitingCount int
}

// NewGraph makes an empty graph; lives tells whether a job's record is there.
func NewGraph(isLive func(id string) bool) *Graph {
	return &Graph{isLive: isLive, nodes: map[string]*node{}, unread: map[string]bool{}, ready: map[string]bool{}, cancelled: map[string]bool{}}
}

func (g *Graph) nodeFor(id string) *node {
	j := g.nodes[id]
	if j == nil {
		j = &node{dependents: map[string]bool{}}
		g.nodes[id] = j
	}
	return j
}

// Update takes the record of a job that lives: what it needs, whether it still waits, and
// what it passes on.
func (g *Graph) Update(id string, needs []string, waiting bool, terms Terms) {
	if !waiting && g.nodes[id] == nil {
		return // nobody needs it
	}
	j := g.nodeFor(id)
	delete(g.unread, id)
	switch {
	case waiting && !j.waiting:
		j.terms = terms
		g.link(id, j, needs)
	case !waiting && j.waiting:
		g.unlink(id, j)
		g.dropUnused(id)
	}
}

// Remove is told that a job's record is gone: it has ended, whichever way.
func (g *Graph) Remove(id string) {
	j := g.nodes[id]
	if j == nil {
		return
	}
	g.unlink(id, j)
	if len(j.dependents) > 0 && j.outcome == OutcomeUnknown {
		g.unread[id] = true
	}
	g.dropUnused(id)
}

// RecordOutcome takes how a job ended, which must be durable.
func (g *Graph) RecordOutcome(id string, outcome Outcome) {
	j := g.nodes[id]
	if j == nil || j.outcome != OutcomeUnknown || outcome == OutcomeUnknown {
		return
	}
	j.outcome = outcome
	delete(g.unread, id)
	for dependent := range j.dependents {
		waiting := g.nodes[dependent]
		if outcome == OutcomeCancelled {
			g.cancelCascade(dependent, waiting)
			continue
		}
		waiting.unmetCount--
		if waiting.unmetCount == 0 && !waiting.cancelled {
			g.ready[dependent] = true
		}
	}
}

func (g *Graph) link(id string, waiting *node, needs []string) {
	waiting.waiting, waiting.needs, waiting.unmetCount = true, slices.Clone(needs), 0
	g.waitingCount++
	cancelled := false
	for _, need := range needs {
		needed := g.nodeFor(need)
		needed.dependents[id] = true
		if needed.outcome != OutcomeDone {
			waiting.unmetCount++
		}
		if needed.outcome == OutcomeUnknown && !g.isLive(need) {
			g.unread[need] = true
		}
		cancelled = cancelled || needed.outcome == OutcomeCancelled || needed.cancelled
	}
	switch {
	case cancelled:
		g.cancelCascade(id, waiting)
	case waiting.unmetCount == 0:
		g.ready[id] = true
	}
}

func (g *Graph) unlink(id string, waiting *node) {
	if !waiting.waiting {
		return
	}
	waiting.waiting = false
	g.waitingCount--
	delete(g.ready, id)
	delete(g.cancelled, id)
	for _, need := range waiting.needs {
		delete(g.nodes[need].dependents, id)
		if len(g.nodes[need].dependents) == 0 {
			delete(g.unread, need)
		}
		g.dropUnused(need)
	}
	waiting.needs = nil
}

// cancelCascade withdraws a waiting job and all that need it.
func (g *Graph) cancelCascade(id string, waiting *node) {
	if waiting.cancelled {
		return
	}
	waiting.cancelled = true
	delete(g.ready, id)
	g.cancelled[id] = true
	for dependent := range waiting.dependents {
		g.cancelCascade(dependent, g.nodes[dependent])
	}
}

// dropUnused drops a job that does not wait and that no waiting one needs.
func (g *Graph) dropUnused(id string) {
	if j := g.nodes[id]; j != nil && !j.waiting && len(j.dependents) == 0 {
		delete(g.nodes, id)
		delete(g.unread, id)
	}
}

// InheritedTerms is what a job takes over from those that wait for it, directly or through
// others: the highest of their priorities, and when it must be done so that the longest way
// from it to any of their deadlines is kept. false: none waits for it.
func (g *Graph) InheritedTerms(id string) (Terms, bool) {
	needed := g.nodes[id]
	if needed == nil || len(needed.dependents) == 0 {
		return Terms{}, false
	}
	return g.inheritedTerms(needed, map[*node]Terms{}), true
}

func (g *Graph) inheritedTerms(needed *node, known map[*node]Terms) Terms {
	if terms, ok := known[needed]; ok {
		return terms
	}
	var inherited Terms
	for id := range needed.dependents {
		waiting := g.nodes[id]
		if waiting.cancelled {
			continue
		}
		above := g.inheritedTerms(waiting, known)
		inherited.Rank = max(inherited.Rank, waiting.terms.Rank, above.Rank)
		for _, due := range []float64{waiting.terms.DueAt, above.DueAt} {
			if due > 0 && (inherited.DueAt == 0 || due-waiting.terms.Estimate < inherited.DueAt) {
				inherited.DueAt = due - waiting.terms.Estimate
			}
		}
	}
	known[needed] = inherited
	return inherited
}

// Upstream lists what a waiting job needs, directly or through others.
func (g *Graph) Upstream(id string) (ids []string) {
	seen := map[string]bool{}
	var visit func(id string)
	visit = func(id string) {
		for _, need := range g.nodes[id].needs {
			if !seen[need] {
				seen[need], ids = true, append(ids, need)
				visit(need)
			}
		}
	}
	if g.IsWaiting(id) {
		visit(id)
	}
	return ids
}

// IsWaiting tells whether a job waits for others.
func (g *Graph) IsWaiting(id string) bool { j := g.nodes[id]; return j != nil && j.waiting }

// IsNeeded tells whether a waiting job needs it.
func (g *Graph) IsNeeded(id string) bool { j := g.nodes[id]; return j != nil && len(j.dependents) > 0 }

// IsCancelled tells whether a waiting job is withdrawn with one that it needs, by the ends
// that are known.
func (g *Graph) IsCancelled(id string) bool { return g.cancelled[id] }

// CancellationCause is the cancelled job with which a waiting one is withdrawn; "": it is not.
func (g *Graph) CancellationCause(id string) string {
	if !g.IsCancelled(id) {
		return ""
	}
	for _, need := range g.nodes[id].needs {
		if g.nodes[need].outcome == OutcomeCancelled {
			return need
		}
	}
	for _, need := range g.nodes[id].needs {
		if cause := g.CancellationCause(need); cause != "" {
			return cause
		}
	}
	return ""
}

// UnmetNeeds lists what a waiting job needs and is not known to be done.
func (g *Graph) UnmetNeeds(id string) (open []string) {
	if !g.IsWaiting(id) {
		return nil
	}
	for _, need := range g.nodes[id].needs {
		if g.nodes[need].outcome != OutcomeDone {
			open = append(open, need)
		}
	}
	return open
}

// UnreadUpstream lists the jobs that a waiting one needs, directly or through others, whose ends
// must be read before it is certain that it still waits.
func (g *Graph) UnreadUpstream(id string) (ids []string) {
	for _, need := range g.Upstream(id) {
		if g.unread[need] {
			ids = append(ids, need)
		}
	}
	return ids
}

// Unread lists the jobs whose ends some waiting one needs to have read.
func (g *Graph) Unread() []string { return slices.Sorted(maps.Keys(g.unread)) }

// Ready lists the waiting jobs that may be released.
func (g *Graph) Ready() []string { return slices.Sorted(maps.Keys(g.ready)) }

// Cancelled lists the waiting jobs that are to be withdrawn.
func (g *Graph) Cancelled() []string { return slices.Sorted(maps.Keys(g.cancelled)) }

// WaitingCount is the number of jobs that wait for others.
func (g *Graph) WaitingCount() int { return g.waitingCount }
