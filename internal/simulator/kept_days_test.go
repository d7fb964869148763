package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// Days on which two failures combine, each short enough to be read.

// Each combination once, short enough to be read. All is done or cancelled in the end, no
// rule breaks, nothing is forgotten.
func TestCombinedFaultScenarios(t *testing.T) {
	runScenarios(t, "combined-", 756, 260, 70, nil, []scenario{
		// Launches and halts reach their machine 5 s late, one of them after the session
		// that they are for; answers of others are lost though they were carried out.
		{"orders-held-up", func(s *Cluster, w []*Machine) []string {
			s.delayRequestsFor(7.9, 9, 1, 5, 5, "/orders")
			s.delayRequestsFor(12, 16, 0.5, 0.001, 0.002, "/orders")
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 6, 1, 10, nil))
			s.Submit(12, NewSubmission("wk-5", protocol.ShapeGang, 2, 2, 6, nil))
			s.cutLinksFor(10, 27, s.machineLinks(w[0]))
			return []string{"wk-4", "wk-5"}
		}, nil},
		// A is refused until B has its part, B ends, A takes it back, all within seconds;
		// then all end and one returns before the others.
		{"there-and-back", func(s *Cluster, w []*Machine) []string {
			a := s.controllerNames[1]
			s.At(9, func() { s.SetRefusal(a, "state", true) })
			s.At(14.6, func() { s.SetRefusal(a, "state", false) })
			s.At(14.8, func() {
				for _, n := range s.controllerNames {
					if n != a {
						s.Controllers[n].Crash()
						s.after(700*time.Millisecond, s.Controllers[n].Start)
					}
				}
			})
			s.Submit(11, NewSubmission("wk-4", protocol.ShapeArray, 6, 1, 10, nil))
			s.crashFor(24, 24.3, "n2")
			s.crashFor(24, 31, "n0", "n1")
			return []string{"wk-4"}
		}, nil},
		// The leader ends while machines with long tasks are out of reach, for longer than
		// a lease of others: what may be there counts until its lease is proven over.
		{"leader-lost-machines-out-of-reach", func(s *Cluster, w []*Machine) []string {
			s.At(12, func() {
				h := s.leaderProcess()
				h.Crash()
				s.after(30*time.Second, h.Start)
			})
			s.At(10, func() {
				for _, n := range s.controllerNames { // only the end of its lease proves what is gone
					s.cutLink(n, "cloud")
				}
			})
			s.cutLinksFor(11.5, 45, s.machineLinks(w[0]))
			s.partitionInboundFor(11.5, 45, w[3])
			return nil
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			// 14 s after the grant that may have answered it last, not before.
			for _, task := range []string{"wk-1/0", "wk-1/1"} {
				if n := strings.Count(s.TraceText(), "starts "+task+"\n"); n < 1 || n > 2 {
					t.Errorf("%s started %d times", task, n)
				}
			}
		}},
		// Users cancel and ask while the state service answers up to 1.8 s late, refuses
		// the leader alone and then everybody.
		{"slow-then-refused", func(s *Cluster, w []*Machine) []string {
			s.At(8, func() {
				s.State.ResponseDelay = func(string) time.Duration { return time.Duration(1.8 * s.random.Float64() * float64(time.Second)) }
			})
			s.At(20, func() { s.State.ResponseDelay = nil })
			s.At(16, func() {
				n := s.leaderProcess().name
				s.SetRefusal(n, "state", true)
				s.after(8*time.Second, func() { s.SetRefusal(n, "state", false) })
			})
			s.At(21, func() { s.State.StartOutage(40 * time.Second) })
			return nil
		}, nil},
		// Half of the transactions get no answer and are carried out 2 to 12 s later: of
		// acceptances, cancellations, ends, progress and owners that change.
		{"late-writes", func(s *Cluster, w []*Machine) []string {
			s.delayRequestsFor(7, 26, 0.5, 2, 12, "/multi")
			s.Submit(9, NewSubmission("wk-4", protocol.ShapeArray, 5, 1, 4, nil))
			s.Submit(11, NewSubmission("wk-5", protocol.ShapeGang, 2, 2, 4, nil))
			s.At(14, func() { s.nonLeaderOwner().Crash() })
			s.At(17, s.Start)
			return []string{"wk-4", "wk-5"}
		}, nil},
		// The leader is cut from the state service and the others; workers and users
		// still reach it. wk-3 and wk-4 are cancelled through the new one; asked, the old
		// one tells nobody that they are pending or run.
		{"leader-isolated", func(s *Cluster, w []*Machine) []string {
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 4, 1, 60, nil))
			old := ""
			s.At(11, func() {
				old = s.leaderProcess().name
				s.after(40*time.Second, s.IsolateController(old))
			})
			s.Cancel(14, "wk-4")
			for at := 16.0; at < 45; at += 3 {
				s.At(at, func() {
					for _, id := range []string{"wk-3", "wk-4"} {
						out := &protocol.JobState{}
						s.request("user", s.apiAddress(old), "GET", "/v2/runs/"+id, nil, out, 2*time.Second, func(status int) {
							if status == 200 && out.Status != protocol.JobCancelled && s.ReportedStatus(id) == protocol.JobCancelled {
								s.reportViolation("went_back: the isolated one says %s is %s", id, out.Status)
							}
						})
					}
				})
			}
			return nil
		}, func(t *testing.T, s *Cluster, w []*Machine) { expectStatus(t, s, protocol.JobCancelled, "wk-4") }},
		// Tasks that end 4, 16 and 28 s after their start, over two changes of leader, an
		// array, a gang and single tasks of a rush.
		{"ends-far-apart", func(s *Cluster, w []*Machine) []string {
			s.RuntimeSpread = map[string]float64{"apart": 3}
			apart := func(x *protocol.Submission) { x.Class = stringPointer("apart") }
			for _, n := range s.controllerNames {
				s.Controllers[n].settings.Dispatch.Anywhere = 0
			}
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 3, 1, 4, apart))
			s.Submit(9, NewSubmission("wk-5", protocol.ShapeArray, 2, 1, 8, apart))
			s.Submit(9, NewSubmission("wk-6", protocol.ShapeGang, 2, 1, 6, nil))
			s.Submit(9, NewSubmission("wk-7", protocol.ShapeArray, 1, 1, 14, nil))
			s.restartQuickly(12, 0.4, s.leaderProcess)
			s.restartQuickly(22, 6, s.leaderProcess)
			return []string{"wk-4", "wk-5", "wk-6", "wk-7"}
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			for _, id := range []string{"wk-4", "wk-5", "wk-7"} {
				if n, all := strings.Count(s.TraceText(), "starts "+id+"/"), s.jobs[id].Tasks; n != all {
					t.Errorf("%d starts of %d tasks of %s: an end was lost", n, all, id)
				}
			}
		}},
		// Each report comes again, seconds to more than a lease later, over a change of
		// owner, a session's end and a gang's second attempt, and the cancellation of a job
		// some of whose tasks are done.
		{"old-reports", func(s *Cluster, w []*Machine) []string {
			s.duplicateReportsFor(6, 45, 2, 7, 16, 25)
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeGang, 2, 2, 12, nil))
			s.Submit(8, NewSubmission("wk-5", protocol.ShapeArray, 8, 1, 9, nil))
			s.cutLinksFor(13, 29, s.machineLinks(w[0]))
			s.At(16, func() { s.nonLeaderOwner().Crash() })
			s.At(26, s.Start)
			s.Cancel(18.5, "wk-5")
			return []string{"wk-4"}
		}, nil},
		// All orders arrive again, up to 12 s after they were carried out, while work of a
		// lower rank is stopped for two gangs and begins elsewhere. Found by this day: a
		// copy of a launch started a task again that had been stopped and reaped.
		{"orders-repeated", func(s *Cluster, w []*Machine) []string {
			s.duplicateOrdersFor(4, 40, 1, 0.2, 12)
			low := func(x *protocol.Submission) {
				m, v := 4.0, 1.0
				x.CheckpointInterval, x.CheckpointDuration, x.Priority = &m, &v, stringPointer("best_effort")
			}
			high := func(x *protocol.Submission) { x.Priority = stringPointer("high") }
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 8, 1, 20, low))
			s.Submit(14, NewSubmission("wk-5", protocol.ShapeGang, 2, 4, 6, high))
			s.Submit(20, NewSubmission("wk-6", protocol.ShapeGang, 3, 4, 6, high))
			return []string{"wk-4", "wk-5", "wk-6"}
		}, nil},
	})
}

