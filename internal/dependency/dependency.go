// Package dependency maintains the graph of dependencies between jobs. From the records of
// live jobs and the outcomes of their dependencies it derives whether a job keeps waiting, may
// be released, or is to be cancelled because a dependency was cancelled. Outcomes never change,
// so every controller derives the same final result, also after a restart, and nothing that is
// derived has to be stored.
//
// The graph does no I/O and has no clock. An update takes time proportional to the number of
// edges that it affects.
package dependency

import (
	"maps"
	"slices"
)

// Outcome is the final result of a job.
type Outcome int

// Outcomes of a job.
const (
	OutcomeUnknown   Outcome = iota // the job is live, or its outcome has not been read
	OutcomeDone                     // all tasks are done, and this is stored durably
	OutcomeCancelled                // the job was cancelled
)

// Urgency holds what a job's dependencies inherit from the job: its priority, when it must be done, and
// its estimated run time.
type Urgency struct {
	PriorityLevel int     // the job's priority; higher is more urgent
	DueAt         float64 // deadline as Unix time in seconds; 0: none
	Estimate      float64 // estimated run time in seconds
}

// node is a job that waits, or that a waiting job depends on.
type node struct {
	waiting              bool
	dependencies         []string
	urgency              Urgency
	dependents           map[string]bool // waiting jobs that depend on this job
	outcome              Outcome
	unmetDependencyCount int  // number of dependencies that are not known to be done
	cancelled            bool // a direct or transitive dependency was cancelled
}

// Graph is a dependency graph. It is not safe for concurrent use.
type Graph struct {
	isLive       func(id string) bool // reports whether a job's record exists
	nodes        map[string]*node
	unread       map[string]bool // dependencies that are neither live nor have a known outcome
	ready        map[string]bool // waiting jobs whose dependencies are all done
	cancelled    map[string]bool // waiting jobs that are to be cancelled
	waitingCount int
}

// NewGraph returns an empty graph. isLive reports whether a job's record exists.
func NewGraph(isLive func(id string) bool) *Graph {
	return &Graph{
		isLive:    isLive,
		nodes:     map[string]*node{},
		unread:    map[string]bool{},
		ready:     map[string]bool{},
		cancelled: map[string]bool{},
	}
}

// ensureNode returns the node of a job and adds it if it is missing.
func (g *Graph) ensureNode(id string) *node {
	known := g.nodes[id]
	if known == nil {
		known = &node{dependents: map[string]bool{}}
		g.nodes[id] = known
	}
	return known
}

// Update applies the record of a live job: its dependencies, whether the job still waits for them,
// and the urgency that they inherit. The dependencies and the urgency are stored only when the job
// begins to wait.
func (g *Graph) Update(id string, dependencies []string, waiting bool, urgency Urgency) {
	if !waiting && g.nodes[id] == nil {
		return // no waiting job depends on it
	}
	updated := g.ensureNode(id)
	delete(g.unread, id)
	switch {
	case waiting && !updated.waiting:
		updated.urgency = urgency
		g.link(id, updated, dependencies)
	case !waiting && updated.waiting:
		g.unlink(id, updated)
		g.removeUnused(id)
	}
}

// Remove handles the deletion of a job's record, which means that the job is finished. If waiting
// jobs depend on the finished job and its outcome is unknown, the outcome is marked to be read.
func (g *Graph) Remove(id string) {
	removed := g.nodes[id]
	if removed == nil {
		return
	}
	g.unlink(id, removed)
	if len(removed.dependents) > 0 && removed.outcome == OutcomeUnknown {
		g.unread[id] = true
	}
	g.removeUnused(id)
}

