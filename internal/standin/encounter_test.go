package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// The meetings of the users' letter that came later (docs/recovery.md, "Meetings").

// mute lets machines reach no controller for a time, while direct commands reach them.
func (s *Sim) mute(from, to float64, w ...*Worker) {
	s.At(from, func() {
		for _, x := range w {
			s.Trace("%s reaches nobody", x.id)
		}
	})
	s.Late = append(s.Late, func(by, path string, _ []byte) (time.Duration, bool) {
		now := s.now.Seconds()
		return time.Hour, now >= from && now < to && path == "/v1/report" && slices.ContainsFunc(w, func(x *Worker) bool { return x.addr == by })
	})
}

// slowLinks has messages from and to machines take up to so many seconds each way.
func (s *Sim) slowLinks(from, to, most float64) {
	s.At(from, func() {
		s.Lag = func(a, b string) time.Duration {
			if !strings.Contains(a+b, "w-i-") {
				return 0
			}
			return time.Duration(most * s.rnd.Float64() * float64(time.Second))
		}
	})
	s.At(to, func() { s.Lag = nil })
}

// partDies ends all machines that a controller answers.
func (s *Sim) partDies(h *Host, w []*Worker) {
	for _, x := range w {
		if s.holder(x) == h {
			x.Die()
		}
	}
}

// again has a user ask about a job, submit it once more, or cancel it, at one
// controller. What it says must agree with all that was said before the question.
func (s *Sim) again(node, what string, sub *wire.Submission) {
	id, out, asked, known := *sub.ID, &wire.JobState{}, s.now, s.told[*sub.ID] != ""
	method, path, body := "POST", "/v2/runs", any(sub)
	switch what {
	case "ask":
		method, path, body = "GET", "/v2/runs/"+id, nil
	case "cancel":
		path, body = "/v2/runs/"+id+"/abort", nil
		s.aborted[id] = max(s.aborted[id], 1)
	}
	s.call(s.addr("user"), s.api(node), method, path, body, out, 5*time.Second, func(status int) {
		switch {
		case status == 400 || status == 404 || status == 422:
			if known { // else nobody was told that it is accepted
				s.broken("forgotten: %s, %s at %s gets %d", id, what, node, status)
			}
		case status/100 != 2, s.endedAt[id] > asked && out.Status != s.told[id]:
		case what == "cancel" && out.Status == wire.Withdrawn && s.aborted[id] <= 1:
			s.cancelled(id)
			s.tell(id, out.Status)
		default:
			s.tell(id, out.Status)
		}
	})
}

// odd has users repeat submissions of a job, also with other fields, and submit jobs
// that lack a field or can never run.
func (s *Sim) odd(from, to float64, sub *wire.Submission) {
	n := 0
	for at := from; at < to; at += 0.7 {
		n++
		other, none, never := *sub, *sub, *sub
		other.Pieces, other.Reckon = nil, nil
		none.ID, never.ID = text(fmt.Sprintf("wk-x%d", n)), text(fmt.Sprintf("wk-y%d", n))
		lacks := []func(){func() { none.Kit = nil }, func() { none.Cores = nil }, func() { none.Together = nil }, func() { none.Rank = text("urgent") }, func() { none.Yard = text("") }}
		lacks[n%len(lacks)]()
		cores, many, gang, yes := 4096.0, uint64(9), wire.Gang, true
		hopeless := []func(){func() { never.Cores = &cores }, func() { never.Crew = text("nobody") }, func() { never.Builds = []string{"none"} },
			func() { never.Crew, never.Shape, never.Pieces = text("blue"), &gang, &many },
			func() { never.Shape, never.Pieces, never.Apart, never.Together = &gang, &many, &yes, &yes },
			func() { never.Shape, never.Pieces, never.Apart, never.Yard = &gang, &many, &yes, text("b") }}
		hopeless[n%len(hopeless)]()
		s.At(at, func() {
			node := s.all[n%len(s.all)]
			s.again(node, "submit", sub)
			s.again(node, "submit", &other)
			refused := func(x *wire.Submission, want int) {
				s.call(s.addr("user"), s.api(node), "POST", "/v2/runs", x, nil, 5*time.Second, func(status int) {
					if status != want && status != 503 && status != 429 && status != 0 {
						s.broken("accepted though it can't run: %s gets %d", *x.ID, status)
					}
				})
			}
			refused(&none, 400)
			refused(&never, 422)
		})
	}
}

