package worker

import (
	"strings"
	"testing"
	"time"

	"curlewspool/internal/loan"
	"curlewspool/internal/wire"
)

const base = 1000

// known is a machine whose worker has seen our token.
func known() *Machine {
	m := New("i-1", base, 0)
	m.Report(report(1, base), time.Second, true)
	return m
}

func report(seq, token uint64, tasks ...wire.TaskReport) *wire.Report {
	return &wire.Report{Machine: "i-1", Address: "w", Session: 1, Seq: seq, Token: token, Tasks: tasks}
}

func vanished(ev []Event) int {
	n := 0
	for _, e := range ev {
		if e.Kind == Vanished {
			n++
		}
	}
	return n
}

// Each case ends with the task halted and a report that does not list it. It
// may be called gone only where the launch can no longer be executed.
func TestGoneNeedsProof(t *testing.T) {
	task := Task{"wk-1", 0}
	for _, c := range []struct {
		name string
		play func(m *Machine, run *Run) []Event
		gone bool
	}{
		{"never launched", func(m *Machine, run *Run) []Event {
			if m.Stop(run, 0) {
				return []Event{{run, Vanished}}
			}
			return nil
		}, true},
		{"launched in an answer, then an answer to orders made before", func(m *Machine, run *Run) []Event {
			m.Orders(false, true, 0)
			m.Stop(run, 0)
			ev, _ := m.Report(report(2, base), time.Second, false)
			return ev
		}, false},
		{"launched in an answer, then the next posted report", func(m *Machine, run *Run) []Event {
			m.Orders(false, true, 0)
			m.Stop(run, 0)
			ev, _ := m.Report(report(2, base), time.Second, true)
			return ev
		}, true},
		{"orders still on their way", func(m *Machine, run *Run) []Event {
			m.Orders(true, true, 0)
			m.OrdersSent()
			m.Stop(run, 0)
			ev, _ := m.Report(report(2, base), time.Second, true)
			return ev
		}, false},
		{"orders lost, worker has not seen a higher token", func(m *Machine, run *Run) []Event {
			m.Orders(true, true, 0)
			m.OrdersSent()
			m.OrdersLost(base)
			m.Stop(run, 0)
			ev, _ := m.Report(report(2, base), time.Second, true)
			return ev
		}, false},
		{"orders lost, worker has seen the higher token", func(m *Machine, run *Run) []Event {
			m.Orders(true, true, 0)
			m.OrdersSent()
			m.OrdersLost(base)
			m.Stop(run, 0)
			ev, _ := m.Report(report(2, m.Token), time.Second, true)
			return ev
		}, true},
		{"an older report", func(m *Machine, run *Run) []Event {
			m.Orders(false, true, 0)
			m.Stop(run, 0)
			ev, ok := m.Report(report(1, base), time.Second, true)
			if ok {
				return nil
			}
			return ev
		}, false},
		{"the lease is over", func(m *Machine, run *Run) []Event {
			m.Orders(false, true, 0)
			m.Answered(2 * time.Second)
			if !m.LeaseOver(17*time.Second, 14*time.Second, 0.0005) {
				return nil
			}
			return m.Expire(time.Hour)
		}, true},
	} {
		m := known()
		run := m.Place(task, 7, false, 0)
		if got := vanished(c.play(m, run)) == 1; got != c.gone {
			t.Errorf("%s: gone is %v, want %v", c.name, got, c.gone)
		}
	}
}

// A lease that may still run must not be called over.
func TestLeaseBound(t *testing.T) {
	m := known()
	m.Answered(10 * time.Second)
	if m.LeaseOver(24*time.Second, 14*time.Second, 0.0005) {
		t.Error("over while the worker's clock may show less than lease_s")
	}
	// Messages of the old session count for nothing after that.
	m.Expire(time.Hour)
	if _, ok := m.Report(report(99, base), time.Minute, true); ok {
		t.Error("a late report of the ended session was believed")
	}
}

// A report made before the takeover proves nothing about what the earlier
// owner may have launched since.
func TestOldReportDoesNotResolve(t *testing.T) {
	m := New("i-1", base, 0)
	m.Report(report(5, base-1), time.Second, true)
	if m.Resolved {
		t.Error("resolved by a report under the earlier owner's token")
	}
	if o := m.Orders(false, true, 0); len(o) != 0 {
		t.Errorf("orders %v before the machine is known", o)
	}
	m.Report(report(6, base), time.Second, true)
	if !m.Resolved {
		t.Error("not resolved by a report under our token")
	}
}

// After a reap a repeated launch would start the task again: no reap while a
// copy of the launch may be on its way.
func TestNoReapInDoubt(t *testing.T) {
	m := known()
	run := m.Place(Task{"wk-1", 0}, 7, false, 0)
	m.Orders(true, true, 0)
	m.OrdersSent()
	m.OrdersLost(base)
	m.Report(report(2, base, wire.TaskReport{Task: "wk-1/0", Try: 7, State: wire.Ended, Cause: wire.Done}), time.Second, true)
	run.Reap = true
	if o := m.Orders(false, true, 0); len(o) != 0 {
		t.Errorf("%v while lost orders may still be executed", o)
	}
	m.Report(report(3, m.Token, wire.TaskReport{Task: "wk-1/0", Try: 7, State: wire.Ended, Cause: wire.Done}), time.Second, true)
	if o := m.Orders(false, true, 0); len(o) != 1 || o[0].Verb != wire.Reap {
		t.Errorf("orders %v, want a reap", o)
	}
}

