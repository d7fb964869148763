package simulator

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// Reports that are not of the protocol's form get 400; those that prove nothing get
// 503 or 421 and are not acted on: no token is drawn, no machine recorded, none that
// works taken for another. A number that jumps ahead is in order.
func TestInvalidReportsAreRejected(t *testing.T) {
	cluster := NewCluster(231)
	cluster.ServeAPI()
	machines := addMachines(cluster, 4, 0)
	cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 8, 1, 20))
	good := func(edit func(report *protocol.Report)) *protocol.Report {
		report := &protocol.Report{Machine: machines[0].id, Address: machines[0].address, Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, Tasks: []protocol.TaskReport{}}
		edit(report)
		return report
	}
	nan := math.NaN()
	counter := uint64(0)
	cluster.At(9.9, func() { counter = cluster.State.entries["a/c/token"].Revision })
	for i, test := range []struct {
		name string
		body any
		want string
	}{
		{"nothing", map[string]any{}, "400"},
		{"not a map", []int{1, 2}, "400"},
		{"words for numbers", map[string]any{"kiln": machines[0].id, "shift": "one"}, "400"},
		{"no machine", good(func(report *protocol.Report) { report.Machine = "" }), "400"},
		{"no address", good(func(report *protocol.Report) { report.Address = "" }), "400"},
		{"no session", good(func(report *protocol.Report) { report.Incarnation = 0 }), "400"},
		{"a notice that is no time", good(func(report *protocol.Report) { report.PreemptionNotice = &nan }), "400"},
		{"older than what is known", good(func(_ *protocol.Report) {}), "503 421"},
		{"a token that nobody gave", good(func(report *protocol.Report) { report.Sequence, report.FencingToken = 1000, 1<<62 }), "503 421"},
		{"a machine that is not there", good(func(report *protocol.Report) { report.Machine, report.Address = "i-999", "w-i-999" }), "503 421"},
	} {
		for _, name := range cluster.controllerNames {
			cluster.At(10+float64(i)/10, func() {
				cluster.request("test", cluster.apiAddress(name), "POST", "/v1/report", test.body, nil, 5*time.Second, func(status int) {
					if !strings.Contains(test.want, fmt.Sprint(status)) || status == 0 {
						t.Errorf("%s gets %d of %s, want %s", test.name, status, name, test.want)
					}
				})
			})
		}
	}
	cluster.At(14, func() {
		if now := cluster.State.entries["a/c/token"].Revision; now != counter {
			t.Error("a token was drawn for a report that proves nothing")
		}
		machines[1].sequence += 1000
	})
	cluster.At(25, func() {
		for _, name := range cluster.runningControllers() {
			d := cluster.Controllers[name].Controller.DebugState()
			if d.Machines != 4 {
				t.Errorf("%s knows %d machines, 4 are there", name, d.Machines)
			}
			for _, p := range d.Shards {
				if len(p.Unreachable) > 0 || p.Unresponsive > 0 {
					t.Errorf("part %d: deaf %v, silent %d", p.Shard, p.Unreachable, p.Unresponsive)
				}
			}
		}
	})
	cluster.Start()
	cluster.Run(60)
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
	if n := strings.Count(cluster.TraceText(), "starts wk-1/"); n != 8 || len(cluster.Violations) > 0 {
		t.Errorf("%d starts of 8 tasks, broken %v", n, cluster.Violations)
	}
}

// Machines answer orders and questions with what is no report, is of another machine,
// shows a token that nobody gave, or is of a session before. None ends a process or is
// taken for what became of the orders: no rule breaks, no token is drawn for it, and
// all is done once they answer well.
func TestInvalidCommandResponsesAreIgnored(t *testing.T) {
	for i, test := range []struct {
		name string
		body func(machine *Machine, report *protocol.Report) any
	}{
		{"nothing", func(*Machine, *protocol.Report) any { return map[string]any{} }},
		{"words for numbers", func(machine *Machine, _ *protocol.Report) any { return map[string]any{"kiln": machine.id, "shift": 0} }},
		{"another machine", func(_ *Machine, report *protocol.Report) any { report.Machine = "i-999"; return report }},
		{"a token that nobody gave", func(_ *Machine, report *protocol.Report) any { report.FencingToken = 1 << 62; return report }},
		{"a session before", func(_ *Machine, report *protocol.Report) any {
			report.Incarnation, report.Sequence = 1, 1
			return report
		}},
	} {
		cluster := NewCluster(uint64(240 + i))
		cluster.ServeAPI()
		machines := addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 12, 1, 20))
		cluster.Submit(9, NewSubmission("wk-2", protocol.ShapeGang, 2, 2, 8))
		cluster.Submit(9.5, NewSubmission("wk-3", protocol.ShapeArray, 8, 1, 60))
		cluster.Cancel(11, "wk-3")
		counter := uint64(0)
		cluster.At(8, func() {
			counter = cluster.State.entries["a/c/token"].Revision
			for _, machine := range machines[:3] {
				cluster.handlers[machine.address] = func(method, path string, body []byte, reply func(int, any)) {
					machine.serve(method, path, body, func(status int, answer any) {
						if report, ok := answer.(*protocol.Report); ok && status == 200 {
							answer = test.body(machine, report)
						}
						reply(status, answer)
					})
				}
			}
		})
		cluster.At(30, func() {
			if now := cluster.State.entries["a/c/token"].Revision; now != counter {
				t.Errorf("%s: a token was drawn", test.name)
			}
			for _, machine := range machines[:3] {
				cluster.handlers[machine.address] = machine.serve
			}
		})
		cluster.Start()
		cluster.Run(150)
		expectNoViolations(t, cluster, "%s", test.name)
		expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2")
		expectStatus(t, cluster, protocol.JobCancelled, "wk-3")
	}
}
