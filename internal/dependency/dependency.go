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

// End is how a job ended.
type End int

// Ends of a job.
const (
	Unknown   End = iota // it lives, or its end has not been read
	Done                 // all of its tasks are done, durably
	Withdrawn            // it was cancelled
)

// Terms are what a job passes on to those that it needs.
type Terms struct {
	Rank     int     // of priorities
	Due      float64 // time of day by which it is to be done, in seconds; 0: none
	Estimate float64 // of its run time, in seconds
}

// job is one that lives, or that a waiting one needs.
type job struct {
	waiting    bool
	needs      []string
	terms      Terms
	dependents map[string]bool // waiting jobs that need it
	end        End
	missing    int  // needed jobs that are not done
	cascaded   bool // one that it needs, directly or through others, is withdrawn
}

// Graph belongs to the owner's loop.
type Graph struct {
	lives    func(id string) bool // whether a job's record is there
	jobs     map[string]*job
	unread   map[string]bool // needed, neither alive nor with a known end
	ready    map[string]bool // waiting, all that they need is done
	cascaded map[string]bool // waiting, to be withdrawn
	waiting  int
}

// New makes an empty graph; lives tells whether a job's record is there.
func New(lives func(id string) bool) *Graph {
	return &Graph{lives: lives, jobs: map[string]*job{}, unread: map[string]bool{}, ready: map[string]bool{}, cascaded: map[string]bool{}}
}

func (g *Graph) job(id string) *job {
	j := g.jobs[id]
	if j == nil {
		j = &job{dependents: map[string]bool{}}
		g.jobs[id] = j
	}
	return j
}

// Live takes the record of a job that lives: what it needs, whether it still waits, and
// what it passes on.
func (g *Graph) Live(id string, needs []string, waiting bool, terms Terms) {
	if !waiting && g.jobs[id] == nil {
		return // nobody needs it
	}
	j := g.job(id)
	delete(g.unread, id)
	switch {
	case waiting && !j.waiting:
		j.terms = terms
		g.link(id, j, needs)
	case !waiting && j.waiting:
		g.unlink(id, j)
		g.forget(id)
	}
}

// Over is told that a job's record is gone: it has ended, whichever way.
func (g *Graph) Over(id string) {
	j := g.jobs[id]
	if j == nil {
		return
	}
	g.unlink(id, j)
	if len(j.dependents) > 0 && j.end == Unknown {
		g.unread[id] = true
	}
	g.forget(id)
}

// End takes how a job ended, which must be durable.
func (g *Graph) End(id string, end End) {
	j := g.jobs[id]
	if j == nil || j.end != Unknown || end == Unknown {
		return
	}
	j.end = end
	delete(g.unread, id)
	for dependent := range j.dependents {
		d := g.jobs[dependent]
		if end == Withdrawn {
			g.cascade(dependent, d)
			continue
		}
		d.missing--
		if d.missing == 0 && !d.cascaded {
			g.ready[dependent] = true
		}
	}
}

func (g *Graph) link(id string, j *job, needs []string) {
	j.waiting, j.needs, j.missing = true, slices.Clone(needs), 0
	g.waiting++
	withdrawn := false
	for _, need := range needs {
		n := g.job(need)
		n.dependents[id] = true
		if n.end != Done {
			j.missing++
		}
		if n.end == Unknown && !g.lives(need) {
			g.unread[need] = true
		}
		withdrawn = withdrawn || n.end == Withdrawn || n.cascaded
	}
	switch {
	case withdrawn:
		g.cascade(id, j)
	case j.missing == 0:
		g.ready[id] = true
	}
}

func (g *Graph) unlink(id string, j *job) {
	if !j.waiting {
		return
	}
	j.waiting = false
	g.waiting--
	delete(g.ready, id)
	delete(g.cascaded, id)
	for _, need := range j.needs {
		delete(g.jobs[need].dependents, id)
		if len(g.jobs[need].dependents) == 0 {
			delete(g.unread, need)
		}
		g.forget(need)
	}
	j.needs = nil
}

