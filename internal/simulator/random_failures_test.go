package simulator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// Combined failures for random days.

// unreachableMachines are the same for random days; see delayedMessages.
var unreachableMachines = []fault{
	{"called off as the leader is refused, then down for all", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		s.DropCancellationNotices = r.IntN(2) == 0
		s.At(at, func() { // with half of the machines of each hung for a while, within its lease
			for i := range 3 {
				for _, x := range s.machinesWith(fmt.Sprintf("wk-%d", i+1)) {
					if r.IntN(2) == 0 {
						x.Hung = true
						s.after(time.Duration((1+length)*r.Float64()*float64(time.Second)), func() { x.Hung = false })
					}
				}
				s.requestCancellation(fmt.Sprintf("wk-%d", i+1))
			}
			n := s.leaderProcess().name
			s.after(time.Duration(0.3*r.Float64()*float64(time.Second)), func() { s.SetRefusal(n, "state", true) })
			s.after(time.Duration((0.5+length)*float64(time.Second)), func() { s.SetRefusal(n, "state", false) })
		})
		s.At(at+0.4+r.Float64(), func() {
			s.State.StartOutage(time.Duration((0.6 + 0.6*r.Float64()) * s.Settings.Deployment.Workers.Cancel * float64(time.Second)))
		})
	}},
	{"machines reach nobody", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		var some []*Machine
		for _, x := range w {
			if r.IntN(3) == 0 {
				some = append(some, x)
			}
		}
		s.partitionOutbound(at, at+(1+2*r.Float64())*length, some...)
	}},
	{"a team at its limit, owners that end, machines out of reach, a cancellation", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		blue := func(x *protocol.Submission) { x.Team = stringPointer("blue") }
		for i := range 3 {
			s.Submit(at-3+float64(i), NewSubmission(fmt.Sprintf("wk-l%d", i), protocol.ShapeArray, 2+r.IntN(4), 1, 4+30*r.Float64(), blue))
		}
		for range 1 + r.IntN(3) {
			s.cutLinksFor(at, at+3*length*r.Float64(), s.machineLinks(w[r.IntN(len(w))]))
		}
		for range 1 + r.IntN(3) {
			s.restartQuickly(at+length*r.Float64(), 6*r.Float64(), func() *ControllerProcess { return s.Controllers[s.controllerNames[r.IntN(3)]] })
		}
		s.Cancel(at+length*r.Float64(), fmt.Sprintf("wk-l%d", r.IntN(3)))
	}},
	{"a zone is cut off with a controller, and jobs are cancelled", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		s.At(at, func() { s.At(at+4*length, s.PartitionZone([]string{"a", "b"}[r.IntN(2)])) })
		for i := range 3 {
			s.Cancel(at+3*length*r.Float64(), fmt.Sprintf("wk-%d", i+1))
		}
	}},
	{"leaders change ten times, also in an outage", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		for i := range 10 {
			s.restartQuickly(at+0.3*length*float64(i), 0.05+length*r.Float64()*r.Float64(), s.leaderProcess)
		}
		s.At(at+length, func() { s.State.StartOutage(time.Duration(1.5 * length * r.Float64() * float64(time.Second))) })
		s.cutLinksFor(at, at+4*length, s.machineLinks(w[r.IntN(len(w))]))
	}},
	{"jobs of one zone lose machines", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		yes := true
		for i := range 4 {
			shape := []protocol.JobShape{protocol.ShapeArray, protocol.ShapeGang}[r.IntN(2)]
			s.Submit(at-3+float64(i)/2, NewSubmission(fmt.Sprintf("wk-z%d", i), shape, 2+r.IntN(2), float64(1+r.IntN(2)), 4+14*r.Float64(), func(x *protocol.Submission) { x.SingleZone = &yes }))
		}
		s.At(at, w[r.IntN(len(w))].Die)
		x := w[r.IntN(len(w))]
		s.At(at+1, func() { x.Hung = true })
		s.At(at+1+2*length, func() { x.Hung = false })
		s.cutLinksFor(at+2*r.Float64(), at+3*length, s.machineLinks(w[r.IntN(len(w))]))
	}},
	{"all controllers are away for longer than a lease", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		lease := s.Settings.Deployment.Workers.Lease
		for _, n := range s.controllerNames {
			s.crashFor(at, at+lease*(1+r.Float64()), n)
		}
	}},
	{"slow links, and more work than room", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		s.addLinkLatency(at-4, at+2*length, 2*r.Float64())
		m, v := 4.0, 1.0
		s.Submit(at-3, NewSubmission("wk-u1", protocol.ShapeArray, 20, 1, 10, func(x *protocol.Submission) {
			x.CheckpointInterval, x.CheckpointDuration, x.Priority = &m, &v, stringPointer("best_effort")
		}))
		s.Submit(at, NewSubmission("wk-u2", protocol.ShapeGang, 2, 3, 5, func(x *protocol.Submission) { x.Priority = stringPointer("high") }))
		s.Submit(at+1, NewSubmission("wk-u3", protocol.ShapeArray, 6, 2, 5, func(x *protocol.Submission) { x.Priority = stringPointer("prod") }))
	}},
	{"jobs are cancelled, asked about and submitted again as they end", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		s.At(at, func() {
			s.OnJobCompleted = func(id string) {
				if r.IntN(2) == 0 || s.jobs[id].Class != "class" || s.jobs[id].Priority != 1 {
					return
				}
				j := s.jobs[id]
				sub := NewSubmission(id, j.Shape, j.Tasks, j.Cores, j.Estimate, nil)
				for range 4 {
					what := []string{"ask", "submit", "cancel"}[r.IntN(3)]
					s.after(time.Duration(0.6*r.Float64()*r.Float64()*float64(time.Second)), func() { s.repeatRequest(s.controllerNames[r.IntN(3)], what, sub) })
				}
			}
		})
		s.At(at+4*length, func() { s.OnJobCompleted = nil })
	}},
	{"users send odd requests", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		sub := NewSubmission("wk-o1", protocol.ShapeArray, 1+r.IntN(3), 1, 4+6*r.Float64(), nil)
		s.Submit(at-2, sub)
		s.sendInvalidRequests(at, at+2*length, sub)
	}},
}

