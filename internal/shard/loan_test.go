package shard

import (
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// newShardWithBorrowedJob makes a part with a borrowed job of two tasks in part k.
func newShardWithBorrowedJob(t *testing.T, k int) (*silentEnvironment, *Shard, *QueuedJob) {
	t.Helper()
	w, p := newShardWithQueuedJob(t)
	rec := &JobRecord{Job: protocol.Job{ID: "wk-at.west.1.0.a", Team: "@west", Shape: protocol.ShapeArray, Priority: BorrowedRank, Tasks: 2, Cores: 1, MemoryGB: 1, Estimate: 10},
		ChunkSize: 2, ChunkShards: []int{0}, Loan: &Loan{HomeCluster: "west", HomeJobID: "wk-a", LoanNumber: 1, TermMillis: 10000}}
	p.UpdateJob(rec.Job.ID, rec, 9)
	x := p.Jobs[rec.Job.ID]
	if x == nil {
		t.Fatal("not taken")
	}
	if k != 0 {
		moved := *rec
		moved.ChunkShards = []int{k}
		p.UpdateJob(rec.Job.ID, &moved, 10)
	}
	return w, p, x
}

// countFinalWrites counts the ends of the job that were sent.
func countFinalWrites(w *silentEnvironment) (n int) {
	for _, txn := range w.sent {
		for _, o := range txn.Mutations {
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
func TestOnlyOwningShardReturnsLoan(t *testing.T) {
	for part, want := range []int{1, 0} {
		w, p, x := newShardWithBorrowedJob(t, part)
		w.settle()
		w.sent = nil
		p.EndLoan(x.Record.Job.ID)
		p.checkLoan(x, time.Minute)
		w.settle()
		if got := countFinalWrites(w); got != want {
			t.Errorf("the job is in part %d: part 0 wrote its end %d times, want %d", part, got, want)
		}
	}
}

// Nothing of a borrowed job is placed before its home's word, and none of it is
// the head that others wait for.
func TestBorrowedJobWaitsForPermit(t *testing.T) {
	_, p, x := newShardWithBorrowedJob(t, 0)
	p.Schedule()
	if x.placedTasks != 0 || p.headJob == x || x.waitReason != "borrowed: waits for its home's word" {
		t.Errorf("%d placed, head %v, %q", x.placedTasks, p.headJob == x, x.waitReason)
	}
	x.permit.Renew(time.Minute, 10*time.Second)
	p.Schedule()
	if x.placedTasks != 2 {
		t.Errorf("permitted: %d of 2 placed, %q", x.placedTasks, x.waitReason)
	}
	for _, pl := range x.sortedPlacements() {
		if pl.attempt.Permit != x.permit {
			t.Error("a run without its permit")
		}
	}
}
