package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"

	"github.com/fxamacker/cbor/v2"
)

// Days of the troubles that the users added (docs/design.md, "An addition to the
// rules"): machines that are deaf, late copies of reports, controllers that are
// isolated, and processes and machines that are back at once. All is done or
// cancelled, each job known again within 75 s, the largest begun in time.

// duplicateReportsFor has each report come once more, as late as it says, from one time on.
func (c *Cluster) duplicateReportsFor(from, to float64, late ...float64) {
	c.At(from, func() {
		i := 0
		c.DuplicateReports = func() []time.Duration {
			i++
			return []time.Duration{time.Duration(late[i%len(late)] * float64(time.Second))}
		}
	})
	c.At(to, func() { c.DuplicateReports = nil })
}

// restartQuickly ends a controller that is up and has it back after a fraction of a second.
func (c *Cluster) restartQuickly(at, after float64, who func() *ControllerProcess) {
	c.At(at, func() {
		if process := who(); process.running {
			process.Crash()
			c.after(time.Duration(after*float64(time.Second)), process.Start)
		}
	})
}

// machinesWith lists the machines that hold tasks of a job now.
func (c *Cluster) machinesWith(job string) (out []*Machine) {
	for _, id := range c.MachinesRunning(job) {
		out = append(out, c.Machines[id])
	}
	return out
}

// ownerOf is the controller that owns the part of a machine.
func (c *Cluster) ownerOf(machine *Machine) *ControllerProcess {
	return c.Controllers[c.controllerNames[machine.controllerIndex%len(c.controllerNames)]]
}

// scenario is a short day on which troubles meet, to be read.
type scenario struct {
	name   string
	script func(cluster *Cluster, machines []*Machine) (done []string) // which jobs are to be done, beside the workday's
	check  func(t *testing.T, cluster *Cluster, machines []*Machine)
}

// runScenarios plays such days; all troubles are over at calm. All is done or cancelled in
// the end, no rule breaks, nothing is forgotten or left waiting.
func runScenarios(t *testing.T, prefix string, seed uint64, until, calm float64, before func(cluster *Cluster), days []scenario) {
	for i, c := range days {
		t.Run(c.name, func(t *testing.T) {
			ids := []string{"wk-1", "wk-2"}
			var machines []*Machine
			cluster := playTraced(t, prefix+c.name, seed+uint64(i), until, func(cluster *Cluster) {
				cluster.histories.FaultsOver = time.Duration(calm * float64(time.Second))
				cluster.monitorWaitingJobs()
				if before != nil {
					before(cluster)
				}
				machines = submitStandardLoad(cluster)
				ids = append(ids, c.script(cluster, machines)...)
			})
			expectStatus(t, cluster, protocol.JobDone, ids...)
			expectStatus(t, cluster, protocol.JobCancelled, "wk-3")
			for _, wrong := range cluster.ServiceLevelViolations() {
				t.Error(wrong)
			}
			if c.check != nil {
				c.check(t, cluster, machines)
			}
		})
	}
}