// Each once, to be read.
func TestEncounters(t *testing.T) {
	low := func(x *wire.Submission) {
		m, v := 4.0, 1.0
		x.Mark, x.Stow, x.Rank = &m, &v, text("best_effort")
	}
	high := func(x *wire.Submission) { x.Rank = text("high") }
	yes := true
	together := func(x *wire.Submission) { x.Together = &yes }
	keptDays(t, "meeting-", 780, 260, 150, nil, []keptDay{
		// Six jobs are called off within a fifth of a second while five of their machines
		// hang; a moment later the state service refuses the leader alone, and a second
		// later it is down for longer than cancel_s.
		{"called-off-at-the-refusal", func(s *Sim, w []*Worker) []string {
			for i := range 6 {
				id := fmt.Sprintf("wk-c%d", i)
				s.Submit(7+float64(i)/10, Spec(id, wire.Array, 1, 1, 200, nil))
				s.Abort(16+float64(i)/30, id)
			}
			for i := range 5 {
				s.At(16.05, func() { w[i].Hung = true })
				s.At(26, func() { w[i].Hung = false })
			}
			s.At(16.1, func() {
				n := s.leader().name
				s.Refuse(n, "state", true)
				s.after(6*time.Second, func() { s.Refuse(n, "state", false) })
			})
			s.At(17.1, func() { s.State.Outage(40 * time.Second) })
			return nil
		}, func(t *testing.T, s *Sim, w []*Worker) {
			told(t, s, wire.Withdrawn, "wk-c0", "wk-c1", "wk-c2", "wk-c3", "wk-c4", "wk-c5")
		}},
		// A team is at its limit when its owner and the leader end; two of its machines
		// can't be asked; the job that fills the limit is cancelled, another of the team waits.
		{"at-the-limit", func(s *Sim, w []*Worker) []string {
			blue := func(x *wire.Submission) { x.Crew = text("blue") }
			s.Submit(7, Spec("wk-4", wire.Array, 9, 1, 60, blue))
			s.Submit(9, Spec("wk-5", wire.Array, 5, 1, 6, blue))
			s.At(13.5, func() {
				for i, x := range s.has("wk-4") {
					if i < 2 {
						s.cutFor(13.5, 40, s.links(x))
					}
				}
			})
			s.At(14, func() {
				h := s.holder(s.has("wk-4")[0])
				for _, x := range []*Host{h, s.leader()} {
					if x.up {
						x.Crash()
						s.after(8*time.Second, x.Start)
					}
				}
			})
			s.Abort(15, "wk-4")
			return []string{"wk-5"}
		}, func(t *testing.T, s *Sim, w []*Worker) { told(t, s, wire.Withdrawn, "wk-4") }},
		// The part that keeps a team's limit loses all its machines, and the cloud has no
		// others: it is lent what is idle elsewhere. Found by random days: the team's jobs
		// waited for ever.
		{"limit-without-machines", func(s *Sim, w []*Worker) []string {
			blue := func(x *wire.Submission) { x.Crew = text("blue") }
			s.Submit(7, Spec("wk-4", wire.Array, 2, 1, 3, blue))
			s.At(9.5, func() { s.partDies(s.holder(s.has("wk-4")[0]), w) })
			s.Submit(11, Spec("wk-5", wire.Array, 5, 1, 6, blue))
			return []string{"wk-4", "wk-5"}
		}, nil},
		// Two machines open no connection to any controller for longer than two leases;
		// orders reach them. What is there is lost with its lease, and begins elsewhere;
		// nothing more is sent there until they report again.
		{"mute-machines", func(s *Sim, w []*Worker) []string {
			s.mute(11, 45, w[2], w[3])
			s.Submit(8, Spec("wk-4", wire.Array, 4, 1, 9, nil))
			s.Submit(20, Spec("wk-5", wire.Array, 24, 1, 9, nil))
			s.Submit(21, Spec("wk-6", wire.Gang, 2, 3, 6, nil))
			s.Submit(9, Spec("wk-7", wire.Array, 4, 1, 90, nil))
			s.Abort(16, "wk-7")
			for i := range 12 { // something that fits at any time
				s.Submit(11.5+float64(i), Spec(fmt.Sprintf("wk-m%d", i), wire.Array, 6, 0.5, 2.5, nil))
			}
			return []string{"wk-4", "wk-5", "wk-6", "wk-m0", "wk-m11"}
		}, func(t *testing.T, s *Sim, w []*Worker) {
			told(t, s, wire.Withdrawn, "wk-7")
			for _, line := range s.Traced {
				var at float64
				var id string
				if fmt.Sscanf(line, "%f %s starts", &at, &id); strings.Contains(line, " starts ") && at > 11+3*s.S.Deployment.Workers.Report && at < 45 && (id == w[2].id || id == w[3].id) {
					t.Errorf("a task is sent to a machine that reaches nobody: %s", line)
				}
			}
		}},
		// A zone with a controller and half of the machines is cut off for three leases;
		// jobs are cancelled and submitted outside.
		{"zone-cut-with-its-controller", func(s *Sim, w []*Worker) []string {
			s.At(11, func() { s.At(53, s.CutZone("b")) })
			s.Submit(9, Spec("wk-4", wire.Array, 6, 1, 60, nil))
			s.Submit(20, Spec("wk-5", wire.Gang, 2, 3, 6, nil))
			s.Abort(15, "wk-4")
			return []string{"wk-5"}
		}, func(t *testing.T, s *Sim, w []*Worker) { told(t, s, wire.Withdrawn, "wk-4") }},
		// Leaders change ten times in two minutes, three of them inside an outage; a job of
		// long tasks runs all the while on machines of which one is out of reach.
		{"ten-leaders", func(s *Sim, w []*Worker) []string {
			for i := range 10 {
				s.quick(12+12*float64(i), []float64{0.3, 5, 9}[i%3], s.leader)
			}
			s.At(46, func() { s.State.Outage(27 * time.Second) })
			s.cutFor(20, 80, s.links(w[1]))
			s.Submit(8, Spec("wk-4", wire.Array, 4, 1, 40, nil))
			s.Submit(9, Spec("wk-5", wire.Array, 3, 1, 200, nil))
			s.Abort(60, "wk-5")
			s.Submit(90, Spec("wk-6", wire.Gang, 3, 3, 6, nil))
			return []string{"wk-4", "wk-6"}
		}, func(t *testing.T, s *Sim, w []*Worker) { told(t, s, wire.Withdrawn, "wk-5") }},
		// Arrays and a gang that may be in one zone only, and a job bound to zone b, lose
		// machines there: one dies, one hangs, one loses the network.
		{"one-zone-loses-machines", func(s *Sim, w []*Worker) []string {
			for _, z := range []string{"a", "b"} {
				s.Cloud.Left["small/"+z+"/false"] = 2
			}
			s.Submit(7, Spec("wk-4", wire.Array, 8, 1, 12, together))
			s.Submit(8, Spec("wk-5", wire.Array, 6, 2, 10, func(x *wire.Submission) { together(x); x.Yard = text("b") }))
			s.Submit(9, Spec("wk-6", wire.Gang, 2, 3, 8, together))
			s.Submit(10, Spec("wk-7", wire.Array, 5, 1, 12, together))
			s.At(12, w[1].Die)
			s.At(13, func() { w[3].Hung = true })
			s.At(22, func() { w[3].Hung = false })
			s.cutFor(13, 45, s.links(w[5]))
			s.quick(14, 6, s.leader)
			return []string{"wk-4", "wk-5", "wk-6", "wk-7"}
		}, nil},
		// All controllers are away for longer than a lease; one is back before the others.
		{"all-away", func(s *Sim, w []*Worker) []string {
			s.crash(11, 31, "n0")
			s.crash(11, 36, "n1", "n2")
			s.Submit(9, Spec("wk-4", wire.Array, 4, 1, 60, nil))
			s.Submit(20, Spec("wk-5", wire.Gang, 2, 3, 6, nil))
			s.Abort(10.95, "wk-4") // stored or not, nobody is told
			return []string{"wk-5"}
		}, func(t *testing.T, s *Sim, w []*Worker) { told(t, s, wire.Withdrawn, "wk-4") }},
		// More work than room, urgent and not, while what machines and controllers say to
		// each other takes up to 1.5 s each way.
		{"crowded-over-slow-links", func(s *Sim, w []*Worker) []string {
			s.slowLinks(6, 70, 1.5)
			s.Submit(8, Spec("wk-4", wire.Array, 30, 1, 12, low))
			s.Submit(14, Spec("wk-5", wire.Gang, 3, 4, 6, high))
			s.Submit(17, Spec("wk-6", wire.Array, 10, 2, 5, high))
			s.Submit(20, Spec("wk-7", wire.Gang, 2, 4, 6, nil))
			return []string{"wk-4", "wk-5", "wk-6", "wk-7"}
		}, nil},
		// Users submit again what runs and what is done, cancel what is done, and submit
		// what lacks a field or can never run, over a change of leader.
		{"odd-requests", func(s *Sim, w []*Worker) []string {
			sub := Spec("wk-4", wire.Array, 4, 1, 10, nil)
			s.Submit(8, sub)
			s.odd(9, 40, sub)
			s.quick(14, 5, s.leader)
			for i, n := range s.all {
				s.At(45+float64(i), func() { s.again(n, "cancel", sub) })
				s.At(48+float64(i), func() { s.again(n, "submit", sub) })
			}
			return []string{"wk-4"}
		}, nil},
		// The leader has its workers and users alone for over a minute; jobs are cancelled
		// and accepted through the others meanwhile, and it is back at once with all.
		{"isolated-for-over-a-minute", func(s *Sim, w []*Worker) []string {
			s.At(11, func() { s.after(72*time.Second, s.Isolate(s.leader().name)) })
			s.Submit(9, Spec("wk-4", wire.Array, 6, 1, 100, nil))
			s.Submit(20, Spec("wk-5", wire.Gang, 2, 3, 6, nil))
			s.Submit(60, Spec("wk-6", wire.Array, 12, 1, 8, nil))
			s.Abort(15, "wk-4")
			return []string{"wk-5", "wk-6"}
		}, func(t *testing.T, s *Sim, w []*Worker) { told(t, s, wire.Withdrawn, "wk-4") }},
		// Half of a chunk is done when its part loses its machines, the rest moves to other
		// parts; copies of the reports that listed what is done, and what ran, come for long.
		{"copies-of-a-moved-chunk", func(s *Sim, w []*Worker) []string {
			s.copied(6, 60, 3, 9, 20, 30)
			s.Submit(14, Spec("wk-4", wire.Array, 24, 1, 5, nil))
			s.At(20.5, func() { s.partDies(s.holder(s.has("wk-4")[0]), w) })
			return []string{"wk-4"}
		}, func(t *testing.T, s *Sim, w []*Worker) {
			if n := s.startedOnce("wk-4"); n != 22 { // two ran on machines that died
				t.Errorf("%d of 24 tasks started once only, want 22", n)
			}
		}},
	})
}

