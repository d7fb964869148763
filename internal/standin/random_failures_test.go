package standin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// Combined failures for random days.

// unreachableMachines are the same for random days; see delayedMessages.
var unreachableMachines = []combinedFailure{
	{"called off as the leader is refused, then down for all", func(s *Sim, r *rand.Rand, w []*Worker, at, length float64) {
		s.Unsaid = r.IntN(2) == 0
		s.At(at, func() { // with half of the machines of each hung for a while, within its lease
			for i := range 3 {
				for _, x := range s.has(fmt.Sprintf("wk-%d", i+1)) {
					if r.IntN(2) == 0 {
						x.Hung = true
						s.after(time.Duration((1+length)*r.Float64()*float64(time.Second)), func() { x.Hung = false })
					}
				}
				s.abort(fmt.Sprintf("wk-%d", i+1))
			}
			n := s.leader().name
			s.after(time.Duration(0.3*r.Float64()*float64(time.Second)), func() { s.Refuse(n, "state", true) })
			s.after(time.Duration((0.5+length)*float64(time.Second)), func() { s.Refuse(n, "state", false) })
		})
		s.At(at+0.4+r.Float64(), func() {
			s.State.Outage(time.Duration((0.6 + 0.6*r.Float64()) * s.S.Deployment.Workers.Cancel * float64(time.Second)))
		})
	}},
	{"machines reach nobody", func(s *Sim, r *rand.Rand, w []*Worker, at, length float64) {
		var some []*Worker
		for _, x := range w {
			if r.IntN(3) == 0 {
				some = append(some, x)
			}
		}
		s.mute(at, at+(1+2*r.Float64())*length, some...)
	}},
	{"a team at its limit, owners that end, machines out of reach, a cancellation", func(s *Sim, r *rand.Rand, w []*Worker, at, length float64) {
		blue := func(x *wire.Submission) { x.Crew = text("blue") }
		for i := range 3 {
			s.Submit(at-3+float64(i), Spec(fmt.Sprintf("wk-l%d", i), wire.Array, 2+r.IntN(4), 1, 4+30*r.Float64(), blue))
		}
		for range 1 + r.IntN(3) {
			s.cutFor(at, at+3*length*r.Float64(), s.links(w[r.IntN(len(w))]))
		}
		for range 1 + r.IntN(3) {
			s.quick(at+length*r.Float64(), 6*r.Float64(), func() *Host { return s.Nodes[s.all[r.IntN(3)]] })
		}
		s.Abort(at+length*r.Float64(), fmt.Sprintf("wk-l%d", r.IntN(3)))
	}},
	{"a zone is cut off with a controller, and jobs are cancelled", func(s *Sim, r *rand.Rand, w []*Worker, at, length float64) {
		s.At(at, func() { s.At(at+4*length, s.CutZone([]string{"a", "b"}[r.IntN(2)])) })
		for i := range 3 {
			s.Abort(at+3*length*r.Float64(), fmt.Sprintf("wk-%d", i+1))
		}
	}},
	{"leaders change ten times, also in an outage", func(s *Sim, r *rand.Rand, w []*Worker, at, length float64) {
		for i := range 10 {
			s.quick(at+0.3*length*float64(i), 0.05+length*r.Float64()*r.Float64(), s.leader)
		}
		s.At(at+length, func() { s.State.Outage(time.Duration(1.5 * length * r.Float64() * float64(time.Second))) })
		s.cutFor(at, at+4*length, s.links(w[r.IntN(len(w))]))
	}},
	{"jobs of one zone lose machines", func(s *Sim, r *rand.Rand, w []*Worker, at, length float64) {
		yes := true
		for i := range 4 {
			shape := []string{wire.Array, wire.Gang}[r.IntN(2)]
			s.Submit(at-3+float64(i)/2, Spec(fmt.Sprintf("wk-z%d", i), shape, 2+r.IntN(2), float64(1+r.IntN(2)), 4+14*r.Float64(), func(x *wire.Submission) { x.Together = &yes }))
		}
		s.At(at, w[r.IntN(len(w))].Die)
		x := w[r.IntN(len(w))]
		s.At(at+1, func() { x.Hung = true })
		s.At(at+1+2*length, func() { x.Hung = false })
		s.cutFor(at+2*r.Float64(), at+3*length, s.links(w[r.IntN(len(w))]))
	}},
	{"all controllers are away for longer than a lease", func(s *Sim, r *rand.Rand, w []*Worker, at, length float64) {
		lease := s.S.Deployment.Workers.Lease
		for _, n := range s.all {
			s.crash(at, at+lease*(1+r.Float64()), n)
		}
	}},
	{"slow links, and more work than room", func(s *Sim, r *rand.Rand, w []*Worker, at, length float64) {
		s.slowLinks(at-4, at+2*length, 2*r.Float64())
		m, v := 4.0, 1.0
		s.Submit(at-3, Spec("wk-u1", wire.Array, 20, 1, 10, func(x *wire.Submission) { x.Mark, x.Stow, x.Rank = &m, &v, text("best_effort") }))
		s.Submit(at, Spec("wk-u2", wire.Gang, 2, 3, 5, func(x *wire.Submission) { x.Rank = text("high") }))
		s.Submit(at+1, Spec("wk-u3", wire.Array, 6, 2, 5, func(x *wire.Submission) { x.Rank = text("prod") }))
	}},
	{"jobs are cancelled, asked about and submitted again as they end", func(s *Sim, r *rand.Rand, w []*Worker, at, length float64) {
		s.At(at, func() {
			s.OnEnd = func(id string) {
				if r.IntN(2) == 0 || s.jobs[id].Class != "class" || s.jobs[id].Rank != 1 {
					return
				}
				j := s.jobs[id]
				sub := Spec(id, j.Shape, j.Tasks, j.Cores, j.Estimate, nil)
				for range 4 {
					what := []string{"ask", "submit", "cancel"}[r.IntN(3)]
					s.after(time.Duration(0.6*r.Float64()*r.Float64()*float64(time.Second)), func() { s.again(s.all[r.IntN(3)], what, sub) })
				}
			}
		})
		s.At(at+4*length, func() { s.OnEnd = nil })
	}},
	{"users send odd requests", func(s *Sim, r *rand.Rand, w []*Worker, at, length float64) {
		sub := Spec("wk-o1", wire.Array, 1+r.IntN(3), 1, 4+6*r.Float64(), nil)
		s.Submit(at-2, sub)
		s.odd(at, at+2*length, sub)
	}},
}

