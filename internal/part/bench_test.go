package part

import (
	"fmt"
	"testing"

	"curlewspool/internal/ledger"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
)

// busy makes a part with full machines of four cores and a queue of arrays.
func busy(b *testing.B, machines, jobs int) *Part {
	b.Helper()
	w := &still{}
	s := &settings.Settings{Operators: settings.Defaults()}
	s.Deployment.Workers.Report, s.Deployment.Workers.Lease = 2, 14
	s.Deployment.State.ValueKB, s.Deployment.State.WriteRPS = 16, 80
	h := &host{w: w, s: s}
	h.l = ledger.New(w, "state", "n0", ledger.Limits{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 12, Members: 1}, func(string, []byte) {})
	p := New(0, 100, h, func() wire.Cond { return wire.Cond{Key: "a/o/0", Stamp: 7} }, 0)
	for i := 0; i < machines; i++ {
		id := fmt.Sprintf("i-%06d", i)
		p.OnMachine(id, &MachineRecord{ID: id, Type: "small", Zone: "a", Address: "w"})
		p.Report(p.Machines[id], &wire.Report{Machine: id, Address: "w", Type: "small", Zone: "a", Session: 1, Seq: 1, Token: 100}, true)
	}
	for i := 0; i < jobs; i++ {
		id := fmt.Sprintf("wk-%d", i)
		p.OnJob(id, &JobRecord{Job: wire.Job{ID: id, Shape: wire.Array, Tasks: 100_000, Cores: 1, Memory: 1, Estimate: float64(20 + i)}, Chunk: 100_000, Parts: []int{0}}, 3)
		p.Works[id].stored.all = true // nothing waits for the ledger
	}
	p.Pass()
	return p
}

// BenchmarkReport is a report that brings a task's end, with the start that
// follows: it should cost about the same at any number of machines.
func BenchmarkReport(b *testing.B) {
	for _, machines := range []int{50, 200, 800} {
		for _, jobs := range []int{5, 50} {
			b.Run(fmt.Sprintf("machines=%d/jobs=%d", machines, jobs), func(b *testing.B) {
				p := busy(b, machines, jobs)
				list := p.machines()
				seq := uint64(1)
				b.ResetTimer()
				for i := 0; i < b.N; i++ {
					m := list[i%len(list)]
					seq++
					r := &wire.Report{Machine: m.ID, Address: "w", Type: "small", Zone: "a", Session: 1, Seq: seq, Token: 100}
					for k, key := range m.Keys() {
						state, cause := wire.Running, ""
						if k == 0 {
							state, cause = wire.Ended, wire.Done
						}
						r.Tasks = append(r.Tasks, wire.TaskReport{Task: key.String(), Try: key.Try, State: state, Cause: cause})
					}
					if !p.Report(m, r, true) {
						b.Fatal("refused")
					}
					p.Settle(m)
					m.Orders(false, true, p.h.Now())
					for _, run := range m.Runs { // as if reaped
						if run.Over() {
							m.Drop(run)
						}
					}
					for _, w := range p.Works {
						w.ended = nil
					}
				}
			})
		}
	}
}

// BenchmarkPass is a pass over all machines, full ones, as a tick makes it a
// few times a second at the most.
func BenchmarkPass(b *testing.B) {
	for _, machines := range []int{50, 200, 800} {
		for _, jobs := range []int{5, 50} {
			b.Run(fmt.Sprintf("machines=%d/jobs=%d", machines, jobs), func(b *testing.B) {
				p := busy(b, machines, jobs)
				b.ResetTimer()
				for i := 0; i < b.N; i++ {
					p.Pass()
				}
			})
		}
	}
}