// startedOnce counts the tasks of a job that started once only.
func (s *Sim) startedOnce(id string) (n int) {
	for i := range s.jobs[id].Tasks {
		if strings.Count(s.Text(), fmt.Sprintf("starts %s/%d\n", id, i)) == 1 {
			n++
		}
	}
	return n
}

// The leader ends; while another is chosen, and after, a second controller and a third
// end and are back within a fraction of a second. Whenever that is, somebody leads, all
// parts are owned within a lease and a half, no rule breaks and all is done.
func TestBackInMidElection(t *testing.T) {
	for i := range 32 {
		s := New(uint64(1300 + i))
		s.API()
		s.history.Calm = 30 * time.Second
		s.watchWaiting()
		workday(s)
		ids := append(burst(s, 11, 4, 6, 4), "wk-1", "wk-2")
		at := 12 + 0.3*float64(i)
		s.At(12, func() {
			old := s.leader()
			old.Crash()
			s.after(time.Duration(200+200*i)*time.Millisecond, old.Start) // at once, or well after the election
		})
		next := func(k int) func() *Host {
			return func() *Host { return s.Nodes[s.names()[k%len(s.names())]] }
		}
		s.quick(at, 0.25, next(i))
		s.quick(at+0.15, 0.1, next(i+1))
		s.At(at+1.5*s.S.Deployment.Workers.Lease, func() {
			parts := map[int32]string{}
			for _, n := range s.names() {
				for _, p := range s.Nodes[n].Node.Describe().Parts {
					parts[int32(p.Part)] = n
				}
			}
			if len(parts) != len(s.all) || !s.leader().up {
				t.Errorf("%.1f s after the leader's end two others: parts %v", at-12, parts)
			}
		})
		s.Start()
		s.Run(130)
		for _, b := range append(s.Broken, s.Judge()...) {
			t.Errorf("%.1f s after the leader's end two others: %s", at-12, b)
		}
		told(t, s, wire.Done, ids...)
		told(t, s, wire.Withdrawn, "wk-3")
	}
}