// staleAnswers are the same for random days; see delayedMessages.
var staleAnswers = []fault{
	{"transactions are answered late", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.delayResponsesFor("/multi", r, 1, at+3*length, 0.2+1.6*r.Float64())
	}},
	{"news are told late", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.delayResponsesFor("/changes", r, at, at+2*length, 0.2+2.2*r.Float64())
	}},
	{"answers to transactions are lost, and users ask everywhere", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.delayRequestsFor(at, at+2*length, 0.2+0.6*r.Float64(), 0.001, 0.01, "/multi")
		for i := range 12 {
			id := fmt.Sprintf("wk-%d", 1+i%5)
			s.At(at+2*length*r.Float64(), func() {
				j := s.jobs[id]
				if j == nil || s.reportedStatus[id] == "" {
					return // a repetition holds what the first one did
				}
				sub := NewSubmission(id, j.Shape, j.Tasks, j.Cores, j.Estimate, nil)
				for k, what := range []string{[]string{"cancel", "submit", "ask"}[r.IntN(3)], "ask", "submit", "ask"} {
					s.after(time.Duration(float64(k)*0.3*r.Float64()*float64(time.Second)), func() { s.repeatRequest(s.controllerNames[r.IntN(3)], what, sub) })
				}
			})
		}
	}},
	{"jobs are called off as they move", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.DropCancellationNotices = r.IntN(2) == 0
		submitArrays(s, "wk-m", at-2, 4+r.IntN(4), 2+r.IntN(3), 3+12*r.Float64())
		s.onChunkMove(at-2, func(id string) {
			if r.IntN(2) == 0 {
				s.after(time.Duration(r.Float64()*r.Float64()*float64(time.Second)), func() { s.requestCancellation(id) })
			}
		})
	}},
	{"old reports reach every controller as a new leader begins", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		var old [][]byte
		s.DelayedRequests = append(s.DelayedRequests, func(_, path string, body []byte) (time.Duration, bool) {
			if now := s.now.Seconds(); path == "/v1/report" && now > at-6 && now < at {
				old = append(old, append([]byte(nil), body...))
			}
			return 0, false
		})
		s.restartQuickly(at, 0.2+2*length*r.Float64(), s.leaderProcess)
		for range 12 { // some of them as it begins, whoever it is
			s.At(at+s.Settings.Deployment.Workers.Lease*r.Float64(), func() {
				for range min(len(old), 8) {
					body := old[r.IntN(len(old))]
					for _, n := range s.runningControllers() {
						s.handlers[s.apiAddress(n)]("POST", "/v1/report", body, func(int, any) {})
					}
				}
			})
		}
	}},
	{"machines are up at once while writes lag, and the leader ends", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.delayRequestsFor(at-1, at+length, 0.3+0.4*r.Float64(), 0.5, 8, "/multi")
		for range 2 + r.IntN(3) {
			s.At(at+2*r.Float64(), func() { s.AddMachine("small", []string{"a", "b"}[r.IntN(2)], r.IntN(2) == 0) })
		}
		submitArrays(s, "wk-n", at, 3, 4, 3+6*r.Float64())
		s.restartQuickly(at+3*r.Float64(), 0.1+length*r.Float64(), s.leaderProcess)
	}},
}

// And with those.
func TestRandomStaleResponses(t *testing.T) { randomDays(t, *firstDay+staleAnswerDays) }
