package dependency

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// model is the same, worked out anew from all facts each time.
type model struct {
	needs map[string][]string // of jobs that live and wait
	live  map[string]bool
	ends  map[string]End
}

func (m *model) withdrawn(id string) bool {
	if m.ends[id] == Withdrawn {
		return true
	}
	return slices.ContainsFunc(m.needs[id], m.withdrawn)
}

func (m *model) ready(id string) bool {
	return !slices.ContainsFunc(m.needs[id], func(need string) bool { return m.ends[need] != Done })
}

// Whatever the order in which records and ends are told, how often, and after a restart in
// which all records are told anew in any order: the same jobs are ready, withdrawn and
// waiting as by the plain model, and nothing is kept that nobody needs.
func TestGraphAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{needs: map[string][]string{}, live: map[string]bool{}, ends: map[string]End{}}
		g := New(func(id string) bool { return m.live[id] })
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
				known := !slices.ContainsFunc(all[id], func(need string) bool { return !m.live[need] && m.ends[need] == Unknown })
				if m.ends[id] != Unknown || m.live[id] && !waits(id) || !known {
					continue // its user submits it once those it needs are accepted; a repeat changes nothing
				}
				m.live[id], m.needs[id] = true, all[id]
				g.Live(id, all[id], len(all[id]) > 0, Terms{})
			case "release":
				if !waits(id) || !m.ready(id) {
					continue
				}
				delete(m.needs, id)
				g.Live(id, all[id], false, Terms{})
			case "end":
				if !m.live[id] {
					continue
				}
				end := rapid.SampledFrom([]End{Done, Withdrawn}).Draw(t, "end")
				if waits(id) {
					end = Withdrawn
				}
				first := rapid.Bool().Draw(t, "end first")
				if first {
					g.End(id, end)
				}
				delete(m.live, id)
				delete(m.needs, id)
				g.Over(id)
				if !first {
					g.End(id, end)
				}
				m.ends[id] = end
			case "restart":
				g = New(func(id string) bool { return m.live[id] })
				for _, id := range rapid.Permutation(names(all)).Draw(t, "order") {
					if m.live[id] {
						g.Live(id, all[id], waits(id), Terms{})
					}
				}
			}
			for _, id := range g.AllUnread() {
				g.End(id, m.ends[id])
			}
			for _, id := range names(all) {
				if got, want := g.Waits(id), waits(id); got != want {
					t.Fatalf("%s waits: %v, want %v", id, got, want)
				}
				if got, want := g.Cascaded(id), waits(id) && m.withdrawn(id); got != want {
					t.Fatalf("%s is withdrawn with another: %v, want %v", id, got, want)
				}
				if got, want := slices.Contains(g.Ready(), id), waits(id) && m.ready(id); got != want {
					t.Fatalf("%s is ready: %v, want %v", id, got, want)
				}
			}
			if unread := g.AllUnread(); len(unread) > 0 {
				t.Fatalf("%v are to be read, all ends were told", unread)
			}
			if len(m.needs) == 0 && g.Waiting() == 0 && len(g.jobs) > 0 {
				t.Fatalf("%d jobs are kept though none waits", len(g.jobs))
			}
		}
	})
}

// An end that is not known is to be read, for the job itself and for all that need it
// through others; a chain of a thousand is withdrawn by the end of its root.
func TestUnreadEndsAndLongChains(t *testing.T) {
	live := map[string]bool{"wk-0": true}
	g := New(func(id string) bool { return live[id] })
	g.Live("wk-0", nil, false, Terms{})
	for i := 1; i <= 1000; i++ {
		live[fmt.Sprintf("wk-%d", i)] = true
		g.Live(fmt.Sprintf("wk-%d", i), []string{fmt.Sprintf("wk-%d", i-1)}, true, Terms{})
	}
	delete(live, "wk-0")
	g.Over("wk-0")
	if got := g.Unread("wk-1000"); !slices.Equal(got, []string{"wk-0"}) {
		t.Errorf("to be read for the last: %v", got)
	}
	if !slices.Equal(g.AllUnread(), []string{"wk-0"}) || g.Cascaded("wk-1000") {
		t.Errorf("to be read: %v", g.AllUnread())
	}
	g.End("wk-0", Withdrawn)
	if got := g.Cause("wk-1000"); got != "wk-0" {
		t.Errorf("the last is withdrawn with %q", got)
	}
	if n := len(g.AllCascaded()); n != 1000 || len(g.AllUnread()) > 0 {
		t.Errorf("%d of 1000 are withdrawn with the root", n)
	}
}

// A first stage takes over the highest priority of those that wait for it, and the latest
// moment at which it can be done so that the longest way to the last one's deadline is kept;
// less, when a later stage is cancelled.
func TestInheritedTerms(t *testing.T) {
	g := New(func(string) bool { return true })
	if _, ok := g.Inherited("wk-first"); ok {
		t.Error("something is inherited though nobody waits")
	}
	g.Live("wk-left", []string{"wk-first"}, true, Terms{Rank: 0, Estimate: 20})
	g.Live("wk-right", []string{"wk-first"}, true, Terms{Rank: 1, Estimate: 50})
	g.Live("wk-last", []string{"wk-left", "wk-right"}, true, Terms{Rank: 2, Due: 1000, Estimate: 10})
	for id, want := range map[string]Terms{"wk-first": {Rank: 2, Due: 940}, "wk-right": {Rank: 2, Due: 990}, "wk-left": {Rank: 2, Due: 990}} {
		if got, ok := g.Inherited(id); !ok || got != want {
			t.Errorf("%s inherits %+v, want %+v", id, got, want)
		}
	}
	if _, ok := g.Inherited("wk-last"); ok {
		t.Error("the last stage inherits something")
	}
	g.Over("wk-last")
	if got, _ := g.Inherited("wk-first"); got != (Terms{Rank: 1}) {
		t.Errorf("without the last stage it inherits %+v", got)
	}
}