// staleAnswers are the same for random days; see delayedMessages.
var staleAnswers = []combinedFailure{
	{"transactions are answered late", func(s *Sim, r *rand.Rand, _ []*Worker, at, length float64) {
		s.slowAt("/multi", r, 1, at+3*length, 0.2+1.6*r.Float64())
	}},
	{"news are told late", func(s *Sim, r *rand.Rand, _ []*Worker, at, length float64) {
		s.slowAt("/changes", r, at, at+2*length, 0.2+2.2*r.Float64())
	}},
	{"answers to transactions are lost, and users ask everywhere", func(s *Sim, r *rand.Rand, _ []*Worker, at, length float64) {
		s.late(at, at+2*length, 0.2+0.6*r.Float64(), 0.001, 0.01, "/multi")
		for i := range 12 {
			id := fmt.Sprintf("wk-%d", 1+i%5)
			s.At(at+2*length*r.Float64(), func() {
				j := s.jobs[id]
				if j == nil || s.told[id] == "" {
					return // a repetition holds what the first one did
				}
				sub := Spec(id, j.Shape, j.Tasks, j.Cores, j.Estimate, nil)
				for k, what := range []string{[]string{"cancel", "submit", "ask"}[r.IntN(3)], "ask", "submit", "ask"} {
					s.after(time.Duration(float64(k)*0.3*r.Float64()*float64(time.Second)), func() { s.again(s.all[r.IntN(3)], what, sub) })
				}
			})
		}
	}},
	{"jobs are called off as they move", func(s *Sim, r *rand.Rand, _ []*Worker, at, length float64) {
		s.Unsaid = r.IntN(2) == 0
		arrays(s, "wk-m", at-2, 4+r.IntN(4), 2+r.IntN(3), 3+12*r.Float64())
		s.onMove(at-2, func(id string) {
			if r.IntN(2) == 0 {
				s.after(time.Duration(r.Float64()*r.Float64()*float64(time.Second)), func() { s.abort(id) })
			}
		})
	}},
	{"old reports reach every controller as a new leader begins", func(s *Sim, r *rand.Rand, _ []*Worker, at, length float64) {
		var old [][]byte
		s.Late = append(s.Late, func(_, path string, body []byte) (time.Duration, bool) {
			if now := s.now.Seconds(); path == "/v1/report" && now > at-6 && now < at {
				old = append(old, append([]byte(nil), body...))
			}
			return 0, false
		})
		s.quick(at, 0.2+2*length*r.Float64(), s.leader)
		for range 12 { // some of them as it begins, whoever it is
			s.At(at+s.S.Deployment.Workers.Lease*r.Float64(), func() {
				for range min(len(old), 8) {
					body := old[r.IntN(len(old))]
					for _, n := range s.names() {
						s.serve[s.api(n)]("POST", "/v1/report", body, func(int, any) {})
					}
				}
			})
		}
	}},
	{"machines are up at once while writes lag, and the leader ends", func(s *Sim, r *rand.Rand, _ []*Worker, at, length float64) {
		s.late(at-1, at+length, 0.3+0.4*r.Float64(), 0.5, 8, "/multi")
		for range 2 + r.IntN(3) {
			s.At(at+2*r.Float64(), func() { s.AddWorker("small", []string{"a", "b"}[r.IntN(2)], r.IntN(2) == 0) })
		}
		arrays(s, "wk-n", at, 3, 4, 3+6*r.Float64())
		s.quick(at+3*r.Float64(), 0.1+length*r.Float64(), s.leader)
	}},
}

// And with those.
func TestRandomStaleAnswers(t *testing.T) { randomDays(t, *firstDay+staleAnswerDays) }