func TestPartitionsCopiesAndRestarts(t *testing.T) {
	runScenarios(t, "addition-", 200, 330, 52, (*Cluster).useLongLeases, []scenario{
		{"deaf-for-ever", func(cluster *Cluster, machines []*Machine) []string {
			cluster.At(10, func() { cluster.SetInboundPartition(machines[0].Address(), true) })
			cluster.At(110, func() { cluster.Trace("at 110 the deaf one is gone: %v", machines[0].deleted) })
			return submitBurst(cluster, 14, 8, 6, 4)
		}, func(t *testing.T, cluster *Cluster, machines []*Machine) {
			if !strings.Contains(cluster.TraceText(), "at 110 the deaf one is gone: true") {
				t.Error("the deaf machine was not returned")
			}
		}},
		{"deaf-from-its-first-report", func(cluster *Cluster, machines []*Machine) []string {
			cluster.At(9, func() {
				cluster.SetInboundPartition(cluster.address("w-i-007"), true)
				cluster.AddMachine("small", "a", false)
			})
			return submitBurst(cluster, 12, 4, 6, 4)
		}, nil},
		{"deaf-for-a-moment", func(cluster *Cluster, machines []*Machine) []string {
			cluster.partitionInboundFor(12, 17, machines[0])
			return submitBurst(cluster, 14, 4, 6, 4)
		}, func(t *testing.T, cluster *Cluster, machines []*Machine) {
			if strings.Contains(cluster.TraceText(), "lease over, kills") {
				t.Error("a machine lost its lease")
			}
		}},
		{"deaf-for-nearly-a-lease", func(cluster *Cluster, machines []*Machine) []string {
			cluster.partitionInboundFor(12, 23, machines[0])
			return submitBurst(cluster, 14, 4, 6, 4)
		}, nil},
		{"deaf-and-its-owner-lost", func(cluster *Cluster, machines []*Machine) []string {
			cluster.At(12, func() {
				machine := cluster.machinesWith("wk-1")[0]
				cluster.SetInboundPartition(machine.Address(), true)
				cluster.ownerOf(machine).Crash()
			})
			cluster.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 60, 1, 12, nil)) // some of it waits, and may be there
			return append(submitBurst(cluster, 14, 3, 4, 4), "wk-4")
		}, nil},
		// Before: wk-4 waited for 190 s. No answer under the new owner's token ever came,
		// leases that reports seemed to renew did not end, and the part went from owner
		// to owner, as its machines seemed to reach each of the others.
		{"several-deaf-for-ever-and-their-owner-lost", func(cluster *Cluster, machines []*Machine) []string {
			cluster.At(12, func() {
				process := cluster.ownerOf(cluster.machinesWith("wk-1")[0])
				for _, machine := range machines {
					if cluster.ownerOf(machine) == process {
						cluster.SetInboundPartition(machine.Address(), true)
					}
				}
				process.Crash()
			})
			cluster.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 60, 1, 12, nil))
			cluster.At(150, func() { cluster.Trace("at 150 wk-4 is %s", cluster.ReportedStatus("wk-4")) })
			return append(submitBurst(cluster, 14, 3, 4, 4), "wk-4")
		}, func(t *testing.T, cluster *Cluster, machines []*Machine) {
			if !strings.Contains(cluster.TraceText(), "at 150 wk-4 is done") {
				t.Error("wk-4 waited for deaf machines")
			}
		}},
		{"deaf-with-a-cancelled-job", func(cluster *Cluster, machines []*Machine) []string {
			cluster.At(12, func() {
				for _, machine := range cluster.machinesWith("wk-3") {
					cluster.SetInboundPartition(machine.Address(), true)
				}
			})
			return submitBurst(cluster, 14, 2, 4, 4)
		}, nil},
		{"deaf-with-half-a-gang", func(cluster *Cluster, machines []*Machine) []string {
			cluster.Submit(8, NewSubmission("wk-4", protocol.ShapeGang, 4, 2, 8, nil))
			cluster.At(8.05, func() { cluster.SetInboundPartition(machines[1].Address(), true) })
			return append(submitBurst(cluster, 14, 2, 4, 4), "wk-4")
		}, nil},
		{"a-third-is-deaf", func(cluster *Cluster, machines []*Machine) []string {
			for _, machine := range machines[:2] {
				cluster.partitionInboundFor(12, 40, machine)
			}
			return submitBurst(cluster, 14, 6, 6, 4)
		}, nil},
		{"copies-across-a-takeover", func(cluster *Cluster, machines []*Machine) []string {
			cluster.duplicateReportsFor(6, 30, 3, 9, 20)
			cluster.At(12, func() { cluster.nonLeaderOwner().Crash() })
			return submitBurst(cluster, 14, 3, 4, 4)
		}, nil},
		{"copies-across-a-restart", func(cluster *Cluster, machines []*Machine) []string {
			cluster.duplicateReportsFor(6, 30, 4, 7, 16)
			cluster.crashFor(12, 14.5, cluster.controllerNames...)
			return submitBurst(cluster, 14, 3, 4, 4)
		}, nil},
		{"copies-of-a-deleted-machine", func(cluster *Cluster, machines []*Machine) []string {
			cluster.duplicateReportsFor(6, 40, 50, 53, 56)
			cluster.At(13, func() { machines[2].Die(); machines[3].Die() })
			cluster.crashFor(45, 47.5, cluster.controllerNames...) // nobody remembers what was deleted
			cluster.At(70, func() {
				cluster.Trace("%d machines are known", cluster.leaderProcess().Controller.DebugState().Machines)
			})
			return submitBurst(cluster, 14, 3, 4, 4)
		}, func(t *testing.T, cluster *Cluster, machines []*Machine) {
			if !strings.Contains(cluster.TraceText(), " 70.00 4 machines are known") {
				t.Error("ghosts are known as machines")
			}
		}},
		{"machine-back-at-once-and-copies", func(cluster *Cluster, machines []*Machine) []string {
			cluster.duplicateReportsFor(6, 30, 1, 5, 12)
			cluster.At(12, func() { machines[0].Reboot(300 * time.Millisecond) })
			cluster.At(13, func() { machines[1].Reboot(60 * time.Millisecond) })
			cluster.At(60, func() {
				cluster.Trace("machines that came back are there: %v", !machines[0].deleted && !machines[1].deleted)
			})
			return submitBurst(cluster, 14, 3, 6, 4)
		}, func(t *testing.T, cluster *Cluster, machines []*Machine) {
			if !strings.Contains(cluster.TraceText(), "are there: true") {
				t.Error("a machine that came back was given up")
			}
		}},
		{"isolated-leader-and-a-frozen-one", func(cluster *Cluster, machines []*Machine) []string {
			cluster.At(12, func() {
				cluster.At(40, cluster.IsolateController(cluster.leaderProcess().name))
				cluster.nonLeaderOwner().Pause(9*time.Second, true)
			})
			return submitBurst(cluster, 14, 3, 4, 4)
		}, nil},
		{"isolated-owner-and-a-cancellation", func(cluster *Cluster, machines []*Machine) []string {
			cluster.At(12, func() {
				cluster.At(50, cluster.IsolateController(cluster.ownerOf(cluster.machinesWith("wk-3")[0]).name))
			})
			cluster.At(30, func() {
				for _, name := range cluster.controllerNames {
					cluster.Trace("%s is up for users: %v", name, cluster.Controllers[name].Controller.IsHealthy())
				}
			})
			return submitBurst(cluster, 14, 3, 4, 4)
		}, func(t *testing.T, cluster *Cluster, machines []*Machine) {
			if n := strings.Count(cluster.TraceText(), "is up for users: false"); n != 1 {
				t.Errorf("%d controllers are not up for users, want the isolated one alone", n)
			}
		}},
		{"isolated-again-and-again", func(cluster *Cluster, machines []*Machine) []string {
			for at := 12.0; at < 40; at += 6 {
				cluster.At(at, func() { cluster.after(3*time.Second, cluster.IsolateController("n1")) })
			}
			return submitBurst(cluster, 14, 3, 4, 4)
		}, nil},
		{"back-at-once-in-an-election", func(cluster *Cluster, machines []*Machine) []string {
			lead := ""
			cluster.At(12, func() { lead = cluster.leaderProcess().name; cluster.Controllers[lead].Crash() })
			for k, name := range cluster.controllerNames { // those who would take its place end and are back, twice
				cluster.restartQuickly(17+float64(k)/5, 0.2, func() *ControllerProcess { return cluster.Controllers[name] })
				cluster.restartQuickly(17.9+float64(k)/5, 0.6, func() *ControllerProcess { return cluster.Controllers[name] })
			}
			cluster.At(18.2, func() { cluster.State.StartOutage(4 * time.Second) })
			cluster.At(18.5, func() { cluster.Controllers[lead].Start() })
			return submitBurst(cluster, 14, 3, 4, 4)
		}, nil},
		{"all-back-at-once-while-copies-come", func(cluster *Cluster, machines []*Machine) []string {
			cluster.duplicateReportsFor(6, 30, 2, 8, 17)
			for k, name := range cluster.controllerNames {
				cluster.restartQuickly(12, 0.1+0.3*float64(k), func() *ControllerProcess { return cluster.Controllers[name] })
				cluster.restartQuickly(15, 0.9-0.3*float64(k), func() *ControllerProcess { return cluster.Controllers[name] })
			}
			return submitBurst(cluster, 14, 3, 4, 4)
		}, nil},
		{"the-largest-among-many-small", func(cluster *Cluster, machines []*Machine) []string {
			cluster.Submit(10, NewSubmission("wk-4", protocol.ShapeGang, 6, 4, 10, func(submission *protocol.Submission) { submission.Class = stringPointer("gangs") }))
			random := rand.New(rand.NewPCG(5, 5))
			for k := range 150 {
				cluster.Submit(8+float64(k)*1.7, NewSubmission(fmt.Sprintf("wk-%d", 100+k), protocol.ShapeArray, 1, 4, 6+4*random.Float64(), func(submission *protocol.Submission) {
					submission.Class, submission.Priority = stringPointer("small"), stringPointer("high")
				}))
			}
			return []string{"wk-4"}
		}, func(t *testing.T, cluster *Cluster, machines []*Machine) {
			if n := strings.Count(cluster.TraceText(), "gang wk-4 runs"); n != 1 {
				t.Errorf("the gang began %d times", n)
			}
		}},
	})
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
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 12, 1, 20, nil))
		cluster.Submit(9, NewSubmission("wk-2", protocol.ShapeGang, 2, 2, 8, nil))
		cluster.Submit(9.5, NewSubmission("wk-3", protocol.ShapeArray, 8, 1, 60, nil))
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
		for _, violation := range cluster.Violations {
			t.Errorf("%s: rule broken: %s", test.name, violation)
		}
		expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2")
		expectStatus(t, cluster, protocol.JobCancelled, "wk-3")
	}
}