// A cancellation, a question and a repeated submission meet the end of a job's last
// task, with no other trouble or with a state service that answers up to 1.2 s late:
// before it ends, at the same moment, while its end is stored and after. Whatever was
// answered first stays so, at each controller, and nothing of a cancelled job is left.
func TestEndMeetsItsUser(t *testing.T) {
	kinds := []struct {
		name, shape string
		tasks       int
		single      bool
	}{{"single task", wire.Array, 1, false}, {"single task of a rush", wire.Array, 1, true}, {"array of three", wire.Array, 3, false}, {"gang", wire.Gang, 2, false}}
	ends := map[string]int{}
	for i, kind := range kinds {
		for k, slow := range []float64{0, 1.2} {
			sub := Spec("wk-1", kind.shape, kind.tasks, 1, 5, nil)
			play := func(meet func(s *Sim)) *Sim {
				s := New(uint64(830 + 10*i + k))
				s.API()
				fleet(s, 3, 0)
				for _, n := range s.all {
					if kind.single {
						s.Nodes[n].set.Dispatch.Anywhere = 0
					}
				}
				s.Submit(5, sub)
				if slow > 0 {
					s.At(7, func() {
						s.State.Slow = func(string) time.Duration { return time.Duration(slow * s.rnd.Float64() * float64(time.Second)) }
					})
				}
				meet(s)
				s.Start()
				s.Run(30)
				return s
			}
			end := 0.0 // when its last task ends, if nobody meddles
			plain := play(func(*Sim) {})
			for _, line := range plain.Traced {
				if strings.HasSuffix(line, " done") && strings.Contains(line, "wk-1/") {
					fmt.Sscanf(line, "%f", &end)
				}
			}
			told(t, plain, wire.Done, "wk-1")
			for _, first := range []string{"cancel", "ask", "submit"} {
				for d := -0.04 - slow; d < 0.1+slow; d += 0.01 + slow/12 {
					s := play(func(s *Sim) {
						for x, what := range []string{first, "ask", "cancel", "submit", "ask"} {
							s.At(end+d+(0.003+slow/4)*float64(x), func() { s.again(s.all[x%3], what, sub) })
						}
						for x, n := range s.all {
							s.At(end+12+float64(x), func() { s.again(n, "submit", sub); s.again(n, "ask", sub) })
						}
					})
					for _, b := range s.Broken {
						t.Errorf("%s, slow %v, %s %.3f s after the end: %s", kind.name, slow, first, d, b)
					}
					if got := s.Told("wk-1"); got != wire.Done && got != wire.Withdrawn {
						t.Errorf("%s, slow %v, %s %.3f s after the end: it is %q", kind.name, slow, first, d, got)
					}
					if on := s.On("wk-1"); len(on) > 0 {
						t.Errorf("%s: still on %v", kind.name, on)
					}
					ends[s.Told("wk-1")]++
				}
			}
		}
	}
	if ends[wire.Done] < 50 || ends[wire.Withdrawn] < 50 {
		t.Errorf("ends %v: the meeting was not met", ends)
	}
	t.Logf("ends: %v", ends)
}

