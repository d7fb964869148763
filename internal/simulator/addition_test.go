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
		if h := who(); h.running {
			h.Crash()
			c.after(time.Duration(after*float64(time.Second)), h.Start)
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
func (c *Cluster) ownerOf(w *Machine) *ControllerProcess {
	return c.Controllers[c.controllerNames[w.controllerIndex%len(c.controllerNames)]]
}

// scenario is a short day on which troubles meet, to be read.
type scenario struct {
	name   string
	script func(s *Cluster, w []*Machine) (done []string) // which jobs are to be done, beside the workday's
	check  func(t *testing.T, s *Cluster, w []*Machine)
}

// runScenarios plays such days; all troubles are over at calm. All is done or cancelled in
// the end, no rule breaks, nothing is forgotten or left waiting.
func runScenarios(t *testing.T, prefix string, seed uint64, until, calm float64, before func(s *Cluster), days []scenario) {
	for i, c := range days {
		t.Run(c.name, func(t *testing.T) {
			ids := []string{"wk-1", "wk-2"}
			var w []*Machine
			s := playTraced(t, prefix+c.name, seed+uint64(i), until, func(s *Cluster) {
				s.histories.FaultsOver = time.Duration(calm * float64(time.Second))
				s.monitorWaitingJobs()
				if before != nil {
					before(s)
				}
				w = submitStandardLoad(s)
				ids = append(ids, c.script(s, w)...)
			})
			expectStatus(t, s, protocol.JobDone, ids...)
			expectStatus(t, s, protocol.JobCancelled, "wk-3")
			for _, wrong := range s.ServiceLevelViolations() {
				t.Error(wrong)
			}
			if c.check != nil {
				c.check(t, s, w)
			}
		})
	}
}

func TestPartitionsCopiesAndRestarts(t *testing.T) {
	runScenarios(t, "addition-", 200, 330, 52, (*Cluster).useLongLeases, []scenario{
		{"deaf-for-ever", func(s *Cluster, w []*Machine) []string {
			s.At(10, func() { s.SetInboundPartition(w[0].Address(), true) })
			s.At(110, func() { s.Trace("at 110 the deaf one is gone: %v", w[0].deleted) })
			return submitBurst(s, 14, 8, 6, 4)
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			if !strings.Contains(s.TraceText(), "at 110 the deaf one is gone: true") {
				t.Error("the deaf machine was not returned")
			}
		}},
		{"deaf-from-its-first-report", func(s *Cluster, w []*Machine) []string {
			s.At(9, func() { s.SetInboundPartition(s.address("w-i-007"), true); s.AddMachine("small", "a", false) })
			return submitBurst(s, 12, 4, 6, 4)
		}, nil},
		{"deaf-for-a-moment", func(s *Cluster, w []*Machine) []string {
			s.partitionInboundFor(12, 17, w[0])
			return submitBurst(s, 14, 4, 6, 4)
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			if strings.Contains(s.TraceText(), "lease over, kills") {
				t.Error("a machine lost its lease")
			}
		}},
		{"deaf-for-nearly-a-lease", func(s *Cluster, w []*Machine) []string {
			s.partitionInboundFor(12, 23, w[0])
			return submitBurst(s, 14, 4, 6, 4)
		}, nil},
		{"deaf-and-its-owner-lost", func(s *Cluster, w []*Machine) []string {
			s.At(12, func() {
				x := s.machinesWith("wk-1")[0]
				s.SetInboundPartition(x.Address(), true)
				s.ownerOf(x).Crash()
			})
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 60, 1, 12, nil)) // some of it waits, and may be there
			return append(submitBurst(s, 14, 3, 4, 4), "wk-4")
		}, nil},
		// Before: wk-4 waited for 190 s. No answer under the new owner's token ever came,
		// leases that reports seemed to renew did not end, and the part went from owner
		// to owner, as its machines seemed to reach each of the others.
		{"several-deaf-for-ever-and-their-owner-lost", func(s *Cluster, w []*Machine) []string {
			s.At(12, func() {
				h := s.ownerOf(s.machinesWith("wk-1")[0])
				for _, x := range w {
					if s.ownerOf(x) == h {
						s.SetInboundPartition(x.Address(), true)
					}
				}
				h.Crash()
			})
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 60, 1, 12, nil))
			s.At(150, func() { s.Trace("at 150 wk-4 is %s", s.ReportedStatus("wk-4")) })
			return append(submitBurst(s, 14, 3, 4, 4), "wk-4")
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			if !strings.Contains(s.TraceText(), "at 150 wk-4 is done") {
				t.Error("wk-4 waited for deaf machines")
			}
		}},
		{"deaf-with-a-cancelled-job", func(s *Cluster, w []*Machine) []string {
			s.At(12, func() {
				for _, x := range s.machinesWith("wk-3") {
					s.SetInboundPartition(x.Address(), true)
				}
			})
			return submitBurst(s, 14, 2, 4, 4)
		}, nil},
		{"deaf-with-half-a-gang", func(s *Cluster, w []*Machine) []string {
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeGang, 4, 2, 8, nil))
			s.At(8.05, func() { s.SetInboundPartition(w[1].Address(), true) })
			return append(submitBurst(s, 14, 2, 4, 4), "wk-4")
		}, nil},
		{"a-third-is-deaf", func(s *Cluster, w []*Machine) []string {
			for _, x := range w[:2] {
				s.partitionInboundFor(12, 40, x)
			}
			return submitBurst(s, 14, 6, 6, 4)
		}, nil},
		{"copies-across-a-takeover", func(s *Cluster, w []*Machine) []string {
			s.duplicateReportsFor(6, 30, 3, 9, 20)
			s.At(12, func() { s.nonLeaderOwner().Crash() })
			return submitBurst(s, 14, 3, 4, 4)
		}, nil},
		{"copies-across-a-restart", func(s *Cluster, w []*Machine) []string {
			s.duplicateReportsFor(6, 30, 4, 7, 16)
			s.crashFor(12, 14.5, s.controllerNames...)
			return submitBurst(s, 14, 3, 4, 4)
		}, nil},
		{"copies-of-a-deleted-machine", func(s *Cluster, w []*Machine) []string {
			s.duplicateReportsFor(6, 40, 50, 53, 56)
			s.At(13, func() { w[2].Die(); w[3].Die() })
			s.crashFor(45, 47.5, s.controllerNames...) // nobody remembers what was deleted
			s.At(70, func() { s.Trace("%d machines are known", s.leaderProcess().Controller.DebugState().Machines) })
			return submitBurst(s, 14, 3, 4, 4)
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			if !strings.Contains(s.TraceText(), " 70.00 4 machines are known") {
				t.Error("ghosts are known as machines")
			}
		}},
		{"machine-back-at-once-and-copies", func(s *Cluster, w []*Machine) []string {
			s.duplicateReportsFor(6, 30, 1, 5, 12)
			s.At(12, func() { w[0].Reboot(300 * time.Millisecond) })
			s.At(13, func() { w[1].Reboot(60 * time.Millisecond) })
			s.At(60, func() { s.Trace("machines that came back are there: %v", !w[0].deleted && !w[1].deleted) })
			return submitBurst(s, 14, 3, 6, 4)
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			if !strings.Contains(s.TraceText(), "are there: true") {
				t.Error("a machine that came back was given up")
			}
		}},
		{"isolated-leader-and-a-frozen-one", func(s *Cluster, w []*Machine) []string {
			s.At(12, func() {
				s.At(40, s.IsolateController(s.leaderProcess().name))
				s.nonLeaderOwner().Pause(9*time.Second, true)
			})
			return submitBurst(s, 14, 3, 4, 4)
		}, nil},
		{"isolated-owner-and-a-cancellation", func(s *Cluster, w []*Machine) []string {
			s.At(12, func() { s.At(50, s.IsolateController(s.ownerOf(s.machinesWith("wk-3")[0]).name)) })
			s.At(30, func() {
				for _, n := range s.controllerNames {
					s.Trace("%s is up for users: %v", n, s.Controllers[n].Controller.IsHealthy())
				}
			})
			return submitBurst(s, 14, 3, 4, 4)
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			if n := strings.Count(s.TraceText(), "is up for users: false"); n != 1 {
				t.Errorf("%d controllers are not up for users, want the isolated one alone", n)
			}
		}},
		{"isolated-again-and-again", func(s *Cluster, w []*Machine) []string {
			for at := 12.0; at < 40; at += 6 {
				s.At(at, func() { s.after(3*time.Second, s.IsolateController("n1")) })
			}
			return submitBurst(s, 14, 3, 4, 4)
		}, nil},
		{"back-at-once-in-an-election", func(s *Cluster, w []*Machine) []string {
			lead := ""
			s.At(12, func() { lead = s.leaderProcess().name; s.Controllers[lead].Crash() })
			for k, n := range s.controllerNames { // those who would take its place end and are back, twice
				s.restartQuickly(17+float64(k)/5, 0.2, func() *ControllerProcess { return s.Controllers[n] })
				s.restartQuickly(17.9+float64(k)/5, 0.6, func() *ControllerProcess { return s.Controllers[n] })
			}
			s.At(18.2, func() { s.State.StartOutage(4 * time.Second) })
			s.At(18.5, func() { s.Controllers[lead].Start() })
			return submitBurst(s, 14, 3, 4, 4)
		}, nil},
		{"all-back-at-once-while-copies-come", func(s *Cluster, w []*Machine) []string {
			s.duplicateReportsFor(6, 30, 2, 8, 17)
			for k, n := range s.controllerNames {
				s.restartQuickly(12, 0.1+0.3*float64(k), func() *ControllerProcess { return s.Controllers[n] })
				s.restartQuickly(15, 0.9-0.3*float64(k), func() *ControllerProcess { return s.Controllers[n] })
			}
			return submitBurst(s, 14, 3, 4, 4)
		}, nil},
		{"the-largest-among-many-small", func(s *Cluster, w []*Machine) []string {
			s.Submit(10, NewSubmission("wk-4", protocol.ShapeGang, 6, 4, 10, func(x *protocol.Submission) { x.Class = stringPointer("gangs") }))
			r := rand.New(rand.NewPCG(5, 5))
			for k := range 150 {
				s.Submit(8+float64(k)*1.7, NewSubmission(fmt.Sprintf("wk-%d", 100+k), protocol.ShapeArray, 1, 4, 6+4*r.Float64(), func(x *protocol.Submission) {
					x.Class, x.Priority = stringPointer("small"), stringPointer("high")
				}))
			}
			return []string{"wk-4"}
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			if n := strings.Count(s.TraceText(), "gang wk-4 runs"); n != 1 {
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
	for i, c := range []struct {
		name string
		body func(w *Machine, r *protocol.Report) any
	}{
		{"nothing", func(*Machine, *protocol.Report) any { return map[string]any{} }},
		{"words for numbers", func(w *Machine, _ *protocol.Report) any { return map[string]any{"kiln": w.id, "shift": 0} }},
		{"another machine", func(_ *Machine, r *protocol.Report) any { r.Machine = "i-999"; return r }},
		{"a token that nobody gave", func(_ *Machine, r *protocol.Report) any { r.FencingToken = 1 << 62; return r }},
		{"a session before", func(_ *Machine, r *protocol.Report) any { r.Incarnation, r.Sequence = 1, 1; return r }},
	} {
		s := NewCluster(uint64(240 + i))
		s.ServeAPI()
		w := addMachines(s, 6, 0)
		s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 12, 1, 20, nil))
		s.Submit(9, NewSubmission("wk-2", protocol.ShapeGang, 2, 2, 8, nil))
		s.Submit(9.5, NewSubmission("wk-3", protocol.ShapeArray, 8, 1, 60, nil))
		s.Cancel(11, "wk-3")
		counter := uint64(0)
		s.At(8, func() {
			counter = s.State.entries["a/c/token"].Revision
			for _, x := range w[:3] {
				s.handlers[x.address] = func(method, path string, body []byte, reply func(int, any)) {
					x.serve(method, path, body, func(status int, answer any) {
						if r, ok := answer.(*protocol.Report); ok && status == 200 {
							answer = c.body(x, r)
						}
						reply(status, answer)
					})
				}
			}
		})
		s.At(30, func() {
			if now := s.State.entries["a/c/token"].Revision; now != counter {
				t.Errorf("%s: a token was drawn", c.name)
			}
			for _, x := range w[:3] {
				s.handlers[x.address] = x.serve
			}
		})
		s.Start()
		s.Run(150)
		for _, b := range s.Violations {
			t.Errorf("%s: rule broken: %s", c.name, b)
		}
		expectStatus(t, s, protocol.JobDone, "wk-1", "wk-2")
		expectStatus(t, s, protocol.JobCancelled, "wk-3")
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
		h := &JobHistories{FaultsOver: calm}
		for id, j := range jobs {
			begins, answered, done := 30*time.Second, end-10*time.Second, true
			edit(id, &begins, &answered, &done)
			h.recordSubmission(id, 10*time.Second)
			h.job(id).maxConcurrent = j.Tasks
			h.recordAnswer(id, 11*time.Second)
			for at := calm; at <= answered; at += 20 * time.Second {
				h.recordAnswer(id, at)
			}
			for k := range j.Tasks {
				h.recordStart(agent.TaskID{Job: id, Index: k}, begins)
				if done {
					h.recordCompletion(agent.TaskID{Job: id, Index: k})
				}
			}
		}
		return h
	}
	for name, c := range map[string]struct {
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
		got := strings.Join(made(c.edit).Violations(jobs, end), "; ")
		if c.want == "" && got != "" || !strings.HasPrefix(got, c.want) || strings.Contains(got, ";") {
			t.Errorf("%s: judged %q, want %q alone", name, got, c.want)
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
	s := NewCluster(230)
	s.ServeAPI()
	addMachines(s, 2, 0)
	s.histories.FaultsOver = 10 * time.Second
	s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 4, 1, 3, nil))
	s.Submit(5, NewSubmission("wk-2", protocol.ShapeArray, 40, 1, 30, nil))
	s.At(10, func() {
		s.State.revision++
		v, _ := cbor.Marshal("torn")
		e := protocol.Entry{Key: "a/j/wk-2", Value: v, Revision: s.State.revision}
		s.State.entries[e.Key] = e
		s.State.changeLog = append(s.State.changeLog, protocol.Change{Put: e.Key, Value: v, Revision: e.Revision})
	})
	s.crashFor(12, 14, s.controllerNames...) // nobody remembers what it was
	s.Cancel(200, "wk-2")
	s.Start()
	s.Run(195)
	if wrong := s.ServiceLevelViolations(); strings.Contains(fmt.Sprint(wrong), "forgotten") {
		t.Error(wrong)
	}
	s.Run(260)
	expectStatus(t, s, protocol.JobDone, "wk-1")
	expectStatus(t, s, protocol.JobCancelled, "wk-2")
	if len(s.Violations) > 0 {
		t.Error(s.Violations)
	}
}

