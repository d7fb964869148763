package shard

import (
	"fmt"
	"testing"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// newBusyShard makes a part with full machines of four cores and a queue of arrays.
func newBusyShard(b *testing.B, machines, jobs int) *Shard {
	b.Helper()
	w := &silentEnvironment{}
	s := &settings.Settings{Operators: settings.Defaults()}
	s.Deployment.Workers.Report, s.Deployment.Workers.Lease = 2, 14
	s.Deployment.State.ValueKB, s.Deployment.State.WriteRPS = 16, 80
	h := &fakeController{w: w, s: s}
	h.l = kvstore.New(w, "state", "n0", kvstore.Limits{RequestsPerSecond: 100, WritesPerSecond: 100, MutationsPerTransaction: 12, Members: 1}, func(string, []byte) {})
	p := New(0, 100, h, func() protocol.Condition { return protocol.Condition{Key: "a/o/0", Revision: 7} }, 0)
	for i := 0; i < machines; i++ {
		id := fmt.Sprintf("i-%06d", i)
		p.UpdateMachine(id, &MachineRecord{ID: id, Type: "small", Zone: "a", Address: "w"})
		p.HandleReport(p.Machines[id], &protocol.Report{Machine: id, Address: "w", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: 100}, true)
	}
	for i := 0; i < jobs; i++ {
		id := fmt.Sprintf("wk-%d", i)
		p.UpdateJob(id, &JobRecord{Job: protocol.Job{ID: id, Shape: protocol.ShapeArray, Tasks: 100_000, Cores: 1, MemoryGB: 1, Estimate: float64(20 + i)}, ChunkSize: 100_000, ChunkShards: []int{0}}, 3)
		p.Jobs[id].recordedMachines.every = true // nothing waits for the ledger
	}
	p.Schedule()
	return p
}

// BenchmarkReport is a report that brings a task's end, with the start that
// follows: it should cost about the same at any number of machines.
func BenchmarkReport(b *testing.B) {
	for _, machines := range []int{50, 200, 800} {
		for _, jobs := range []int{5, 50} {
			b.Run(fmt.Sprintf("machines=%d/jobs=%d", machines, jobs), func(b *testing.B) {
				p := newBusyShard(b, machines, jobs)
				list := p.machinesByID()
				seq := uint64(1)
				b.ResetTimer()
				for i := 0; i < b.N; i++ {
					m := list[i%len(list)]
					seq++
					r := &protocol.Report{Machine: m.ID, Address: "w", Type: "small", Zone: "a", Incarnation: 1, Sequence: seq, FencingToken: 100}
					for k, key := range m.AttemptIDs() {
						state, cause := protocol.TaskRunning, protocol.TerminationCause("")
						if k == 0 {
							state, cause = protocol.TaskEnded, protocol.CauseDone
						}
						r.Tasks = append(r.Tasks, protocol.TaskReport{Task: key.String(), Attempt: key.Number, State: state, Cause: cause})
					}
					if !p.HandleReport(m, r, true) {
						b.Fatal("refused")
					}
					p.ScheduleMachine(m)
					m.NextCommands(false, true, p.controller.Now())
					for _, run := range m.Attempts { // as if reaped
						if run.HasEnded() {
							m.Forget(run)
						}
					}
					for _, w := range p.Jobs {
						w.unrecordedEnds = nil
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
				p := newBusyShard(b, machines, jobs)
				b.ResetTimer()
				for i := 0; i < b.N; i++ {
					p.Schedule()
				}
			})
		}
	}
}