// The judge of the addition refuses a history that breaks exactly one of its rules.
func TestServiceLevelRulesFindEachViolation(t *testing.T) {
	const calm, end = 100 * time.Second, 600 * time.Second
	jobs := map[string]*protocol.Job{}
	for _, j := range []protocol.Job{{ID: "a", Class: "x", Team: "red", Tasks: 1}, {ID: "b", Class: "x", Team: "red", Tasks: 1}, {ID: "c", Class: "x", Team: "red", Tasks: 4},
		{ID: "d", Class: "y", Team: "red", Tasks: 2}, {ID: "e", Class: "y", Team: "blue", Tasks: 2}, {ID: "f", Class: "y", Team: "red", Tasks: 2}} {
		jobs[j.ID] = &j
	}
	// made is a day on which all is well, but for what edit changes of a job.
	made := func(edit func(id string, begins, answered *time.Duration, done *bool)) *JobHistories {
		histories := &JobHistories{FaultsOver: calm}
		for id, job := range jobs {
			begins, answered, done := 30*time.Second, end-10*time.Second, true
			edit(id, &begins, &answered, &done)
			histories.recordSubmission(id, 10*time.Second)
			histories.job(id).maxConcurrent = job.Tasks
			histories.recordAnswer(id, 11*time.Second)
			for at := calm; at <= answered; at += 20 * time.Second {
				histories.recordAnswer(id, at)
			}
			for k := range job.Tasks {
				histories.recordStart(agent.TaskID{Job: id, Index: k}, begins)
				if done {
					histories.recordCompletion(agent.TaskID{Job: id, Index: k})
				}
			}
		}
		return histories
	}
	for name, test := range map[string]struct {
		edit func(id string, begins, answered *time.Duration, done *bool)
		want string
	}{
		"all well": {func(string, *time.Duration, *time.Duration, *bool) {}, ""},
		"one unanswered for 80 s": {func(id string, _, answered *time.Duration, _ *bool) {
			if id == "a" {
				*answered = end - 80*time.Second
			}
		}, "forgotten: a"},
		"unanswered in the troubles only": {func(id string, _, answered *time.Duration, _ *bool) {}, ""},
		"a small one begins late":         {func(id string, b, _ *time.Duration, _ *bool) { delayStart(id == "a", b) }, ""},
		"a largest begins late":           {func(id string, b, _ *time.Duration, _ *bool) { delayStart(id == "c", b) }, "begins late: c"},
		"the only job of a team":          {func(id string, _, _ *time.Duration, d *bool) { *d = id != "e" }, "not served: team blue, 0 of 1"},
		"the largest of a class":          {func(id string, _, _ *time.Duration, d *bool) { *d = id != "c" }, "not served: largest of class x, 0 of 1"},
		"two thirds of a class": {func(id string, _, _ *time.Duration, d *bool) { *d = id != "a" && id != "b" },
			"not served: class x, 1 of 3"},
	} {
		got := strings.Join(made(test.edit).Violations(jobs, end), "; ")
		if test.want == "" && got != "" || !strings.HasPrefix(got, test.want) || strings.Contains(got, ";") {
			t.Errorf("%s: judged %q, want %q alone", name, got, test.want)
		}
	}
}

