package dependency

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// model derives what the graph should report from all facts each time.
type model struct {
	needs    map[string][]string // of jobs that are live and wait
	live     map[string]bool
	outcomes map[string]Outcome
}

func (m *model) isWaiting(id string) bool { return len(m.needs[id]) > 0 }

func (m *model) isCancelled(id string) bool {
	if m.outcomes[id] == OutcomeCancelled {
		return true
	}
	return slices.ContainsFunc(m.needs[id], m.isCancelled)
}

func (m *model) isReady(id string) bool {
	return !slices.ContainsFunc(m.needs[id], func(need string) bool { return m.outcomes[need] != OutcomeDone })
}

// isKnown reports whether a job is live or has ended.
func (m *model) isKnown(id string) bool { return m.live[id] || m.outcomes[id] != OutcomeUnknown }

// graphTest plays the same steps on a graph and on the model.
type graphTest struct {
	t     *rapid.T
	jobs  map[string][]string // what each job of the test needs
	ids   []string            // of the jobs, by name
	model *model
	graph *Graph
}

// newGraphTest draws jobs and what they need.
func newGraphTest(t *rapid.T) *graphTest {
	test := &graphTest{
		t:     t,
		jobs:  map[string][]string{},
		model: &model{needs: map[string][]string{}, live: map[string]bool{}, outcomes: map[string]Outcome{}},
	}
	test.graph = NewGraph(test.isLive)
	for i := range rapid.IntRange(3, 8).Draw(t, "jobs") {
		id := fmt.Sprintf("wk-%d", i)
		test.ids = append(test.ids, id)
		test.jobs[id] = nil
		for k := max(0, i-3); k < i; k++ { // deep rather than wide
			if rapid.Bool().Draw(t, "need") {
				test.jobs[id] = append(test.jobs[id], fmt.Sprintf("wk-%d", k))
			}
		}
	}
	return test
}

func (test *graphTest) isLive(id string) bool { return test.model.live[id] }

// submit adds a job, unless it was submitted before or some that it needs was not: its user
// submits it once those are accepted. A repeat of a waiting job changes nothing.
func (test *graphTest) submit(id string) {
	needs := test.jobs[id]
	isUnknown := func(need string) bool { return !test.model.isKnown(need) }
	isStarted := test.model.live[id] && !test.model.isWaiting(id)
	if test.model.outcomes[id] != OutcomeUnknown || isStarted || slices.ContainsFunc(needs, isUnknown) {
		return
	}
	test.model.live[id] = true
	test.model.needs[id] = needs
	test.graph.Update(id, needs, len(needs) > 0, Terms{})
}

// release releases a job if it waits and is ready.
func (test *graphTest) release(id string) {
	if !test.model.isWaiting(id) || !test.model.isReady(id) {
		return
	}
	delete(test.model.needs, id)
	test.graph.Update(id, test.jobs[id], false, Terms{})
}

// end ends a live job; its outcome becomes known before or after its record is dropped.
func (test *graphTest) end(id string) {
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
	delete(test.model.needs, id)
	test.graph.Remove(id)
	if !isOutcomeFirst {
		test.graph.RecordOutcome(id, outcome)
	}
	test.model.outcomes[id] = outcome
}

// restart starts a new graph, which is given all records in any order.
func (test *graphTest) restart() {
	test.graph = NewGraph(test.isLive)
	for _, id := range rapid.Permutation(test.ids).Draw(test.t, "order") {
		if test.model.live[id] {
			test.graph.Update(id, test.jobs[id], test.model.isWaiting(id), Terms{})
		}
	}
}

// readOutcomes gives the graph the outcomes that it needs to have read.
func (test *graphTest) readOutcomes() {
	for _, id := range test.graph.Unread() {
		test.graph.RecordOutcome(id, test.model.outcomes[id])
	}
}