// A borrowed task is started by answers to reports only, while its permit is
// good; an answer after its end stops all that is there of the loan, more than
// an answer usually holds included.
func TestPermit(t *testing.T) {
	m := New("i-1", 100, 0)
	if _, ok := m.Report(&wire.Report{Machine: "i-1", Address: "w", Session: 1, Seq: 1, Token: 100}, time.Second, true); !ok {
		t.Fatal("report refused")
	}
	permit := &loan.Permit{}
	ours := m.Place(Task{"wk-1", 0}, 1, false, time.Second)
	theirs := m.Place(Task{"wk-at.west.1.0.a", 0}, 2, false, time.Second)
	theirs.Permit = permit
	said := func(direct bool, now time.Duration) string {
		s := ""
		for _, o := range m.Orders(direct, true, now) {
			s += o.Verb + " " + o.Task + "; "
		}
		return s
	}
	if got := said(false, 2*time.Second); got != "launch wk-1/0; " {
		t.Errorf("without a permit: %q", got)
	}
	permit.Renew(2*time.Second, 10*time.Second)
	if m.Pressing(true, 3*time.Second) {
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
	for i := 0; i < 3*maxOrders/2; i++ {
		r := m.Place(Task{"wk-at.west.1.0.b", i}, 3, false, 11*time.Second)
		r.Permit, r.State = permit, wire.Running
	}
	if got := strings.Count(said(false, 12*time.Second), "halt wk-at"); got != 1+3*maxOrders/2 {
		t.Errorf("%d halts after the permit's end, want all", got)
	}
	if ours.Halt {
		t.Error("our own task was stopped")
	}
}

// Each answer that could renew the lease holds all halts: ends that are to be reaped
// and starts take no room from them, an old cache holds only the starts back, and if
// they are more than an answer holds the report must not be answered.
func TestHaltsBeforeAll(t *testing.T) {
	m := New("i-1", 100, 0)
	m.Report(&wire.Report{Machine: "i-1", Address: "w", Session: 1, Seq: 1, Token: 100}, time.Second, true)
	place := func(job string, n int, state string) (runs []*Run) {
		for i := range n {
			r := m.Place(Task{job, i}, 1, false, time.Second)
			r.State = state
			runs = append(runs, r)
		}
		return runs
	}
	for _, r := range place("wk-1", maxOrders, wire.Ended) {
		r.Reap = true
	}
	place("wk-2", 3, "")
	for _, r := range place("wk-3", 10, wire.Running) {
		m.Stop(r, 0)
	}
	count := func(launch bool) (halts, launches, all int) {
		for _, o := range m.Orders(false, launch, 2*time.Second) {
			all++
			switch o.Verb {
			case wire.Halt:
				halts++
			case wire.Launch:
				launches++
			}
		}
		return
	}
	if h, l, all := count(false); h != 10 || l != 0 || all != maxOrders {
		t.Errorf("%d halts, %d launches of %d orders, want 10, none and %d", h, l, all, maxOrders)
	}
	if m.Crowded(2 * time.Second) {
		t.Error("ten halts are said not to fit")
	}
	for _, r := range place("wk-4", maxOrders, wire.Running) {
		m.Stop(r, 0)
	}
	if !m.Crowded(2 * time.Second) {
		t.Errorf("%d halts are said to fit into an answer", maxOrders+10)
	}
}

// A copy of orders that were carried out may come at any later time. After a reap it
// would start the task again, so the message that brings the reap has a higher token
// than the orders that launched it.
func TestReapOutdatesTheLaunch(t *testing.T) {
	for _, direct := range []bool{true, false} {
		m := New("i-1", 100, 0)
		report := func(seq uint64, state string) {
			r := &wire.Report{Machine: "i-1", Address: "w", Session: 1, Seq: seq, Token: m.Token}
			if state != "" {
				r.Tasks = []wire.TaskReport{{Task: "wk-1/0", Try: 1, State: state, Cause: wire.Halted}}
			}
			m.Report(r, time.Second, true)
		}
		report(1, "")
		run := m.Place(Task{"wk-1", 0}, 1, false, time.Second)
		if o := m.Orders(direct, true, time.Second); len(o) != 1 || o[0].Verb != wire.Launch {
			t.Fatalf("direct %v: %v, want a launch", direct, o)
		}
		launched := m.Token
		report(2, wire.Running)
		report(3, wire.Ended)
		run.Reap = true
		o := m.Orders(false, true, time.Second)
		if len(o) != 1 || o[0].Verb != wire.Reap {
			t.Fatalf("direct %v: %v, want a reap", direct, o)
		}
		// What comes in an answer is taken within seconds or dropped: no copy follows.
		if raised := m.Token > launched; raised != direct {
			t.Errorf("direct %v: launched under %d, reaped under %d", direct, launched, m.Token)
		}
	}
}
