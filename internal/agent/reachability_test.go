package agent

import (
	"fmt"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// What reports prove of a machine's hearing. Each line: what comes, in turn, and
// whether it hears, is deaf, and is asked by empty orders after that. Reports are
// answered unless it says so.
func TestReachability(t *testing.T) {
	const sec = time.Second
	for _, c := range []struct {
		name string
		play func(m *Machine)
		want string
	}{
		{"next in turn", func(m *Machine) { receiveReport(m, 2, baseToken) }, "hears"},
		{"skips one", func(m *Machine) { receiveReport(m, 3, baseToken) }, "asked"},
		{"skips one, then in turn", func(m *Machine) { receiveReport(m, 3, baseToken); receiveReport(m, 4, baseToken) }, "hears"},
		{"skips one that was refused", func(m *Machine) {
			m.ApplyReport(newReport(2, baseToken), sec, true)
			m.ReportRejected(newReport(2, baseToken), false)
			receiveReport(m, 4, baseToken)
		}, "hears"},
		{"orders answered in between", func(m *Machine) {
			m.ApplyReport(newReport(2, baseToken), sec, false)
			receiveReport(m, 3, baseToken)
		}, "hears"},
		{"skips one, one order lost", func(m *Machine) { receiveReport(m, 3, baseToken); loseCommands(m, 1) }, ""},
		{"skips one, two orders lost", func(m *Machine) { receiveReport(m, 3, baseToken); loseCommands(m, 2) }, "deaf"},
		{"deaf, then an answer to orders", func(m *Machine) {
			receiveReport(m, 3, baseToken)
			loseCommands(m, 2)
			m.ApplyReport(newReport(4, baseToken), sec, false)
		}, "hears"},
		{"orders lost in a cut, then it skips one", func(m *Machine) { loseCommands(m, 5); receiveReport(m, 9, baseToken) }, "asked"},
		{"lost orders alone", func(m *Machine) { loseCommands(m, 5) }, "hears"},
		{"a late copy", func(m *Machine) {
			receiveReport(m, 5, baseToken)
			receiveReport(m, 6, baseToken)
			receiveReport(m, 2, baseToken)
		}, "hears"},
		{"a copy from before our token", func(m *Machine) { receiveReport(m, 2, baseToken); receiveReport(m, 900, baseToken-1) }, "hears"},
		{"a new session", func(m *Machine) {
			r := newReport(1, baseToken)
			r.Incarnation = 2
			m.ApplyReport(r, sec, true)
		}, "asked"},
		{"next in turn, but without the launch", func(m *Machine) {
			m.Place(TaskID{"wk-1", 0}, 1, false, 0)
			m.NextCommands(false, true, 0)
			receiveReport(m, 2, baseToken)
		}, "asked"},
		{"skips one, but shows a launch", func(m *Machine) {
			m.Place(TaskID{"wk-1", 0}, 1, false, 0)
			m.NextCommands(false, true, 0)
			receiveReport(m, 3, baseToken, protocol.TaskReport{Task: "wk-1/0", Attempt: 1, State: protocol.TaskPullingImage})
		}, "hears"},
		{"its lease is over", func(m *Machine) { m.ExpireLease(time.Hour) }, ""},
	} {
		m := reconciledMachine()
		m.ReportAnswered(0)
		c.play(m)
		got := ""
		switch {
		case m.IsReachable():
			got = "hears"
		case m.IsUnreachable():
			got = "deaf"
		case m.NeedsDirectCommands(true, time.Hour):
			got = "asked"
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func receiveReport(m *Machine, seq, token uint64, tasks ...protocol.TaskReport) {
	r := newReport(seq, token, tasks...)
	if _, ok := m.ApplyReport(r, time.Second, true); !ok {
		m.ReportRejected(r, true)
		return
	}
	m.ReportAnswered(time.Second)
}

func loseCommands(m *Machine, n int) {
	for range n {
		m.CommandsSent()
		m.CommandsLost(m.FencingToken)
	}
}

// A machine that is back under its name may yet be sent orders of its old life: a task
// counts as there until it shows a token that is higher than all that were given.
func TestRestartedMachineIsEmptyOnlyUnderNewToken(t *testing.T) {
	m := reconciledMachine()
	run := m.Place(TaskID{"wk-1", 0}, 1, false, 0)
	m.NextCommands(true, true, 0) // on its way
	m.ResetIncarnation(40 * time.Second)
	if m.LeaseExpired(50*time.Second, 14*time.Second, 0) {
		t.Error("gone by the lease of its old life, whose orders the new one may carry out")
	}
	ev, ok := m.ApplyReport(newReport(1, 0), time.Second, true)
	if !ok || countLost(ev) > 0 || m.Attempts[run.AttemptID] == nil || m.Reconciled {
		t.Error("gone by a report that its old life's orders may follow")
	}
	if _, ok := m.ApplyReport(newReport(800, baseToken), time.Second, true); !ok {
		t.Error("a copy from its old life cannot be told yet")
	}
	ev, ok = m.ApplyReport(newReport(2, m.BaseToken), time.Second, false)
	if !ok || countLost(ev) != 1 || !m.Reconciled || !m.IsReachable() {
		t.Errorf("not gone by a report under the new token: %v %v", ok, fmt.Sprint(ev))
	}
}
