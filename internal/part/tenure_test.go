package part

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/ledger"
	"curlewspool/internal/mesh"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
)

// still is a world in which nothing is answered: it only notes what is sent.
type still struct {
	later []func()
	sent  []wire.Txn
}

func (w *still) Now() time.Duration              { return time.Minute }
func (w *still) Wall() time.Time                 { return time.Unix(1_700_000_000, 0) }
func (w *still) Rand() *rand.Rand                { return rand.New(rand.NewPCG(1, 2)) }
func (w *still) After(d time.Duration, f func()) { w.later = append(w.later, f) }
func (w *still) Send(string, *mesh.Envelope)     {}
func (w *still) Call(_, _, path string, in, _ any, _ time.Duration, _ func(int)) {
	if t, ok := in.(*wire.Txn); ok && path == "/multi" {
		w.sent = append(w.sent, *t)
	}
}

func (w *still) settle() {
	for len(w.later) > 0 {
		f := w.later[0]
		w.later = w.later[1:]
		f()
	}
}

type host struct {
	w *still
	l *ledger.Ledger
	s *settings.Settings
}

func (h *host) Now() time.Duration           { return h.w.Now() }
func (h *host) Wall() float64                { return 1_700_000_000 }
func (h *host) Ledger() *ledger.Ledger       { return h.l }
func (h *host) Settings() *settings.Settings { return h.s }
func (h *host) TypeOf(string) *wire.MachineType {
	return &wire.MachineType{Name: "small", Cores: 4, Memory: 16, Boot: 10}
}
func (h *host) Order(*Part, *Machine)                {}
func (h *host) MayLaunch() bool                      { return true }
func (h *host) Wanted(*Machine, bool) bool           { return true }
func (h *host) Large() map[string]Large              { return nil }
func (h *host) Deadlines(*wire.Job) []float64        { return nil }
func (h *host) Coming() (float64, float64)           { return 0, 0 }
func (h *host) Spared() bool                         { return false }
func (h *host) Spare(*Machine, *wire.Job) bool       { return false }
func (h *host) TeamDemand(string) (float64, float64) { return 0, 0 }
func (h *host) Reassign(string, int, func() wire.Cond, func() bool, func(bool)) {
}

// queued makes a part with one machine and a job whose start waits for the
// job's record.
func queued(t *testing.T) (*still, *Part) {
	t.Helper()
	w := &still{}
	s := &settings.Settings{Operators: settings.Defaults()}
	s.Deployment.Workers.Report, s.Deployment.Workers.Lease = 2, 14
	s.Deployment.State.ValueKB = 16
	h := &host{w: w, s: s}
	h.l = ledger.New(w, "state", "n0", ledger.Limits{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 12, Members: 1}, func(string, []byte) {})
	p := New(0, 100, h, func() wire.Cond { return wire.Cond{Key: "a/o/0", Stamp: 7} }, 0)
	p.OnMachine("i-1", &MachineRecord{ID: "i-1", Type: "small", Zone: "a", Address: "w"})
	m := p.Machines["i-1"]
	if !p.Report(m, &wire.Report{Machine: "i-1", Address: "w", Type: "small", Zone: "a", Session: 1, Seq: 1, Token: 100}, true) {
		t.Fatal("report refused")
	}
	p.OnJob("wk-1", &JobRecord{Job: wire.Job{ID: "wk-1", Shape: wire.Array, Tasks: 2, Cores: 1, Estimate: 9}, Chunk: 2, Parts: []int{0}}, 3)
	p.Pass()
	return w, p
}

// The record that names the machine must be written before the first launch.
func TestRecordBeforeLaunch(t *testing.T) {
	w, p := queued(t)
	if o := p.Machines["i-1"].Orders(false, true, 0); len(o) != 0 {
		t.Fatalf("ordered before the record is stored: %v", o)
	}
	w.settle()
	if len(w.sent) != 1 || w.sent[0].Apply[0].Put != ProgressKey("wk-1", 0) {
		t.Fatalf("sent %v, want the job's record", w.sent)
	}
	var rec Progress
	if err := wire.Decode(w.sent[0].Apply[0].Value, &rec); err != nil || strings.Join(rec.On, " ") != "i-1" {
		t.Errorf("the record names %v (%v), want i-1", rec.On, err)
	}
}

// Found on a random day: a machine went away with two tasks of a gang that were
// not launched yet. Telling the first gone took the other off as well, which was
// then told gone itself, and the controller ended. A spot notice did the same
// (found on a reading). On another, work of a higher rank stopped each of its tasks: the
// first took the others off, and the second made it a gang that is being stopped, for ever.
func TestMachineGoneWithHalfAGang(t *testing.T) {
	for name, end := range map[string]func(p *Part, m *Machine){
		"gone":   func(p *Part, m *Machine) { p.OnMachine("i-1", nil) },
		"notice": func(p *Part, m *Machine) { p.drain(m, p.h.Now()) },
		"preempted": func(p *Part, m *Machine) {
			for _, pl := range p.Works["wk-2"].placements() {
				p.stopRun(p.Works["wk-2"], pl, "preempted by wk-3")
			}
		},
	} {
		_, p := queued(t)
		p.OnJob("wk-2", &JobRecord{Job: wire.Job{ID: "wk-2", Shape: wire.Gang, Tasks: 2, Cores: 1, Estimate: 9}, Chunk: 2, Parts: []int{0}}, 4)
		p.Pass()
		w := p.Works["wk-2"]
		if w.nplaced != 2 {
			t.Fatalf("%s: %d tasks of the gang are placed, want both", name, w.nplaced)
		}
		end(p, p.Machines["i-1"])
		if w.nplaced != 0 || w.idle != 2 || w.broken || w.halting {
			t.Errorf("%s: %d placed, %d queued, broken %v, halting %v; want the gang queued whole", name, w.nplaced, w.idle, w.broken, w.halting)
		}
	}
}

// Found on a simulated day (13 tasks ran on two machines): what an owner
// still had to write when it lost its part was written when the same
// controller held the part again, and a machine's record lost a job.
func TestClosedTenureWritesNothing(t *testing.T) {
	w, p := queued(t)
	p.Close()
	w.settle()
	if len(w.sent) != 0 {
		t.Errorf("a closed tenure wrote %v", w.sent)
	}
	if g := p.guard(); g.Stamp != never {
		t.Errorf("its guard is %v, which may hold", g)
	}
}

// Found on a grown day: zones were apart, and an owner had the 70 machines of
// the other zone deleted, a third of its part, as if each had failed by itself.
func TestSilentZoneIsNotDeleted(t *testing.T) {
	_, p := queued(t)
	now := p.h.Now()
	p.Machines = map[string]*Machine{}
	for i := 0; i < 20; i++ {
		m := &Machine{Machine: worker.New(fmt.Sprint(i), 1, now)}
		m.Zone = "a"
		if i < 5 {
			m.Zone, m.LastHeard, m.LastReport = "b", now-time.Minute, now-time.Minute
		}
		p.Machines[m.ID] = m
	}
	if p.alone(p.Machines["0"], now) {
		t.Error("a machine is called silent by itself while its whole zone is")
	}
	p.Machines["7"].LastHeard, p.Machines["7"].LastReport = now-time.Minute, now-time.Minute
	if !p.alone(p.Machines["7"], now) {
		t.Error("one of fifteen in its zone is not called silent by itself")
	}
}

func (h *host) Inherit(rec *JobRecord) *JobRecord { return rec }
