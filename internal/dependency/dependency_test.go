package dependency

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// model is the same, worked out anew from all facts each time.
type model struct {
	needs    map[string][]string // of jobs that live and wait
	live     map[string]bool
	outcomes map[string]Outcome
}

func (m *model) isCancelled(id string) bool {
	if m.outcomes[id] == OutcomeCancelled {
		return true
	}
	return slices.ContainsFunc(m.needs[id], m.isCancelled)
}

func (m *model) isReady(id string) bool {
	return !slices.ContainsFunc(m.needs[id], func(need string) bool { return m.outcomes[need] != OutcomeDone })
}

// Whatever the order in which records and ends are told, how often, and after a restart in
// which all records are told anew in any order: the same jobs are ready, withdrawn and
// waiting as by the plain model, and nothing is kept that nobody needs.
func TestGraphAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{needs: map[string][]string{}, live: map[string]bool{}, outcomes: map[string]Outcome{}}
		g := NewGraph(func(id string) bool { return m.live[id] })
		all := map[string][]string{}
		for i := range rapid.IntRange(3, 8).Draw(t, "jobs") {
			id := fmt.Sprintf("wk-%d", i)
			all[id] = nil
			for k := max(0, i-3); k < i; k++ { // deep rather than wide
				if rapid.Bool().Draw(t, "need") {
					all[id] = append(all[id], fmt.Sprintf("wk-%d", k))
				}
			}
		}
		names := func(from map[string][]string) (ids []string) {
			for id := range from {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			return ids
		}
		waits := func(id string) bool { return len(m.needs[id]) > 0 }
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			id := rapid.SampledFrom(names(all)).Draw(t, "id")
			switch rapid.SampledFrom([]string{"submit", "release", "end", "end", "restart"}).Draw(t, "step") {
			case "submit":
				known := !slices.ContainsFunc(all[id], func(need string) bool { return !m.live[need] && m.outcomes[need] == OutcomeUnknown })
				if m.outcomes[id] != OutcomeUnknown || m.live[id] && !waits(id) || !known {
					continue // its user submits it once those it needs are accepted; a repeat changes nothing
				}
				m.live[id], m.needs[id] = true, all[id]
				g.Update(id, all[id], len(all[id]) > 0, Terms{})
			case "release":
				if !waits(id) || !m.isReady(id) {
					continue
				}
				delete(m.needs, id)
				g.Update(id, all[id], false, Terms{})
			case "end":
				if !m.live[id] {
					continue
				}
				end := rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeCancelled}).Draw(t, "end")
				if waits(id) {
					end = OutcomeCancelled
				}
				first := rapid.Bool().Draw(t, "end first")
				if first {
					g.RecordOutcome(id, end)
				}
				delete(m.live, id)
				delete(m.needs, id)
				g.Remove(id)
				if !first {
					g.RecordOutcome(id, end)
				}
				m.outcomes[id] = end
			case "restart":
				g = NewGraph(func(id string) bool { return m.live[id] })
				for _, id := range rapid.Permutation(names(all)).Draw(t, "order") {
					if m.live[id] {
						g.Update(id, all[id], waits(id), Terms{})
					}
				}
			}
			for _, id := range g.Unread() {
				g.RecordOutcome(id, m.outcomes[id])
			}
			for _, id := range names(all) {
				if got, want := g.IsWaiting(id), waits(id); got != want {
					t.Fatalf("%s waits: %v, want %v", id, got, want)
				}
				if got, want := g.IsCancelled(id), waits(id) && m.isCancelled(id); got != want {
					t.Fatalf("%s is withdrawn with another: %v, want %v", id, got, want)
				}
				if got, want := slices.Contains(g.Ready(), id), waits(id) && m.isReady(id); got != want {
					t.Fatalf("%s is ready: %v, want %v", id, got, want)
				}
			}
			if unread := g.Unread(); len(unread) > 0 {
				t.Fatalf("%v are to be read, all ends were told", unread)
			}
			if len(m.needs) == 0 && g.WaitingCount() == 0 && len(g.nodes) > 0 {
				t.Fatalf("%d jobs are kept though none waits", len(g.nodes))
			}
		}
	})
}

// An end that is not known is to be read, for the job itself and for all that need it
// through others; a chain of a thousand is withdrawn by the end of its root.
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
		t.Errorf("the last is withdrawn with %q", got)
	}
	if n := len(g.Cancelled()); n != 1000 || len(g.Unread()) > 0 {
		t.Errorf("%d of 1000 are withdrawn with the root", n)
	}
}

// A first stage takes over the highest priority of those that wait for it, and the latest
// moment at which it can be done so that the longest way to the last one's deadline is kept;
// less, when a later stage is cancelled.
func TestInheritedTerms(t *testing.T) {
	g := NewGraph(func(string) bool { return true })
	if _, ok := g.InheritedTerms("wk-first"); ok {
		t.Error("something is inherited though nobody waits")
	}
	g.Update("wk-left", []string{"wk-first"}, true, Terms{Rank: 0, Estimate: 20})
	g.Update("wk-right", []string{"wk-first"}, true, Terms{Rank: 1, Estimate: 50})
	g.Update("wk-last", []string{"wk-left", "wk-right"}, true, Terms{Rank: 2, DueAt: 1000, Estimate: 10})
	for id, want := range map[string]Terms{"wk-first": {Rank: 2, DueAt: 940}, "wk-right": {Rank: 2, DueAt: 990}, "wk-left": {Rank: 2, DueAt: 990}} {
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
