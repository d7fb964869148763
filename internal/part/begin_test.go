package part

import (
	"testing"

	"curlewspool/internal/wire"
)

// Found on a hunted day: a gang of three waited for 416 s in a part that could hold it,
// but whose large machines others held for minutes; later gangs began at once elsewhere.
// What it lacks is told once it should have begun soon, and no more once it has; what
// has not begun gains, whatever its rank, and is let run for a while.
func TestLateToBegin(t *testing.T) {
	for _, c := range []struct {
		age   float64
		late  int
		gains bool
	}{{0, 0, false}, {59, 0, false}, {61, 0, true}, {119, 0, true}, {121, 1, true}, {500, 1, true}} {
		_, p := queued(t) // one machine of 4 cores, two tasks of one core there
		p.OnJob("wk-2", &JobRecord{Job: wire.Job{ID: "wk-2", Shape: wire.Gang, Tasks: 2, Cores: 2, Estimate: 9}, Chunk: 2, Parts: []int{0}, At: p.h.Wall() - c.age}, 4)
		w, now := p.Works["wk-2"], p.h.Now()
		if short, late := p.short(w, now), p.late(w, now); short != 0 || late != c.late {
			t.Errorf("after %v s: %d short and %d late, want 0 and %d", c.age, short, late, c.late)
		}
		if gains := p.toBegin(w, c.age) > 0; gains != c.gains {
			t.Errorf("after %v s it gains %v, want %v", c.age, gains, c.gains)
		}
		if c.age > 120 && p.toBegin(w, c.age) < 3*p.h.Settings().Score.Priority {
			t.Errorf("after %v s it gains less than any rank is worth", c.age)
		}
		p.OnJob("wk-1", nil, 0) // room for both
		p.Pass()
		if w.nplaced != 2 || p.toBegin(w, c.age) != 0 || p.late(w, now) != 0 || p.justBegun(w, now) != c.gains {
			t.Errorf("after %v s, begun: %d placed, gains %v, %d late, let run %v", c.age, w.nplaced, p.toBegin(w, c.age), p.late(w, now), p.justBegun(w, now))
		}
	}
}