// Reports that are not of the protocol's form get 400; those that prove nothing get
// 503 or 421 and are not acted on: no token is drawn, no machine recorded, none that
// works taken for another. A number that jumps ahead is in order.
func TestInvalidReportsAreRejected(t *testing.T) {
	s := NewCluster(231)
	s.ServeAPI()
	w := addMachines(s, 4, 0)
	s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 8, 1, 20, nil))
	good := func(edit func(r *protocol.Report)) *protocol.Report {
		r := &protocol.Report{Machine: w[0].id, Address: w[0].address, Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, Tasks: []protocol.TaskReport{}}
		edit(r)
		return r
	}
	nan := math.NaN()
	counter := uint64(0)
	s.At(9.9, func() { counter = s.State.entries["a/c/token"].Revision })
	for i, c := range []struct {
		name string
		body any
		want string
	}{
		{"nothing", map[string]any{}, "400"},
		{"not a map", []int{1, 2}, "400"},
		{"words for numbers", map[string]any{"kiln": w[0].id, "shift": "one"}, "400"},
		{"no machine", good(func(r *protocol.Report) { r.Machine = "" }), "400"},
		{"no address", good(func(r *protocol.Report) { r.Address = "" }), "400"},
		{"no session", good(func(r *protocol.Report) { r.Incarnation = 0 }), "400"},
		{"a notice that is no time", good(func(r *protocol.Report) { r.PreemptionNotice = &nan }), "400"},
		{"older than what is known", good(func(r *protocol.Report) {}), "503 421"},
		{"a token that nobody gave", good(func(r *protocol.Report) { r.Sequence, r.FencingToken = 1000, 1<<62 }), "503 421"},
		{"a machine that is not there", good(func(r *protocol.Report) { r.Machine, r.Address = "i-999", "w-i-999" }), "503 421"},
	} {
		for _, n := range s.controllerNames {
			s.At(10+float64(i)/10, func() {
				s.request("test", s.apiAddress(n), "POST", "/v1/report", c.body, nil, 5*time.Second, func(status int) {
					if !strings.Contains(c.want, fmt.Sprint(status)) || status == 0 {
						t.Errorf("%s gets %d of %s, want %s", c.name, status, n, c.want)
					}
				})
			})
		}
	}
	s.At(14, func() {
		if now := s.State.entries["a/c/token"].Revision; now != counter {
			t.Error("a token was drawn for a report that proves nothing")
		}
		w[1].sequence += 1000
	})
	s.At(25, func() {
		for _, n := range s.runningControllers() {
			d := s.Controllers[n].Controller.DebugState()
			if d.Machines != 4 {
				t.Errorf("%s knows %d machines, 4 are there", n, d.Machines)
			}
			for _, p := range d.Shards {
				if len(p.Unreachable) > 0 || p.Unresponsive > 0 {
					t.Errorf("part %d: deaf %v, silent %d", p.Shard, p.Unreachable, p.Unresponsive)
				}
			}
		}
	})
	s.Start()
	s.Run(60)
	expectStatus(t, s, protocol.JobDone, "wk-1")
	if n := strings.Count(s.TraceText(), "starts wk-1/"); n != 8 || len(s.Violations) > 0 {
		t.Errorf("%d starts of 8 tasks, broken %v", n, s.Violations)
	}
}

// The judge says so when a job waits beside room for it: here as nobody is there who
// could start it.
func TestWaitDespiteCapacityIsReported(t *testing.T) {
	s := NewCluster(3)
	s.ServeAPI()
	addMachines(s, 3, 0)
	s.histories.FaultsOver = 14 * time.Second
	s.monitorWaitingJobs()
	s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 30, 1, 10, nil))
	s.crashFor(12, 130, s.controllerNames...)
	s.Start()
	s.Run(200)
	if got := strings.Join(s.ServiceLevelViolations(), "; "); !strings.Contains(got, "left waiting: wk-1 for 1m") {
		t.Errorf("the judge says %q", got)
	}
	expectStatus(t, s, protocol.JobDone, "wk-1")
}
