package worker

import (
	"fmt"
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// What reports prove of a machine's hearing. Each line: what comes, in turn, and
// whether it hears, is deaf, and is asked by empty orders after that. Reports are
// answered unless it says so.
func TestHearing(t *testing.T) {
	const sec = time.Second
	for _, c := range []struct {
		name string
		play func(m *Machine)
		want string
	}{
		{"next in turn", func(m *Machine) { comes(m, 2, base) }, "hears"},
		{"skips one", func(m *Machine) { comes(m, 3, base) }, "asked"},
		{"skips one, then in turn", func(m *Machine) { comes(m, 3, base); comes(m, 4, base) }, "hears"},
		{"skips one that was refused", func(m *Machine) {
			m.Report(report(2, base), sec, true)
			m.Refused(report(2, base), false)
			comes(m, 4, base)
		}, "hears"},
		{"orders answered in between", func(m *Machine) {
			m.Report(report(2, base), sec, false)
			comes(m, 3, base)
		}, "hears"},
		{"skips one, one order lost", func(m *Machine) { comes(m, 3, base); lost(m, 1) }, ""},
		{"skips one, two orders lost", func(m *Machine) { comes(m, 3, base); lost(m, 2) }, "deaf"},
		{"deaf, then an answer to orders", func(m *Machine) {
			comes(m, 3, base)
			lost(m, 2)
			m.Report(report(4, base), sec, false)
		}, "hears"},
		{"orders lost in a cut, then it skips one", func(m *Machine) { lost(m, 5); comes(m, 9, base) }, "asked"},
		{"lost orders alone", func(m *Machine) { lost(m, 5) }, "hears"},
		{"a late copy", func(m *Machine) { comes(m, 5, base); comes(m, 6, base); comes(m, 2, base) }, "hears"},
		{"a copy from before our token", func(m *Machine) { comes(m, 2, base); comes(m, 900, base-1) }, "hears"},
		{"a new session", func(m *Machine) {
			r := report(1, base)
			r.Session = 2
			m.Report(r, sec, true)
		}, "asked"},
		{"next in turn, but without the launch", func(m *Machine) {
			m.Place(Task{"wk-1", 0}, 1, false, 0)
			m.Orders(false, true, 0)
			comes(m, 2, base)
		}, "asked"},
		{"skips one, but shows a launch", func(m *Machine) {
			m.Place(Task{"wk-1", 0}, 1, false, 0)
			m.Orders(false, true, 0)
			comes(m, 3, base, wire.TaskReport{Task: "wk-1/0", Try: 1, State: wire.Pulling})
		}, "hears"},
		{"its lease is over", func(m *Machine) { m.Expire(time.Hour) }, ""},
	} {
		m := known()
		m.Answered(0)
		c.play(m)
		got := ""
		switch {
		case m.Hears():
			got = "hears"
		case m.Deaf():
			got = "deaf"
		case m.Pressing(true, time.Hour):
			got = "asked"
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func comes(m *Machine, seq, token uint64, tasks ...wire.TaskReport) {
	r := report(seq, token, tasks...)
	if _, ok := m.Report(r, time.Second, true); !ok {
		m.Refused(r, true)
		return
	}
	m.Answered(time.Second)
}

func lost(m *Machine, n int) {
	for range n {
		m.OrdersSent()
		m.OrdersLost(m.Token)
	}
}

// A machine that is back under its name may yet be sent orders of its old life: a task
// counts as there until it shows a token that is higher than all that were given.
func TestRebornIsEmptyOnlyUnderANewToken(t *testing.T) {
	m := known()
	run := m.Place(Task{"wk-1", 0}, 1, false, 0)
	m.Orders(true, true, 0) // on its way
	m.Reborn(40 * time.Second)
	if m.LeaseOver(50*time.Second, 14*time.Second, 0) {
		t.Error("gone by the lease of its old life, whose orders the new one may carry out")
	}
	ev, ok := m.Report(report(1, 0), time.Second, true)
	if !ok || vanished(ev) > 0 || m.Runs[run.RunKey] == nil || m.Resolved {
		t.Error("gone by a report that its old life's orders may follow")
	}
	if _, ok := m.Report(report(800, base), time.Second, true); !ok {
		t.Error("a copy from its old life cannot be told yet")
	}
	ev, ok = m.Report(report(2, m.Base), time.Second, false)
	if !ok || vanished(ev) != 1 || !m.Resolved || !m.Hears() {
		t.Errorf("not gone by a report under the new token: %v %v", ok, fmt.Sprint(ev))
	}
}