// cascade withdraws a waiting job and all that need it.
func (g *Graph) cascade(id string, j *job) {
	if j.cascaded {
		return
	}
	j.cascaded = true
	delete(g.ready, id)
	g.cascaded[id] = true
	for dependent := range j.dependents {
		g.cascade(dependent, g.jobs[dependent])
	}
}

// forget drops a job that does not wait and that no waiting one needs.
func (g *Graph) forget(id string) {
	if j := g.jobs[id]; j != nil && !j.waiting && len(j.dependents) == 0 {
		delete(g.jobs, id)
		delete(g.unread, id)
	}
}

// Inherited is what a job takes over from those that wait for it, directly or through
// others: the highest of their priorities, and when it must be done so that the longest way
// from it to any of their deadlines is kept. false: none waits for it.
func (g *Graph) Inherited(id string) (Terms, bool) {
	j := g.jobs[id]
	if j == nil || len(j.dependents) == 0 {
		return Terms{}, false
	}
	return g.inherited(j, map[*job]Terms{}), true
}

func (g *Graph) inherited(j *job, known map[*job]Terms) Terms {
	if terms, ok := known[j]; ok {
		return terms
	}
	var out Terms
	for id := range j.dependents {
		d := g.jobs[id]
		if d.cascaded {
			continue
		}
		above := g.inherited(d, known)
		out.Rank = max(out.Rank, d.terms.Rank, above.Rank)
		for _, due := range []float64{d.terms.Due, above.Due} {
			if due > 0 && (out.Due == 0 || due-d.terms.Estimate < out.Due) {
				out.Due = due - d.terms.Estimate
			}
		}
	}
	known[j] = out
	return out
}

// Upstream lists what a waiting job needs, directly or through others.
func (g *Graph) Upstream(id string) (ids []string) {
	seen := map[string]bool{}
	var visit func(id string)
	visit = func(id string) {
		for _, need := range g.jobs[id].needs {
			if !seen[need] {
				seen[need], ids = true, append(ids, need)
				visit(need)
			}
		}
	}
	if g.Waits(id) {
		visit(id)
	}
	return ids
}

// Waits tells whether a job waits for others.
func (g *Graph) Waits(id string) bool { j := g.jobs[id]; return j != nil && j.waiting }

// Needed tells whether a waiting job needs it.
func (g *Graph) Needed(id string) bool { j := g.jobs[id]; return j != nil && len(j.dependents) > 0 }

// Cascaded tells whether a waiting job is withdrawn with one that it needs, by the ends
// that are known.
func (g *Graph) Cascaded(id string) bool { return g.cascaded[id] }

// Cause is the cancelled job with which a waiting one is withdrawn; "": it is not.
func (g *Graph) Cause(id string) string {
	if !g.Cascaded(id) {
		return ""
	}
	for _, need := range g.jobs[id].needs {
		if g.jobs[need].end == Withdrawn {
			return need
		}
	}
	for _, need := range g.jobs[id].needs {
		if cause := g.Cause(need); cause != "" {
			return cause
		}
	}
	return ""
}

// Needs lists what a waiting job needs and is not known to be done.
func (g *Graph) Needs(id string) (open []string) {
	if !g.Waits(id) {
		return nil
	}
	for _, need := range g.jobs[id].needs {
		if g.jobs[need].end != Done {
			open = append(open, need)
		}
	}
	return open
}

// Unread lists the jobs that a waiting one needs, directly or through others, whose ends
// must be read before it is certain that it still waits.
func (g *Graph) Unread(id string) (ids []string) {
	for _, need := range g.Upstream(id) {
		if g.unread[need] {
			ids = append(ids, need)
		}
	}
	return ids
}

// AllUnread lists the jobs whose ends some waiting one needs to have read.
func (g *Graph) AllUnread() []string { return slices.Sorted(maps.Keys(g.unread)) }

// Ready lists the waiting jobs that may be released.
func (g *Graph) Ready() []string { return slices.Sorted(maps.Keys(g.ready)) }

// AllCascaded lists the waiting jobs that are to be withdrawn.
func (g *Graph) AllCascaded() []string { return slices.Sorted(maps.Keys(g.cascaded)) }

// Waiting is the number of jobs that wait for others.
func (g *Graph) Waiting() int { return g.waiting }
