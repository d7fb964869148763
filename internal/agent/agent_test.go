package agent

import (
	"strings"
	"testing"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
)

const baseToken = 1000

// reconciledMachine is a machine whose worker has seen our token.
func reconciledMachine() *Machine {
	m := New("i-1", baseToken, 0)
	m.ApplyReport(newReport(1, baseToken), time.Second, true)
	return m
}

func newReport(seq, token uint64, tasks ...protocol.TaskReport) *protocol.Report {
	return &protocol.Report{Machine: "i-1", Address: "w", Incarnation: 1, Sequence: seq, FencingToken: token, Tasks: tasks}
}

func countLost(ev []Event) int {
	n := 0
	for _, e := range ev {
		if e.Kind == AttemptLost {
			n++
		}
	}
	return n
}

// Each case ends with the task halted and a report that does not list it. It
// may be called gone only where the launch can no longer be executed.
func TestAttemptLostNeedsProof(t *testing.T) {
	task := TaskID{"wk-1", 0}
	for _, c := range []struct {
		name string
		play func(m *Machine, run *Attempt) []Event
		gone bool
	}{
		{"never launched", func(m *Machine, run *Attempt) []Event {
			if m.RequestStop(run, 0) {
				return []Event{{run, AttemptLost}}
			}
			return nil
		}, true},
		{"launched in an answer, then an answer to orders made before", func(m *Machine, run *Attempt) []Event {
			m.NextCommands(false, true, 0)
			m.RequestStop(run, 0)
			ev, _ := m.ApplyReport(newReport(2, baseToken), time.Second, false)
			return ev
		}, false},
		{"launched in an answer, then the next posted report", func(m *Machine, run *Attempt) []Event {
			m.NextCommands(false, true, 0)
			m.RequestStop(run, 0)
			ev, _ := m.ApplyReport(newReport(2, baseToken), time.Second, true)
			return ev
		}, true},
		{"orders still on their way", func(m *Machine, run *Attempt) []Event {
			m.NextCommands(true, true, 0)
			m.CommandsSent()
			m.RequestStop(run, 0)
			ev, _ := m.ApplyReport(newReport(2, baseToken), time.Second, true)
			return ev
		}, false},
		{"orders lost, worker has not seen a higher token", func(m *Machine, run *Attempt) []Event {
			m.NextCommands(true, true, 0)
			m.CommandsSent()
			m.CommandsLost(baseToken)
			m.RequestStop(run, 0)
			ev, _ := m.ApplyReport(newReport(2, baseToken), time.Second, true)
			return ev
		}, false},
		{"orders lost, worker has seen the higher token", func(m *Machine, run *Attempt) []Event {
			m.NextCommands(true, true, 0)
			m.CommandsSent()
			m.CommandsLost(baseToken)
			m.RequestStop(run, 0)
			ev, _ := m.ApplyReport(newReport(2, m.FencingToken), time.Second, true)
			return ev
		}, true},
		{"an older report", func(m *Machine, run *Attempt) []Event {
			m.NextCommands(false, true, 0)
			m.RequestStop(run, 0)
			ev, ok := m.ApplyReport(newReport(1, baseToken), time.Second, true)
			if ok {
				return nil
			}
			return ev
		}, false},
		{"the lease is over", func(m *Machine, run *Attempt) []Event {
			m.NextCommands(false, true, 0)
			m.ReportAnswered(2 * time.Second)
			if !m.LeaseExpired(17*time.Second, 14*time.Second, 0.0005) {
				return nil
			}
			return m.ExpireLease(time.Hour)
		}, true},
	} {
		m := reconciledMachine()
		run := m.Place(task, 7, false, 0)
		if got := countLost(c.play(m, run)) == 1; got != c.gone {
			t.Errorf("%s: gone is %v, want %v", c.name, got, c.gone)
		}
	}
}

