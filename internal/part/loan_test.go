package part

import (
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// borrowedIn makes a part with a borrowed job of two tasks in part k.
func borrowedIn(t *testing.T, k int) (*still, *Part, *Work) {
	t.Helper()
	w, p := queued(t)
	rec := &JobRecord{Job: wire.Job{ID: "wk-at.west.1.0.a", Team: "@west", Shape: wire.Array, Rank: BorrowedRank, Tasks: 2, Cores: 1, Memory: 1, Estimate: 10},
		Chunk: 2, Parts: []int{0}, Loan: &Loan{Home: "west", Job: "wk-a", No: 1, TermMs: 10000}}
	p.OnJob(rec.Job.ID, rec, 9)
	x := p.Works[rec.Job.ID]
	if x == nil {
		t.Fatal("not taken")
	}
	if k != 0 {
		moved := *rec
		moved.Parts = []int{k}
		p.OnJob(rec.Job.ID, &moved, 10)
	}
	return w, p, x
}

// ends counts the ends of the job that were sent.
func ends(w *still) (n int) {
	for _, txn := range w.sent {
		for _, o := range txn.Apply {
			if o.Put == FinalKey("wk-at.west.1.0.a") {
				n++
			}
		}
	}
	return n
}

// The durable word that nothing of a loan is left is given by the part that has
// it, and by no other: one from which it moved away could say so while the job
// runs in the other. (Found on a reading.)
func TestOnlyItsPartGivesALoanBack(t *testing.T) {
	for part, want := range []int{1, 0} {
		w, p, x := borrowedIn(t, part)
		w.settle()
		w.sent = nil
		p.EndLoan(x.Rec.Job.ID)
		p.mindLoan(x, time.Minute)
		w.settle()
		if got := ends(w); got != want {
			t.Errorf("the job is in part %d: part 0 wrote its end %d times, want %d", part, got, want)
		}
	}
}

// Nothing of a borrowed job is placed before its home's word, and none of it is
// the head that others wait for.
func TestBorrowedWaitsForItsHome(t *testing.T) {
	_, p, x := borrowedIn(t, 0)
	p.Pass()
	if x.nplaced != 0 || p.head == x || x.why != "borrowed: waits for its home's word" {
		t.Errorf("%d placed, head %v, %q", x.nplaced, p.head == x, x.why)
	}
	x.permit.Renew(time.Minute, 10*time.Second)
	p.Pass()
	if x.nplaced != 2 {
		t.Errorf("permitted: %d of 2 placed, %q", x.nplaced, x.why)
	}
	for _, pl := range x.placements() {
		if pl.run.Permit != x.permit {
			t.Error("a run without its permit")
		}
	}
}