// encounters are the same for random days; see meetings.
var encounters = []meeting{
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

// The leader, or the owner of most machines, is alone with its workers and users for a
// moment, for longer than a lease and for a minute; jobs are cancelled, accepted and done
// through the others. No rule breaks, and all is known again and served.
func TestAlone(t *testing.T) {
	for i, who := range []func(*Sim) []string{theLeader, theLargest} {
		for k, length := range []float64{3, 20, 60} {
			s := New(uint64(1360 + 10*i + k))
			s.API()
			s.history.Calm = time.Duration((11 + length) * float64(time.Second))
			s.watchWaiting()
			workday(s)
			ids := append(burst(s, 14, 4, 6, 4), "wk-1", "wk-2", "wk-5")
			s.At(11, func() { s.after(time.Duration(length*float64(time.Second)), s.Isolate(who(s)[0])) })
			s.Submit(8, Spec("wk-4", wire.Array, 6, 1, 90, nil))
			s.Submit(16, Spec("wk-5", wire.Gang, 2, 3, 6, nil))
			s.Abort(12.5, "wk-4")
			s.Start()
			s.Run(200)
			for _, b := range append(s.Broken, s.Judge()...) {
				t.Errorf("alone for %v s (%d): %s", length, i, b)
			}
			told(t, s, wire.Done, ids...)
			told(t, s, wire.Withdrawn, "wk-3", "wk-4")
		}
	}
}
