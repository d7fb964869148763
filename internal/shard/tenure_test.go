package shard

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// silentEnvironment is a world in which nothing is answered: it only notes what is sent.
type silentEnvironment struct {
	later []func()
	sent  []protocol.Transaction
}

func (w *silentEnvironment) Now() time.Duration              { return time.Minute }
func (w *silentEnvironment) Wall() time.Time                 { return time.Unix(1_700_000_000, 0) }
func (w *silentEnvironment) Rand() *rand.Rand                { return rand.New(rand.NewPCG(1, 2)) }
func (w *silentEnvironment) After(d time.Duration, f func()) { w.later = append(w.later, f) }
func (w *silentEnvironment) Send(string, *peermsg.Envelope)  {}
func (w *silentEnvironment) Call(_, _, path string, in, _ any, _ time.Duration, _ func(int)) {
	if t, ok := in.(*protocol.Transaction); ok && path == "/multi" {
		w.sent = append(w.sent, *t)
	}
}

func (w *silentEnvironment) settle() {
	for len(w.later) > 0 {
		f := w.later[0]
		w.later = w.later[1:]
		f()
	}
}

type fakeController struct {
	w *silentEnvironment
	l *kvstore.Store
	s *settings.Settings
}

func (h *fakeController) Now() time.Duration           { return h.w.Now() }
func (h *fakeController) WallSeconds() float64         { return 1_700_000_000 }
func (h *fakeController) Store() *kvstore.Store        { return h.l }
func (h *fakeController) Settings() *settings.Settings { return h.s }
func (h *fakeController) MachineType(string) *protocol.MachineType {
	return &protocol.MachineType{Name: "small", Cores: 4, MemoryGB: 16, BootSeconds: 10}
}
func (h *fakeController) SendOrders(*Shard, *Machine)              {}
func (h *fakeController) CanLaunch() bool                          { return true }
func (h *fakeController) HasDemandFor(*Machine, bool) bool         { return true }
func (h *fakeController) LargeJobs() map[string]LargeJob           { return nil }
func (h *fakeController) Deadlines(*protocol.Job) []float64        { return nil }
func (h *fakeController) BootingCores() (float64, float64)         { return 0, 0 }
func (h *fakeController) SpotSuffices() bool                       { return false }
func (h *fakeController) HasSpareFor(*Machine, *protocol.Job) bool { return false }
func (h *fakeController) TeamDemand(string) (float64, float64)     { return 0, 0 }
func (h *fakeController) ReassignMachine(string, int, func() protocol.Condition, func() bool, func(bool)) {
}

// newShardWithQueuedJob makes a part with one machine and a job whose start waits for the
// job's record.
func newShardWithQueuedJob(t *testing.T) (*silentEnvironment, *Shard) {
	t.Helper()
	w := &silentEnvironment{}
	s := &settings.Settings{Operators: settings.Defaults()}
	s.Deployment.Workers.Report, s.Deployment.Workers.Lease = 2, 14
	s.Deployment.State.ValueKB = 16
	h := &fakeController{w: w, s: s}
	h.l = kvstore.New(w, "state", "n0", kvstore.Limits{RequestsPerSecond: 100, WritesPerSecond: 100, MutationsPerTransaction: 12, Members: 1}, func(string, []byte) {})
	p := New(0, 100, h, func() protocol.Condition { return protocol.Condition{Key: "a/o/0", Revision: 7} }, 0)
	p.UpdateMachine("i-1", &MachineRecord{ID: "i-1", Type: "small", Zone: "a", Address: "w"})
	m := p.Machines["i-1"]
	if !p.HandleReport(m, &protocol.Report{Machine: "i-1", Address: "w", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: 100}, true) {
		t.Fatal("report refused")
	}
	p.UpdateJob("wk-1", &JobRecord{Job: protocol.Job{ID: "wk-1", Shape: protocol.ShapeArray, Tasks: 2, Cores: 1, Estimate: 9}, ChunkSize: 2, ChunkShards: []int{0}}, 3)
	p.Schedule()
	return w, p
}