// RecordOutcome sets the outcome of a finished job, which must be stored durably already. Only
// the first outcome counts. A job without a node is ignored, as no waiting job depends on it.
func (g *Graph) RecordOutcome(id string, outcome Outcome) {
	finished := g.nodes[id]
	if finished == nil || finished.outcome != OutcomeUnknown || outcome == OutcomeUnknown {
		return
	}
	finished.outcome = outcome
	delete(g.unread, id)
	for dependentID := range finished.dependents {
		dependent := g.nodes[dependentID]
		if outcome == OutcomeCancelled {
			g.cancelCascade(dependentID, dependent)
			continue
		}
		dependent.unmetDependencyCount--
		if dependent.unmetDependencyCount == 0 && !dependent.cancelled {
			g.ready[dependentID] = true
		}
	}
}

// link makes a job wait for its dependencies.
func (g *Graph) link(id string, dependent *node, dependencies []string) {
	dependent.waiting = true
	dependent.dependencies = slices.Clone(dependencies)
	dependent.unmetDependencyCount = 0
	g.waitingCount++
	isCancelled := false
	for _, dependencyID := range dependencies {
		dependency := g.ensureNode(dependencyID)
		dependency.dependents[id] = true
		if dependency.outcome != OutcomeDone {
			dependent.unmetDependencyCount++
		}
		if dependency.outcome == OutcomeUnknown && !g.isLive(dependencyID) {
			g.unread[dependencyID] = true
		}
		if dependency.outcome == OutcomeCancelled || dependency.cancelled {
			isCancelled = true
		}
	}
	switch {
	case isCancelled:
		g.cancelCascade(id, dependent)
	case dependent.unmetDependencyCount == 0:
		g.ready[id] = true
	}
}

// unlink removes the edges from a waiting job to its dependencies. It does nothing if the job
// does not wait.
func (g *Graph) unlink(id string, dependent *node) {
	if !dependent.waiting {
		return
	}
	dependent.waiting = false
	g.waitingCount--
	delete(g.ready, id)
	delete(g.cancelled, id)
	for _, dependencyID := range dependent.dependencies {
		dependency := g.nodes[dependencyID]
		delete(dependency.dependents, id)
		if len(dependency.dependents) == 0 {
			delete(g.unread, dependencyID)
		}
		g.removeUnused(dependencyID)
	}
	dependent.dependencies = nil
}

// cancelCascade marks a waiting job and its direct and transitive dependents as cancelled.
func (g *Graph) cancelCascade(id string, waiting *node) {
	if waiting.cancelled {
		return
	}
	waiting.cancelled = true
	delete(g.ready, id)
	g.cancelled[id] = true
	for dependentID := range waiting.dependents {
		g.cancelCascade(dependentID, g.nodes[dependentID])
	}
}

// removeUnused removes the node of a job that does not wait and has no waiting dependents.
func (g *Graph) removeUnused(id string) {
	if known := g.nodes[id]; known != nil && !known.waiting && len(known.dependents) == 0 {
		delete(g.nodes, id)
		delete(g.unread, id)
	}
}

// InheritedUrgency returns the urgency that a job inherits from its direct and transitive
// dependents, leaving out those that are to be cancelled. PriorityLevel is the highest of their
// priorities. DueAt is the time by which the job must be done so that all dependents can meet their
// deadlines, or 0 if no dependent has a deadline. For one dependent, this time is the dependent's
// deadline, less the estimated run times of the dependent and of the jobs on the path from the job
// to the dependent. DueAt is the earliest of the times of all dependents. InheritedUrgency returns
// false if no other job waits for the job.
func (g *Graph) InheritedUrgency(id string) (Urgency, bool) {
	dependency := g.nodes[id]
	if dependency == nil || len(dependency.dependents) == 0 {
		return Urgency{}, false
	}
	return g.inheritedUrgency(dependency, map[*node]Urgency{}), true
}

// inheritedUrgency computes the urgency that a node inherits. computed caches the results by node.
func (g *Graph) inheritedUrgency(dependency *node, computed map[*node]Urgency) Urgency {
	if urgency, ok := computed[dependency]; ok {
		return urgency
	}
	var inherited Urgency
	for dependentID := range dependency.dependents {
		dependent := g.nodes[dependentID]
		if dependent.cancelled {
			continue
		}
		fromDependents := g.inheritedUrgency(dependent, computed)
		inherited.PriorityLevel = max(inherited.PriorityLevel, dependent.urgency.PriorityLevel, fromDependents.PriorityLevel)
		for _, dueAt := range []float64{dependent.urgency.DueAt, fromDependents.DueAt} {
			startBy := dueAt - dependent.urgency.Estimate
			if dueAt > 0 && (inherited.DueAt == 0 || startBy < inherited.DueAt) {
				inherited.DueAt = startBy
			}
		}
	}
	computed[dependency] = inherited
	return inherited
}

