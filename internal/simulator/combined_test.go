package simulator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// combinedFaults are the users' second list for random days (see delayedMessages): each is
// two or three troubles in the same moments, and random days have others beside them.
var combinedFaults = []fault{
	{"users ask all nodes within milliseconds", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.At(at, func() { s.pollEveryController(r, 0.2) })
		s.At(at+4*length, func() { s.OnStatusReported = nil })
	}},
	{"answers of transactions lost", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.delayRequestsFor(at, at+2*length, 0.3+0.5*r.Float64(), 0.001, 0.003, "/multi")
	}},
	{"every team at its limit, cancellations, machines not to be had, the leader ends", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		for i, team := range []string{"blue", "green"} {
			of := func(x *protocol.Submission) { x.Team = stringPointer(team) }
			s.Submit(at-4+float64(i)/2, NewSubmission("wk-l"+team, protocol.ShapeArray, 3, 1, 60, of))
			s.Submit(at-3+float64(i)/2, NewSubmission("wk-n"+team, protocol.ShapeArray, 2+r.IntN(5), 1, 3+6*r.Float64(), of))
			s.Cancel(at+r.Float64(), "wk-l"+team)
			s.At(at-0.3, func() {
				kinds := slices.Sorted(maps.Keys(unreachable))
				for _, x := range s.machinesWith("wk-l" + team) {
					if r.IntN(3) > 0 {
						unreachable[kinds[r.IntN(len(kinds))]](s, x, s.now.Seconds(), at+3*length)
					}
				}
			})
		}
		for range 1 + r.IntN(3) {
			s.restartQuickly(at-1+length*r.Float64(), 6*r.Float64(), []func() *ControllerProcess{s.leaderProcess, s.nonLeaderOwner, s.largestOwner}[r.IntN(3)])
		}
	}},
	{"cancelled while work changes hands", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		ways := slices.Sorted(maps.Keys(handOvers))
		handOvers[ways[r.IntN(len(ways))]](s, at)
		s.DropCancellationNotices = r.IntN(2) == 0
		for i := range 12 {
			id := fmt.Sprintf("wk-h%d", i)
			s.Submit(at-5+9*r.Float64(), NewSubmission(id, protocol.ShapeArray, 1+r.IntN(2), 0.5, 30, nil))
			s.Cancel(at-1+2*length*r.Float64(), id)
		}
	}},
	{"new machines at once, writes late, all end, some can't be asked", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.delayRequestsFor(at-1, at+length, 0.3+0.4*r.Float64(), []float64{0.001, 2}[r.IntN(2)], 8, "/multi")
		for range 2 + r.IntN(3) {
			s.At(at+r.Float64(), func() { s.AddMachine("small", []string{"a", "b"}[r.IntN(2)], r.IntN(2) == 0) })
		}
		submitArrays(s, "wk-n", at, 3, 4, 3+6*r.Float64())
		s.At(at+1+2*r.Float64(), func() {
			for _, x := range s.runningMachines() {
				if r.IntN(3) == 0 {
					s.cutLinksFor(s.now.Seconds(), s.now.Seconds()+2*length, s.machineLinks(x))
				}
			}
			s.crashFor(s.now.Seconds(), s.now.Seconds()+0.3+2*r.Float64(), s.controllerNames...)
		})
	}},
	{"old reports reach the controllers as a leader begins", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		kept := s.keepReports(at-6, at, r.IntN(2) == 0)
		s.onLeaderChange(at, func() {
			for _, n := range s.runningControllers() {
				for _, body := range *kept {
					if r.IntN(3) == 0 {
						s.after(time.Duration(length*r.Float64()*r.Float64()*float64(time.Second)), func() {
							s.handlers[s.apiAddress(n)]("POST", "/v1/report", body, func(int, any) {})
						})
					}
				}
			}
		})
		s.restartQuickly(at, 0.2+2*length*r.Float64(), s.leaderProcess)
		s.restartQuickly(at+length*r.Float64(), 0.3, s.nonLeaderOwner)
	}},
	{"single tasks, a quarter cancelled", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		for i := range int(8 * length) {
			id, t := fmt.Sprintf("wk-q%d", i), at+float64(i)/4
			s.Submit(t, NewSubmission(id, protocol.ShapeArray, 1, 1, 2+4*r.Float64(), nil))
			if r.IntN(4) == 0 {
				s.Cancel(t+6*r.Float64()*r.Float64(), id)
			}
		}
		s.restartQuickly(at+2*length*r.Float64(), 0.3+4*r.Float64(), s.leaderProcess)
	}},
	{"commands of an owner that ends arrive late", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		s.At(at-1, func() {
			n, late := s.controllerNames[r.IntN(3)], 16*r.Float64()
			s.DelayedRequests = append(s.DelayedRequests, func(from, path string, _ []byte) (time.Duration, bool) {
				return time.Duration(late * (0.5 + 0.5*s.random.Float64()) * float64(time.Second)), path == "/orders" && from == n && s.now.Seconds() < at+1
			})
			s.restartQuickly(at, 0.2+2*length*r.Float64(), func() *ControllerProcess { return s.Controllers[n] })
			for _, x := range w {
				for _, o := range s.controllerNames {
					if o != n && r.IntN(5) == 0 {
						s.cutLinksFor(at-0.5, at+length, [][2]string{{x.Address(), o}, {x.Address(), s.apiAddress(o)}})
					}
				}
			}
		})
	}},
	{"jobs that run are cancelled and their machines hang", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		lease := s.Settings.Deployment.Workers.Lease
		s.At(at, func() {
			for i := range 5 {
				id := fmt.Sprintf("wk-%d", i+1)
				for _, x := range s.machinesWith(id) {
					if r.IntN(2) == 0 {
						x.Hung = true
						s.after(time.Duration(lease*(0.3+r.Float64())*float64(time.Second)), func() { x.Hung = false })
					}
				}
				if r.IntN(2) == 0 && s.reportedStatus[id] != "" {
					s.requestCancellation(id)
				}
			}
		})
		s.restartQuickly(at+length*r.Float64(), 0.3, s.leaderProcess)
	}},
	{"jobs are cancelled as they end, writes late", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.delayRequestsFor(at, at+2*length, 0.3, []float64{0.001, 1}[r.IntN(2)], 5, "/multi")
		s.At(at, func() {
			s.OnJobCompleted = func(id string) {
				if r.IntN(3) > 0 || s.reportedStatus[id] == "" {
					return
				}
				for range 3 {
					what := []string{"ask", "submit", "cancel"}[r.IntN(3)]
					s.after(time.Duration(0.4*r.Float64()*r.Float64()*float64(time.Second)), func() { s.repeatRequest(s.controllerNames[r.IntN(3)], what, s.submissions[id]) })
				}
			}
		})
		s.At(at+4*length, func() { s.OnJobCompleted = nil })
	}},
}