// A lease that may still run must not be called over.
func TestLeaseExpiry(t *testing.T) {
	m := reconciledMachine()
	m.ReportAnswered(10 * time.Second)
	if m.LeaseExpired(24*time.Second, 14*time.Second, 0.0005) {
		t.Error("over while the worker's clock may show less than lease_s")
	}
	// Messages of the old session count for nothing after that.
	m.ExpireLease(time.Hour)
	if _, ok := m.ApplyReport(newReport(99, baseToken), time.Minute, true); ok {
		t.Error("a late report of the ended session was believed")
	}
}

// A report made before the takeover proves nothing about what the earlier
// owner may have launched since.
func TestOldReportDoesNotReconcile(t *testing.T) {
	m := New("i-1", baseToken, 0)
	m.ApplyReport(newReport(5, baseToken-1), time.Second, true)
	if m.Reconciled {
		t.Error("resolved by a report under the earlier owner's token")
	}
	if o := m.NextCommands(false, true, 0); len(o) != 0 {
		t.Errorf("orders %v before the machine is known", o)
	}
	m.ApplyReport(newReport(6, baseToken), time.Second, true)
	if !m.Reconciled {
		t.Error("not resolved by a report under our token")
	}
}

// After a reap a repeated launch would start the task again: no reap while a
// copy of the launch may be on its way.
func TestNoAcknowledgeWhileCommandsUncertain(t *testing.T) {
	m := reconciledMachine()
	run := m.Place(TaskID{"wk-1", 0}, 7, false, 0)
	m.NextCommands(true, true, 0)
	m.CommandsSent()
	m.CommandsLost(baseToken)
	m.ApplyReport(newReport(2, baseToken, protocol.TaskReport{Task: "wk-1/0", Attempt: 7, State: protocol.TaskEnded, Cause: protocol.JobDone}), time.Second, true)
	run.Acknowledge = true
	if o := m.NextCommands(false, true, 0); len(o) != 0 {
		t.Errorf("%v while lost orders may still be executed", o)
	}
	m.ApplyReport(newReport(3, m.FencingToken, protocol.TaskReport{Task: "wk-1/0", Attempt: 7, State: protocol.TaskEnded, Cause: protocol.JobDone}), time.Second, true)
	if o := m.NextCommands(false, true, 0); len(o) != 1 || o[0].Verb != protocol.CommandAcknowledge {
		t.Errorf("orders %v, want a reap", o)
	}
}

// A borrowed task is started by answers to reports only, while its permit is
// good; an answer after its end stops all that is there of the loan, more than
// an answer usually holds included.
func TestBorrowedTaskPermit(t *testing.T) {
	m := New("i-1", 100, 0)
	if _, ok := m.ApplyReport(&protocol.Report{Machine: "i-1", Address: "w", Incarnation: 1, Sequence: 1, FencingToken: 100}, time.Second, true); !ok {
		t.Fatal("report refused")
	}
	permit := &remotelease.Permit{}
	ours := m.Place(TaskID{"wk-1", 0}, 1, false, time.Second)
	theirs := m.Place(TaskID{"wk-at.west.1.0.a", 0}, 2, false, time.Second)
	theirs.Permit = permit
	said := func(direct bool, now time.Duration) string {
		s := ""
		for _, o := range m.NextCommands(direct, true, now) {
			s += o.Verb + " " + o.Task + "; "
		}
		return s
	}
	if got := said(false, 2*time.Second); got != "launch wk-1/0; " {
		t.Errorf("without a permit: %q", got)
	}
	permit.Renew(2*time.Second, 10*time.Second)
	if m.NeedsDirectCommands(true, 3*time.Second) {
		t.Error("a borrowed start presses for direct orders")
	}
	if got := said(true, 3*time.Second); got != "" {
		t.Errorf("direct orders: %q", got)
	}
	if got := said(false, 4*time.Second); got != "launch wk-at.west.1.0.a/0; " {
		t.Errorf("permitted: %q", got)
	}
	if got := said(false, 11*time.Second); got != "" {
		t.Errorf("still permitted: %q", got)
	}
	for i := 0; i < 3*maxCommands/2; i++ {
		r := m.Place(TaskID{"wk-at.west.1.0.b", i}, 3, false, 11*time.Second)
		r.Permit, r.State = permit, protocol.TaskRunning
	}
	if got := strings.Count(said(false, 12*time.Second), "halt wk-at"); got != 1+3*maxCommands/2 {
		t.Errorf("%d halts after the permit's end, want all", got)
	}
	if ours.StopRequested {
		t.Error("our own task was stopped")
	}
}