// Dependencies lists the direct dependencies of a waiting job.
func (g *Graph) Dependencies(id string) []string {
	if !g.IsWaiting(id) {
		return nil
	}
	return g.nodes[id].dependencies
}

// WithUpstream lists the given jobs and their direct and transitive dependencies, each job once.
func (g *Graph) WithUpstream(ids []string) []string {
	var upstream []string
	seen := map[string]bool{}
	var visit func(ids []string)
	visit = func(ids []string) {
		for _, id := range ids {
			if !seen[id] {
				seen[id] = true
				upstream = append(upstream, id)
				visit(g.Dependencies(id))
			}
		}
	}
	visit(ids)
	return upstream
}

// IsWaiting reports whether a job waits for its dependencies.
func (g *Graph) IsWaiting(id string) bool {
	known := g.nodes[id]
	return known != nil && known.waiting
}

// HasDependents reports whether a waiting job depends on the job.
func (g *Graph) HasDependents(id string) bool {
	known := g.nodes[id]
	return known != nil && len(known.dependents) > 0
}

// IsCancelled reports whether a waiting job is to be cancelled because a direct or transitive
// dependency is known to be cancelled.
func (g *Graph) IsCancelled(id string) bool { return g.cancelled[id] }

// CancellationCause returns the direct or transitive dependency whose cancellation is the reason why a
// waiting job is to be cancelled. It returns "" if the job is not to be cancelled.
func (g *Graph) CancellationCause(id string) string {
	if !g.IsCancelled(id) {
		return ""
	}
	for _, dependencyID := range g.nodes[id].dependencies {
		if g.nodes[dependencyID].outcome == OutcomeCancelled {
			return dependencyID
		}
	}
	for _, dependencyID := range g.nodes[id].dependencies {
		if cause := g.CancellationCause(dependencyID); cause != "" {
			return cause
		}
	}
	return ""
}

// UnmetDependencies lists the direct dependencies of a waiting job that are not known to be
// done.
func (g *Graph) UnmetDependencies(id string) []string {
	if !g.IsWaiting(id) {
		return nil
	}
	var unmet []string
	for _, dependencyID := range g.nodes[id].dependencies {
		if g.nodes[dependencyID].outcome != OutcomeDone {
			unmet = append(unmet, dependencyID)
		}
	}
	return unmet
}

// UnreadUpstreamOutcomes lists those direct and transitive dependencies of a waiting job that are
// finished and whose outcomes have not been read. Until they are read, it is not certain that the
// job still has to wait.
func (g *Graph) UnreadUpstreamOutcomes(id string) []string {
	var unread []string
	for _, dependencyID := range g.WithUpstream(g.Dependencies(id)) {
		if g.unread[dependencyID] {
			unread = append(unread, dependencyID)
		}
	}
	return unread
}

// UnreadOutcomes lists, sorted by ID, the finished jobs that waiting jobs depend on and whose
// outcomes have not been read.
func (g *Graph) UnreadOutcomes() []string { return slices.Sorted(maps.Keys(g.unread)) }

// Ready lists, sorted by ID, the waiting jobs that may be released.
func (g *Graph) Ready() []string { return slices.Sorted(maps.Keys(g.ready)) }

// Cancelled lists, sorted by ID, the waiting jobs that are to be cancelled.
func (g *Graph) Cancelled() []string { return slices.Sorted(maps.Keys(g.cancelled)) }

// WaitingCount returns the number of jobs that wait for their dependencies.
func (g *Graph) WaitingCount() int { return g.waitingCount }