// Random days with the users' second list.
func TestRandomCombinedFaults(t *testing.T) { randomDays(t, *firstDay+combinedDays) }

// The list for random days holds what it says: a day of each by itself, with no other
// trouble beside it, breaks no rule and ends.
func TestEachCombinedFault(t *testing.T) {
	t.Parallel()
	for i, c := range combinedFaults {
		for seed := uint64(3000); seed < 3004; seed++ {
			s := NewCluster(seed + 10*uint64(i))
			s.ServeAPI()
			r := rand.New(rand.NewPCG(seed, 13))
			s.histories.FaultsOver = 75 * time.Second
			s.monitorWaitingJobs()
			w := addMachines(s, 8, 0)
			for k := range 6 {
				s.Submit(4+float64(k), NewSubmission(fmt.Sprintf("wk-%d", k+1), protocol.ShapeArray, 2+k, 1, 5+3*float64(k), nil))
			}
			c.do(s, r, w, 13, 6)
			s.Start()
			s.Run(220)
			for _, wrong := range s.checkDay(false) {
				t.Errorf("%s, seed %d: %s", c.name, seed, wrong)
			}
			if strings.Count(s.TraceText(), " starts ") < 20 {
				t.Errorf("%s, seed %d: hardly anything ran", c.name, seed)
			}
		}
	}
}