// Each once, to be read.
func TestMoreCombinedFaultScenarios(t *testing.T) {
	low := func(x *protocol.Submission) {
		m, v := 4.0, 1.0
		x.CheckpointInterval, x.CheckpointDuration, x.Priority = &m, &v, stringPointer("best_effort")
	}
	high := func(x *protocol.Submission) { x.Priority = stringPointer("high") }
	yes := true
	together := func(x *protocol.Submission) { x.SingleZone = &yes }
	runScenarios(t, "combined-", 780, 260, 150, nil, []scenario{
		// Six jobs are called off within a fifth of a second while five of their machines
		// hang; a moment later the state service refuses the leader alone, and a second
		// later it is down for longer than cancel_s.
		{"called-off-at-the-refusal", func(s *Cluster, w []*Machine) []string {
			for i := range 6 {
				id := fmt.Sprintf("wk-c%d", i)
				s.Submit(7+float64(i)/10, NewSubmission(id, protocol.ShapeArray, 1, 1, 200, nil))
				s.Cancel(16+float64(i)/30, id)
			}
			for i := range 5 {
				s.At(16.05, func() { w[i].Hung = true })
				s.At(26, func() { w[i].Hung = false })
			}
			s.At(16.1, func() {
				n := s.leaderProcess().name
				s.SetRefusal(n, "state", true)
				s.after(6*time.Second, func() { s.SetRefusal(n, "state", false) })
			})
			s.At(17.1, func() { s.State.StartOutage(40 * time.Second) })
			return nil
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			expectStatus(t, s, protocol.JobCancelled, "wk-c0", "wk-c1", "wk-c2", "wk-c3", "wk-c4", "wk-c5")
		}},
		// A team is at its limit when its owner and the leader end; two of its machines
		// can't be asked; the job that fills the limit is cancelled, another of the team waits.
		{"at-the-limit", func(s *Cluster, w []*Machine) []string {
			blue := func(x *protocol.Submission) { x.Team = stringPointer("blue") }
			s.Submit(7, NewSubmission("wk-4", protocol.ShapeArray, 9, 1, 60, blue))
			s.Submit(9, NewSubmission("wk-5", protocol.ShapeArray, 5, 1, 6, blue))
			s.At(13.5, func() {
				for i, x := range s.machinesWith("wk-4") {
					if i < 2 {
						s.cutLinksFor(13.5, 40, s.machineLinks(x))
					}
				}
			})
			s.At(14, func() {
				h := s.ownerOf(s.machinesWith("wk-4")[0])
				for _, x := range []*ControllerProcess{h, s.leaderProcess()} {
					if x.running {
						x.Crash()
						s.after(8*time.Second, x.Start)
					}
				}
			})
			s.Cancel(15, "wk-4")
			return []string{"wk-5"}
		}, func(t *testing.T, s *Cluster, w []*Machine) { expectStatus(t, s, protocol.JobCancelled, "wk-4") }},
		// The part that keeps a team's limit loses all its machines, and the cloud has no
		// others: it is lent what is idle elsewhere. Found by random days: the team's jobs
		// waited for ever.
		{"limit-without-machines", func(s *Cluster, w []*Machine) []string {
			blue := func(x *protocol.Submission) { x.Team = stringPointer("blue") }
			s.Submit(7, NewSubmission("wk-4", protocol.ShapeArray, 2, 1, 3, blue))
			s.At(9.5, func() { s.killMachinesOf(s.ownerOf(s.machinesWith("wk-4")[0]), w) })
			s.Submit(11, NewSubmission("wk-5", protocol.ShapeArray, 5, 1, 6, blue))
			return []string{"wk-4", "wk-5"}
		}, nil},
		// Two machines open no connection to any controller for longer than two leases;
		// orders reach them. What is there is lost with its lease, and begins elsewhere;
		// nothing more is sent there until they report again.
		{"mute-machines", func(s *Cluster, w []*Machine) []string {
			s.partitionOutbound(11, 45, w[2], w[3])
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 4, 1, 9, nil))
			s.Submit(20, NewSubmission("wk-5", protocol.ShapeArray, 24, 1, 9, nil))
			s.Submit(21, NewSubmission("wk-6", protocol.ShapeGang, 2, 3, 6, nil))
			s.Submit(9, NewSubmission("wk-7", protocol.ShapeArray, 4, 1, 90, nil))
			s.Cancel(16, "wk-7")
			for i := range 12 { // something that fits at any time
				s.Submit(11.5+float64(i), NewSubmission(fmt.Sprintf("wk-m%d", i), protocol.ShapeArray, 6, 0.5, 2.5, nil))
			}
			return []string{"wk-4", "wk-5", "wk-6", "wk-m0", "wk-m11"}
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			expectStatus(t, s, protocol.JobCancelled, "wk-7")
			for _, line := range s.TraceLines {
				var at float64
				var id string
				if fmt.Sscanf(line, "%f %s starts", &at, &id); strings.Contains(line, " starts ") && at > 11+3*s.Settings.Deployment.Workers.Report && at < 45 && (id == w[2].id || id == w[3].id) {
					t.Errorf("a task is sent to a machine that reaches nobody: %s", line)
				}
			}
		}},
		// A zone with a controller and half of the machines is cut off for three leases;
		// jobs are cancelled and submitted outside.
		{"zone-cut-with-its-controller", func(s *Cluster, w []*Machine) []string {
			s.At(11, func() { s.At(53, s.PartitionZone("b")) })
			s.Submit(9, NewSubmission("wk-4", protocol.ShapeArray, 6, 1, 60, nil))
			s.Submit(20, NewSubmission("wk-5", protocol.ShapeGang, 2, 3, 6, nil))
			s.Cancel(15, "wk-4")
			return []string{"wk-5"}
		}, func(t *testing.T, s *Cluster, w []*Machine) { expectStatus(t, s, protocol.JobCancelled, "wk-4") }},
		// Leaders change ten times in two minutes, three of them inside an outage; a job of
		// long tasks runs all the while on machines of which one is out of reach.
		{"ten-leaders", func(s *Cluster, w []*Machine) []string {
			for i := range 10 {
				s.restartQuickly(12+12*float64(i), []float64{0.3, 5, 9}[i%3], s.leaderProcess)
			}
			s.At(46, func() { s.State.StartOutage(27 * time.Second) })
			s.cutLinksFor(20, 80, s.machineLinks(w[1]))
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 4, 1, 40, nil))
			s.Submit(9, NewSubmission("wk-5", protocol.ShapeArray, 3, 1, 200, nil))
			s.Cancel(60, "wk-5")
			s.Submit(90, NewSubmission("wk-6", protocol.ShapeGang, 3, 3, 6, nil))
			return []string{"wk-4", "wk-6"}
		}, func(t *testing.T, s *Cluster, w []*Machine) { expectStatus(t, s, protocol.JobCancelled, "wk-5") }},
		// Arrays and a gang that may be in one zone only, and a job bound to zone b, lose
		// machines there: one dies, one hangs, one loses the network.
		{"one-zone-loses-machines", func(s *Cluster, w []*Machine) []string {
			for _, z := range []string{"a", "b"} {
				s.Cloud.Capacity["small/"+z+"/false"] = 2
			}
			s.Submit(7, NewSubmission("wk-4", protocol.ShapeArray, 8, 1, 12, together))
			s.Submit(8, NewSubmission("wk-5", protocol.ShapeArray, 6, 2, 10, func(x *protocol.Submission) { together(x); x.Zone = stringPointer("b") }))
			s.Submit(9, NewSubmission("wk-6", protocol.ShapeGang, 2, 3, 8, together))
			s.Submit(10, NewSubmission("wk-7", protocol.ShapeArray, 5, 1, 12, together))
			s.At(12, w[1].Die)
			s.At(13, func() { w[3].Hung = true })
			s.At(22, func() { w[3].Hung = false })
			s.cutLinksFor(13, 45, s.machineLinks(w[5]))
			s.restartQuickly(14, 6, s.leaderProcess)
			return []string{"wk-4", "wk-5", "wk-6", "wk-7"}
		}, nil},
		// All controllers are away for longer than a lease; one is back before the others.
		{"all-away", func(s *Cluster, w []*Machine) []string {
			s.crashFor(11, 31, "n0")
			s.crashFor(11, 36, "n1", "n2")
			s.Submit(9, NewSubmission("wk-4", protocol.ShapeArray, 4, 1, 60, nil))
			s.Submit(20, NewSubmission("wk-5", protocol.ShapeGang, 2, 3, 6, nil))
			s.Cancel(10.95, "wk-4") // stored or not, nobody is told
			return []string{"wk-5"}
		}, func(t *testing.T, s *Cluster, w []*Machine) { expectStatus(t, s, protocol.JobCancelled, "wk-4") }},
		// More work than room, urgent and not, while what machines and controllers say to
		// each other takes up to 1.5 s each way.
		{"crowded-over-slow-links", func(s *Cluster, w []*Machine) []string {
			s.addLinkLatency(6, 70, 1.5)
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 30, 1, 12, low))
			s.Submit(14, NewSubmission("wk-5", protocol.ShapeGang, 3, 4, 6, high))
			s.Submit(17, NewSubmission("wk-6", protocol.ShapeArray, 10, 2, 5, high))
			s.Submit(20, NewSubmission("wk-7", protocol.ShapeGang, 2, 4, 6, nil))
			return []string{"wk-4", "wk-5", "wk-6", "wk-7"}
		}, nil},
		// Users submit again what runs and what is done, cancel what is done, and submit
		// what lacks a field or can never run, over a change of leader.
		{"odd-requests", func(s *Cluster, w []*Machine) []string {
			sub := NewSubmission("wk-4", protocol.ShapeArray, 4, 1, 10, nil)
			s.Submit(8, sub)
			s.sendInvalidRequests(9, 40, sub)
			s.restartQuickly(14, 5, s.leaderProcess)
			for i, n := range s.controllerNames {
				s.At(45+float64(i), func() { s.repeatRequest(n, "cancel", sub) })
				s.At(48+float64(i), func() { s.repeatRequest(n, "submit", sub) })
			}
			return []string{"wk-4"}
		}, nil},
		// The leader has its workers and users alone for over a minute; jobs are cancelled
		// and accepted through the others meanwhile, and it is back at once with all.
		{"isolated-for-over-a-minute", func(s *Cluster, w []*Machine) []string {
			s.At(11, func() { s.after(72*time.Second, s.IsolateController(s.leaderProcess().name)) })
			s.Submit(9, NewSubmission("wk-4", protocol.ShapeArray, 6, 1, 100, nil))
			s.Submit(20, NewSubmission("wk-5", protocol.ShapeGang, 2, 3, 6, nil))
			s.Submit(60, NewSubmission("wk-6", protocol.ShapeArray, 12, 1, 8, nil))
			s.Cancel(15, "wk-4")
			return []string{"wk-5", "wk-6"}
		}, func(t *testing.T, s *Cluster, w []*Machine) { expectStatus(t, s, protocol.JobCancelled, "wk-4") }},
		// Half of a chunk is done when its part loses its machines, the rest moves to other
		// parts; copies of the reports that listed what is done, and what ran, come for long.
		{"copies-of-a-moved-chunk", func(s *Cluster, w []*Machine) []string {
			s.duplicateReportsFor(6, 60, 3, 9, 20, 30)
			s.Submit(14, NewSubmission("wk-4", protocol.ShapeArray, 24, 1, 5, nil))
			s.At(20.5, func() { s.killMachinesOf(s.ownerOf(s.machinesWith("wk-4")[0]), w) })
			return []string{"wk-4"}
		}, func(t *testing.T, s *Cluster, w []*Machine) {
			if n := s.tasksStartedOnce("wk-4"); n != 22 { // two ran on machines that died
				t.Errorf("%d of 24 tasks started once only, want 22", n)
			}
		}},
	})
}