// Each answer that could renew the lease holds all halts: ends that are to be reaped
// and starts take no room from them, an old cache holds only the starts back, and if
// they are more than an answer holds the report must not be answered.
func TestStopsComeFirst(t *testing.T) {
	m := New("i-1", 100, 0)
	m.ApplyReport(&protocol.Report{Machine: "i-1", Address: "w", Incarnation: 1, Sequence: 1, FencingToken: 100}, time.Second, true)
	place := func(job string, n int, state string) (runs []*Attempt) {
		for i := range n {
			r := m.Place(TaskID{job, i}, 1, false, time.Second)
			r.State = state
			runs = append(runs, r)
		}
		return runs
	}
	for _, r := range place("wk-1", maxCommands, protocol.TaskEnded) {
		r.Acknowledge = true
	}
	place("wk-2", 3, "")
	for _, r := range place("wk-3", 10, protocol.TaskRunning) {
		m.RequestStop(r, 0)
	}
	count := func(launch bool) (halts, launches, all int) {
		for _, o := range m.NextCommands(false, launch, 2*time.Second) {
			all++
			switch o.Verb {
			case protocol.CommandStop:
				halts++
			case protocol.CommandLaunch:
				launches++
			}
		}
		return
	}
	if h, l, all := count(false); h != 10 || l != 0 || all != maxCommands {
		t.Errorf("%d halts, %d launches of %d orders, want 10, none and %d", h, l, all, maxCommands)
	}
	if m.StopsExceedAnswer(2 * time.Second) {
		t.Error("ten halts are said not to fit")
	}
	for _, r := range place("wk-4", maxCommands, protocol.TaskRunning) {
		m.RequestStop(r, 0)
	}
	if !m.StopsExceedAnswer(2 * time.Second) {
		t.Errorf("%d halts are said to fit into an answer", maxCommands+10)
	}
}

// A copy of orders that were carried out may come at any later time. After a reap it
// would start the task again, so the message that brings the reap has a higher token
// than the orders that launched it.
func TestAcknowledgeOutdatesLaunch(t *testing.T) {
	for _, direct := range []bool{true, false} {
		m := New("i-1", 100, 0)
		report := func(seq uint64, state string) {
			r := &protocol.Report{Machine: "i-1", Address: "w", Incarnation: 1, Sequence: seq, FencingToken: m.FencingToken}
			if state != "" {
				r.Tasks = []protocol.TaskReport{{Task: "wk-1/0", Attempt: 1, State: state, Cause: protocol.CauseStopped}}
			}
			m.ApplyReport(r, time.Second, true)
		}
		report(1, "")
		run := m.Place(TaskID{"wk-1", 0}, 1, false, time.Second)
		if o := m.NextCommands(direct, true, time.Second); len(o) != 1 || o[0].Verb != protocol.CommandLaunch {
			t.Fatalf("direct %v: %v, want a launch", direct, o)
		}
		launched := m.FencingToken
		report(2, protocol.TaskRunning)
		report(3, protocol.TaskEnded)
		run.Acknowledge = true
		o := m.NextCommands(false, true, time.Second)
		if len(o) != 1 || o[0].Verb != protocol.CommandAcknowledge {
			t.Fatalf("direct %v: %v, want a reap", direct, o)
		}
		// What comes in an answer is taken within seconds or dropped: no copy follows.
		if raised := m.FencingToken > launched; raised != direct {
			t.Errorf("direct %v: launched under %d, reaped under %d", direct, launched, m.FencingToken)
		}
	}
}
