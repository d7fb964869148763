package dependency

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// model is the reference for the graph: it recomputes each answer from all recorded facts.
type model struct {
	dependencies map[string][]string // dependencies by job, for the live jobs that wait
	live         map[string]bool
	outcomes     map[string]Outcome
}

func (m *model) isWaiting(id string) bool { return len(m.dependencies[id]) > 0 }

func (m *model) isCancelled(id string) bool {
	if m.outcomes[id] == OutcomeCancelled {
		return true
	}
	return slices.ContainsFunc(m.dependencies[id], m.isCancelled)
}

func (m *model) isReady(id string) bool {
	return !slices.ContainsFunc(m.dependencies[id], func(dependency string) bool { return m.outcomes[dependency] != OutcomeDone })
}

// isKnown reports whether a job is live or finished.
func (m *model) isKnown(id string) bool { return m.live[id] || m.outcomes[id] != OutcomeUnknown }

// graphTest applies the same steps to a graph and to the model.
type graphTest struct {
	t                 *rapid.T
	dependenciesByJob map[string][]string // direct dependencies, by job ID
	ids               []string            // IDs of all jobs of the test, in ascending order
	model             *model
	graph             *Graph
}

// newGraphTest draws a random set of jobs and their dependencies.
func newGraphTest(t *rapid.T) *graphTest {
	test := &graphTest{
		t:                 t,
		dependenciesByJob: map[string][]string{},
		model:             &model{dependencies: map[string][]string{}, live: map[string]bool{}, outcomes: map[string]Outcome{}},
	}
	test.graph = NewGraph(test.isLive)
	for i := range rapid.IntRange(3, 8).Draw(t, "jobs") {
		id := fmt.Sprintf("wk-%d", i)
		test.ids = append(test.ids, id)
		test.dependenciesByJob[id] = nil
		for k := max(0, i-3); k < i; k++ { // jobs depend only on the three before them, so that chains are long
			if rapid.Bool().Draw(t, "dependency") {
				test.dependenciesByJob[id] = append(test.dependenciesByJob[id], fmt.Sprintf("wk-%d", k))
			}
		}
	}
	return test
}

func (test *graphTest) isLive(id string) bool { return test.model.live[id] }

// submit adds a job. It does nothing if the job is finished or released already. It also does nothing
// if one of the job's dependencies was not submitted yet, as users submit a job after its
// dependencies were accepted. Submitting a waiting job again is allowed and changes nothing.
func (test *graphTest) submit(id string) {
	dependencies := test.dependenciesByJob[id]
	isUnknown := func(dependency string) bool { return !test.model.isKnown(dependency) }
	isStarted := test.model.live[id] && !test.model.isWaiting(id)
	if test.model.outcomes[id] != OutcomeUnknown || isStarted || slices.ContainsFunc(dependencies, isUnknown) {
		return
	}
	test.model.live[id] = true
	test.model.dependencies[id] = dependencies
	test.graph.Update(id, dependencies, len(dependencies) > 0, Urgency{})
}

// release releases a job if it waits and all its dependencies are done.
func (test *graphTest) release(id string) {
	if !test.model.isWaiting(id) || !test.model.isReady(id) {
		return
	}
	delete(test.model.dependencies, id)
	test.graph.Update(id, test.dependenciesByJob[id], false, Urgency{})
}

// finish gives a live job an outcome and removes its record. The graph receives the outcome before
// or after the removal, at random.
func (test *graphTest) finish(id string) {
	if !test.model.live[id] {
		return
	}
	outcome := rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeCancelled}).Draw(test.t, "outcome")
	if test.model.isWaiting(id) {
		outcome = OutcomeCancelled
	}
	isOutcomeFirst := rapid.Bool().Draw(test.t, "outcome first")
	if isOutcomeFirst {
		test.graph.RecordOutcome(id, outcome)
	}
	delete(test.model.live, id)
	delete(test.model.dependencies, id)
	test.graph.Remove(id)
	if !isOutcomeFirst {
		test.graph.RecordOutcome(id, outcome)
	}
	test.model.outcomes[id] = outcome
}

// restart replaces the graph by an empty one and feeds it all records in random order.
func (test *graphTest) restart() {
	test.graph = NewGraph(test.isLive)
	for _, id := range rapid.Permutation(test.ids).Draw(test.t, "order") {
		if test.model.live[id] {
			test.graph.Update(id, test.dependenciesByJob[id], test.model.isWaiting(id), Urgency{})
		}
	}
}

// readOutcomes gives the graph the outcomes that it reports as unread.
func (test *graphTest) readOutcomes() {
	for _, id := range test.graph.UnreadOutcomes() {
		test.graph.RecordOutcome(id, test.model.outcomes[id])
	}
}

// check compares the graph with the model.
func (test *graphTest) check() {
	for _, id := range test.ids {
		isWaiting := test.model.isWaiting(id)
		if got := test.graph.IsWaiting(id); got != isWaiting {
			test.t.Fatalf("IsWaiting(%s) = %v, want %v", id, got, isWaiting)
		}
		if got, want := test.graph.IsCancelled(id), isWaiting && test.model.isCancelled(id); got != want {
			test.t.Fatalf("IsCancelled(%s) = %v, want %v", id, got, want)
		}
		if got, want := slices.Contains(test.graph.Ready(), id), isWaiting && test.model.isReady(id); got != want {
			test.t.Fatalf("Ready() contains %s: %v, want %v", id, got, want)
		}
	}
	if unread := test.graph.UnreadOutcomes(); len(unread) > 0 {
		test.t.Fatalf("UnreadOutcomes() = %v after all outcomes were read, want none", unread)
	}
	if len(test.model.dependencies) == 0 && test.graph.WaitingCount() == 0 && len(test.graph.nodes) > 0 {
		test.t.Fatalf("the graph keeps %d nodes although no job waits", len(test.graph.nodes))
	}
}