func delayStart(is bool, begins *time.Duration) {
	if is {
		*begins = 251 * time.Second
	}
}

// A job whose record cannot be read stays known and can be cancelled: nothing that
// only one job needs may leave its users without an answer.
func TestJobWithUnreadableRecordCanBeCancelled(t *testing.T) {
	cluster := NewCluster(230)
	cluster.ServeAPI()
	addMachines(cluster, 2, 0)
	cluster.histories.FaultsOver = 10 * time.Second
	cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 4, 1, 3, nil))
	cluster.Submit(5, NewSubmission("wk-2", protocol.ShapeArray, 40, 1, 30, nil))
	cluster.At(10, func() {
		cluster.State.revision++
		v, _ := cbor.Marshal("torn")
		entry := protocol.Entry{Key: "a/j/wk-2", Value: v, Revision: cluster.State.revision}
		cluster.State.entries[entry.Key] = entry
		cluster.State.changeLog = append(cluster.State.changeLog, protocol.Change{Put: entry.Key, Value: v, Revision: entry.Revision})
	})
	cluster.crashFor(12, 14, cluster.controllerNames...) // nobody remembers what it was
	cluster.Cancel(200, "wk-2")
	cluster.Start()
	cluster.Run(195)
	if wrong := cluster.ServiceLevelViolations(); strings.Contains(fmt.Sprint(wrong), "forgotten") {
		t.Error(wrong)
	}
	cluster.Run(260)
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
	expectStatus(t, cluster, protocol.JobCancelled, "wk-2")
	if len(cluster.Violations) > 0 {
		t.Error(cluster.Violations)
	}
}

// Reports that are not of the protocol's form get 400; those that prove nothing get
// 503 or 421 and are not acted on: no token is drawn, no machine recorded, none that
// works taken for another. A number that jumps ahead is in order.
func TestInvalidReportsAreRejected(t *testing.T) {
	cluster := NewCluster(231)
	cluster.ServeAPI()
	machines := addMachines(cluster, 4, 0)
	cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 8, 1, 20, nil))
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
		{"older than what is known", good(func(report *protocol.Report) {}), "503 421"},
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

// The judge says so when a job waits beside room for it: here as nobody is there who
// could start it.
func TestWaitDespiteCapacityIsReported(t *testing.T) {
	cluster := NewCluster(3)
	cluster.ServeAPI()
	addMachines(cluster, 3, 0)
	cluster.histories.FaultsOver = 14 * time.Second
	cluster.monitorWaitingJobs()
	cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 30, 1, 10, nil))
	cluster.crashFor(12, 130, cluster.controllerNames...)
	cluster.Start()
	cluster.Run(200)
	if got := strings.Join(cluster.ServiceLevelViolations(), "; "); !strings.Contains(got, "left waiting: wk-1 for 1m") {
		t.Errorf("the judge says %q", got)
	}
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
}