// The record that names the machine must be written before the first launch.
func TestRecordBeforeLaunch(t *testing.T) {
	w, p := newShardWithQueuedJob(t)
	if o := p.Machines["i-1"].NextCommands(false, true, 0); len(o) != 0 {
		t.Fatalf("ordered before the record is stored: %v", o)
	}
	w.settle()
	if len(w.sent) != 1 || w.sent[0].Mutations[0].Put != ProgressKey("wk-1", 0) {
		t.Fatalf("sent %v, want the job's record", w.sent)
	}
	var rec Progress
	if err := protocol.Decode(w.sent[0].Mutations[0].Value, &rec); err != nil || strings.Join(rec.Machines, " ") != "i-1" {
		t.Errorf("the record names %v (%v), want i-1", rec.Machines, err)
	}
}

// Found on a random day: a machine went away with two tasks of a gang that were
// not launched yet. Telling the first gone took the other off as well, which was
// then told gone itself, and the controller ended. A spot notice did the same
// (found on a reading). On another, work of a higher rank stopped each of its tasks: the
// first took the others off, and the second made it a gang that is being stopped, for ever.
func TestStoppedUnlaunchedGangIsRequeuedWhole(t *testing.T) {
	for name, end := range map[string]func(p *Shard, m *Machine){
		"gone":   func(p *Shard, m *Machine) { p.UpdateMachine("i-1", nil) },
		"notice": func(p *Shard, m *Machine) { p.drainForNotice(m, p.controller.Now()) },
		"preempted": func(p *Shard, m *Machine) {
			for _, pl := range p.Jobs["wk-2"].sortedPlacements() {
				p.stopAttempt(p.Jobs["wk-2"], pl, "preempted by wk-3")
			}
		},
	} {
		_, p := newShardWithQueuedJob(t)
		p.UpdateJob("wk-2", &JobRecord{Job: protocol.Job{ID: "wk-2", Shape: protocol.ShapeGang, Tasks: 2, Cores: 1, Estimate: 9}, ChunkSize: 2, ChunkShards: []int{0}}, 4)
		p.Schedule()
		w := p.Jobs["wk-2"]
		if w.placedTasks != 2 {
			t.Fatalf("%s: %d tasks of the gang are placed, want both", name, w.placedTasks)
		}
		end(p, p.Machines["i-1"])
		if w.placedTasks != 0 || w.idleTasks != 2 || w.gangBroken || w.gangStopping {
			t.Errorf("%s: %d placed, %d queued, broken %v, halting %v; want the gang queued whole", name, w.placedTasks, w.idleTasks, w.gangBroken, w.gangStopping)
		}
	}
}

// Found on a simulated day (13 tasks ran on two machines): what an owner
// still had to write when it lost its part was written when the same
// controller held the part again, and a machine's record lost a job.
func TestClosedShardWritesNothing(t *testing.T) {
	w, p := newShardWithQueuedJob(t)
	p.Close()
	w.settle()
	if len(w.sent) != 0 {
		t.Errorf("a closed tenure wrote %v", w.sent)
	}
	if g := p.guard(); g.Revision != impossibleRevision {
		t.Errorf("its guard is %v, which may hold", g)
	}
}

// Found on a grown day: zones were apart, and an owner had the 70 machines of
// the other zone deleted, a third of its part, as if each had failed by itself.
func TestSilentZoneIsNotDeleted(t *testing.T) {
	_, p := newShardWithQueuedJob(t)
	now := p.controller.Now()
	p.Machines = map[string]*Machine{}
	for i := 0; i < 20; i++ {
		m := &Machine{Machine: agent.New(fmt.Sprint(i), 1, now)}
		m.Zone = "a"
		if i < 5 {
			m.Zone, m.LastContact, m.LastHeartbeat = "b", now-time.Minute, now-time.Minute
		}
		p.Machines[m.ID] = m
	}
	if p.isIsolatedFailure(p.Machines["0"], now) {
		t.Error("a machine is called silent by itself while its whole zone is")
	}
	p.Machines["7"].LastContact, p.Machines["7"].LastHeartbeat = now-time.Minute, now-time.Minute
	if !p.isIsolatedFailure(p.Machines["7"], now) {
		t.Error("one of fifteen in its zone is not called silent by itself")
	}
}

func (h *fakeController) WithInherited(rec *JobRecord) *JobRecord { return rec }