// TestGraphAgainstModel checks that the graph and the model agree on which jobs wait, are ready
// and are cancelled. Records and outcomes arrive in random order, possibly more than once, and
// restarts read all records again in random order. The test also checks that the graph keeps no
// nodes once no job waits.
func TestGraphAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := newGraphTest(t)
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			id := rapid.SampledFrom(test.ids).Draw(t, "id")
			switch rapid.SampledFrom([]string{"submit", "release", "finish", "finish", "restart"}).Draw(t, "step") {
			case "submit":
				test.submit(id)
			case "release":
				test.release(id)
			case "finish":
				test.finish(id)
			case "restart":
				test.restart()
			}
			test.readOutcomes()
			test.check()
		}
	})
}

// TestCancellationReachesWholeChain checks a chain of a thousand jobs whose root is removed
// with an unknown outcome. The outcome must be reported as unread, also for the last job of the
// chain. Once the root's outcome is recorded as cancelled, all other jobs of the chain must be
// cancelled too.
func TestCancellationReachesWholeChain(t *testing.T) {
	live := map[string]bool{"wk-0": true}
	g := NewGraph(func(id string) bool { return live[id] })
	g.Update("wk-0", nil, false, Urgency{})
	for i := 1; i <= 1000; i++ {
		live[fmt.Sprintf("wk-%d", i)] = true
		g.Update(fmt.Sprintf("wk-%d", i), []string{fmt.Sprintf("wk-%d", i-1)}, true, Urgency{})
	}
	delete(live, "wk-0")
	g.Remove("wk-0")
	if got := g.UnreadUpstreamOutcomes("wk-1000"); !slices.Equal(got, []string{"wk-0"}) {
		t.Errorf("UnreadUpstreamOutcomes of the last job = %v, want only wk-0", got)
	}
	if !slices.Equal(g.UnreadOutcomes(), []string{"wk-0"}) || g.IsCancelled("wk-1000") {
		t.Errorf("UnreadOutcomes() = %v, want only wk-0, and the last job not cancelled yet", g.UnreadOutcomes())
	}
	g.RecordOutcome("wk-0", OutcomeCancelled)
	if got := g.CancellationCause("wk-1000"); got != "wk-0" {
		t.Errorf("CancellationCause of the last job = %q, want wk-0", got)
	}
	if n := len(g.Cancelled()); n != 1000 || len(g.UnreadOutcomes()) > 0 {
		t.Errorf("%d jobs are cancelled with the root, want 1000 and no unread outcomes", n)
	}
}

// TestInheritedUrgency checks that the first stage of a pipeline inherits the highest priority
// of its dependents, and a due time that leaves enough time for the longest path to the last
// stage's deadline. When the last stage is removed, the first one inherits only from the remaining
// stages.
func TestInheritedUrgency(t *testing.T) {
	g := NewGraph(func(string) bool { return true })
	if _, ok := g.InheritedUrgency("wk-first"); ok {
		t.Error("a job without dependents inherits an urgency")
	}
	g.Update("wk-left", []string{"wk-first"}, true, Urgency{PriorityLevel: 0, Estimate: 20})
	g.Update("wk-right", []string{"wk-first"}, true, Urgency{PriorityLevel: 1, Estimate: 50})
	g.Update("wk-last", []string{"wk-left", "wk-right"}, true, Urgency{PriorityLevel: 2, DueAt: 1000, Estimate: 10})
	for id, want := range map[string]Urgency{
		"wk-first": {PriorityLevel: 2, DueAt: 940},
		"wk-right": {PriorityLevel: 2, DueAt: 990},
		"wk-left":  {PriorityLevel: 2, DueAt: 990},
	} {
		if got, ok := g.InheritedUrgency(id); !ok || got != want {
			t.Errorf("InheritedUrgency(%s) = %+v, want %+v", id, got, want)
		}
	}
	if _, ok := g.InheritedUrgency("wk-last"); ok {
		t.Error("the last stage, which has no dependents, inherits an urgency")
	}
	g.Remove("wk-last")
	if got, _ := g.InheritedUrgency("wk-first"); got != (Urgency{PriorityLevel: 1}) {
		t.Errorf("InheritedUrgency(wk-first) without the last stage = %+v, want priority level 1 and no due time", got)
	}
}

func TestWithUpstreamListsEachJobOnce(t *testing.T) {
	g := NewGraph(func(string) bool { return true })
	for _, edge := range [][]string{{"wk-1", "wk-0"}, {"wk-2", "wk-0"}, {"wk-3", "wk-1", "wk-2"}} {
		g.Update(edge[0], edge[1:], true, Urgency{})
	}
	got := g.WithUpstream([]string{"wk-3", "wk-1", "wk-3"})
	slices.Sort(got)
	if want := []string{"wk-0", "wk-1", "wk-2", "wk-3"}; !slices.Equal(got, want) {
		t.Errorf("WithUpstream = %v, want %v", got, want)
	}
}