// check compares the graph with the model.
func (test *graphTest) check() {
	for _, id := range test.ids {
		isWaiting := test.model.isWaiting(id)
		if got := test.graph.IsWaiting(id); got != isWaiting {
			test.t.Fatalf("%s waits: %v, want %v", id, got, isWaiting)
		}
		if got, want := test.graph.IsCancelled(id), isWaiting && test.model.isCancelled(id); got != want {
			test.t.Fatalf("%s is cancelled with another: %v, want %v", id, got, want)
		}
		if got, want := slices.Contains(test.graph.Ready(), id), isWaiting && test.model.isReady(id); got != want {
			test.t.Fatalf("%s is ready: %v, want %v", id, got, want)
		}
	}
	if unread := test.graph.Unread(); len(unread) > 0 {
		test.t.Fatalf("%v are to be read, though all outcomes were", unread)
	}
	if len(test.model.needs) == 0 && test.graph.WaitingCount() == 0 && len(test.graph.nodes) > 0 {
		test.t.Fatalf("%d jobs are kept though none waits", len(test.graph.nodes))
	}
}

// TestGraphAgainstModel: whatever the order in which records and outcomes become known, how
// often, and after a restart in which all records are read again in any order, the same jobs
// are ready, cancelled and waiting as by the plain model, and nothing is kept that nobody
// needs.
func TestGraphAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := newGraphTest(t)
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			id := rapid.SampledFrom(test.ids).Draw(t, "id")
			switch rapid.SampledFrom([]string{"submit", "release", "end", "end", "restart"}).Draw(t, "step") {
			case "submit":
				test.submit(id)
			case "release":
				test.release(id)
			case "end":
				test.end(id)
			case "restart":
				test.restart()
			}
			test.readOutcomes()
			test.check()
		}
	})
}

// TestUnreadOutcomesAndLongChains: an outcome that is not known is to be read, for the job
// itself and for all that need it through others; a chain of a thousand is cancelled by the
// cancellation of its root.
func TestUnreadOutcomesAndLongChains(t *testing.T) {
	live := map[string]bool{"wk-0": true}
	g := NewGraph(func(id string) bool { return live[id] })
	g.Update("wk-0", nil, false, Terms{})
	for i := 1; i <= 1000; i++ {
		live[fmt.Sprintf("wk-%d", i)] = true
		g.Update(fmt.Sprintf("wk-%d", i), []string{fmt.Sprintf("wk-%d", i-1)}, true, Terms{})
	}
	delete(live, "wk-0")
	g.Remove("wk-0")
	if got := g.UnreadUpstream("wk-1000"); !slices.Equal(got, []string{"wk-0"}) {
		t.Errorf("to be read for the last: %v", got)
	}
	if !slices.Equal(g.Unread(), []string{"wk-0"}) || g.IsCancelled("wk-1000") {
		t.Errorf("to be read: %v", g.Unread())
	}
	g.RecordOutcome("wk-0", OutcomeCancelled)
	if got := g.CancellationCause("wk-1000"); got != "wk-0" {
		t.Errorf("the last is cancelled with %q", got)
	}
	if n := len(g.Cancelled()); n != 1000 || len(g.Unread()) > 0 {
		t.Errorf("%d of 1000 are cancelled with the root", n)
	}
}

// TestInheritedTerms: a first stage inherits the highest priority of those that wait for it,
// and the latest moment at which it can be done so that the longest path to the last one's
// deadline is kept; less, when a later stage is cancelled.
func TestInheritedTerms(t *testing.T) {
	g := NewGraph(func(string) bool { return true })
	if _, ok := g.InheritedTerms("wk-first"); ok {
		t.Error("something is inherited though nobody waits")
	}
	g.Update("wk-left", []string{"wk-first"}, true, Terms{Rank: 0, Estimate: 20})
	g.Update("wk-right", []string{"wk-first"}, true, Terms{Rank: 1, Estimate: 50})
	g.Update("wk-last", []string{"wk-left", "wk-right"}, true, Terms{Rank: 2, DueAt: 1000, Estimate: 10})
	for id, want := range map[string]Terms{
		"wk-first": {Rank: 2, DueAt: 940},
		"wk-right": {Rank: 2, DueAt: 990},
		"wk-left":  {Rank: 2, DueAt: 990},
	} {
		if got, ok := g.InheritedTerms(id); !ok || got != want {
			t.Errorf("%s inherits %+v, want %+v", id, got, want)
		}
	}
	if _, ok := g.InheritedTerms("wk-last"); ok {
		t.Error("the last stage inherits something")
	}
	g.Remove("wk-last")
	if got, _ := g.InheritedTerms("wk-first"); got != (Terms{Rank: 1}) {
		t.Errorf("without the last stage it inherits %+v", got)
	}
}
