package standin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// pipeline submits four stages as users do, each as soon as those that it needs are
// accepted: a first one, two that need it, a gang that needs both, and a last one.
func (s *Sim) pipeline(at float64, name string) (ids []string) {
	first, left, right, join, last := name+"-first", name+"-left", name+"-right", name+"-join", name+"-last"
	due := 120.0
	s.Submit(at, Spec(first, wire.Array, 4, 1, 5, nil))
	s.submitOnceAccepted(at+0.2, Spec(left, wire.Array, 6, 1, 4, After(first)))
	s.submitOnceAccepted(at+0.3, Spec(right, wire.Array, 3, 1, 8, After(first)))
	s.submitOnceAccepted(at+0.5, Spec(join, wire.Gang, 2, 2, 5, After(left, right)))
	s.submitOnceAccepted(at+0.7, Spec(last, wire.Array, 2, 1, 3, func(x *wire.Submission) {
		After(join)(x)
		x.Rank, x.Due = text("high"), &due
	}))
	return []string{first, left, right, join, last}
}

// Jobs that need others, each day short enough to be read.
func TestPipelines(t *testing.T) {
	keptDays(t, "pipeline-", 3100, 160, 60, nil, []keptDay{
		{"diamond", func(s *Sim, w []*Worker) []string { return s.pipeline(8, "wk-p") }, nil},
		// The last stage comes when the others are over; another when they are long over.
		{"last-stage-late", func(s *Sim, w []*Worker) []string {
			s.Submit(8, Spec("wk-4", wire.Array, 3, 1, 4, nil))
			s.Submit(25, Spec("wk-5", wire.Array, 2, 1, 3, After("wk-4")))
			s.Submit(80, Spec("wk-6", wire.Array, 2, 1, 3, After("wk-4", "wk-5", "wk-4")))
			return []string{"wk-4", "wk-5", "wk-6"}
		}, nil},
		// The first stage is cancelled while it runs; a stage that needs one of those that go
		// with it is submitted later, and goes at once.
		{"cancelled-root", func(s *Sim, w []*Worker) []string {
			s.pipeline(8, "wk-p")
			s.Abort(10, "wk-p-first")
			s.Submit(40, Spec("wk-p-late", wire.Array, 2, 1, 3, After("wk-p-last")))
			return nil
		}, func(t *testing.T, s *Sim, w []*Worker) {
			told(t, s, wire.Withdrawn, "wk-p-first", "wk-p-left", "wk-p-right", "wk-p-join", "wk-p-last", "wk-p-late")
		}},
		// What is done stays done: an abort that is answered so lets the rest go on.
		{"cancelled-too-late", func(s *Sim, w []*Worker) []string {
			ids := s.pipeline(8, "wk-p")
			s.Abort(24, "wk-p-first")
			return ids
		}, nil},
		// The leader ends as the first stage does; all end as the second does.
		{"leaders-end-at-the-release", func(s *Sim, w []*Worker) []string {
			ended := 0
			s.OnEnd = func(id string) {
				switch ended++; id {
				case "wk-p-first":
					s.quick(s.now.Seconds()+0.01, 6, s.leader)
				case "wk-p-left":
					s.crash(s.now.Seconds()+0.01, s.now.Seconds()+2.5, s.all...)
				}
			}
			return s.pipeline(8, "wk-p")
		}, nil},
		// The root is cancelled; a moment later the state service is down for longer than
		// cancel_s, and one controller never hears of the cancellation.
		{"cancelled-then-down", func(s *Sim, w []*Worker) []string {
			s.Unsaid = true
			s.pipeline(8, "wk-p")
			s.Abort(11, "wk-p-first")
			s.At(11.1, func() { s.State.Outage(45 * time.Second) })
			return nil
		}, func(t *testing.T, s *Sim, w []*Worker) {
			told(t, s, wire.Withdrawn, "wk-p-first", "wk-p-left", "wk-p-right", "wk-p-join", "wk-p-last")
		}},
		// A needed job fails on every machine: those that need it wait until its user gives up.
		{"needed-job-fails-everywhere", func(s *Sim, w []*Worker) []string {
			s.Mistaken = map[string]bool{"wk-4": true}
			s.Submit(8, Spec("wk-4", wire.Array, 2, 1, 4, nil))
			s.Submit(9, Spec("wk-5", wire.Array, 2, 1, 3, After("wk-4")))
			s.Abort(50, "wk-4")
			return nil
		}, func(t *testing.T, s *Sim, w []*Worker) {
			told(t, s, wire.Withdrawn, "wk-4", "wk-5")
		}},
		// The zones are cut apart as the first stage ends: the second one's parts are in both.
		{"zones-apart-at-the-release", func(s *Sim, w []*Worker) []string {
			s.At(18, func() { s.At(40, s.CutZone("b")) })
			return s.pipeline(8, "wk-p")
		}, nil},
	})
}

// pipelineTroubles are what a pipeline is to go through, from a moment on.
var pipelineTroubles = map[string]func(s *Sim, at float64){
	"none":                  func(*Sim, float64) {},
	"changes are told late": func(s *Sim, at float64) { s.Unsaid = true; s.slowAt("/changes", s.rnd, at-3, at+20, 2.5) },
	"written late":          func(s *Sim, at float64) { s.late(at-2, at+15, 0.5, 2, 12, "/multi") },
	"answers lost":          func(s *Sim, at float64) { s.late(at-2, at+15, 0.7, 0.001, 0.003, "/multi") },
	"leaders end":           func(s *Sim, at float64) { s.quick(at, 0.3, s.leader); s.quick(at+1.5, 5, s.leader) },
	// The leader is refused alone as well, and no controller hears of the cancellation from
	// another. Users ask everywhere as the service comes back: cancel_s is over.
	"down as the cancellation is confirmed": func(s *Sim, at float64) {
		s.Unsaid = true
		s.refuseFor(at-0.5, at+6, theLeader)
		s.OnTold = func(_, status string) {
			if status != wire.Withdrawn || s.State.Down {
				return
			}
			s.OnTold = nil
			s.State.Outage(40 * time.Second)
			for k := range 60 {
				s.after(39900*time.Millisecond+time.Duration(k)*20*time.Millisecond, func() { s.askForAll(s.all[k%len(s.all)]) })
			}
		}
	},
}

// Each stage of a pipeline is cancelled at moments from before it is submitted, across the
// ends and releases of the others, until all is over; a job that needs its last stage comes
// at the same moment. All that need a cancelled one are withdrawn with it, everything else
// is done, and no task starts before what its job needs.
func TestPipelineCancelledAtAnyMoment(t *testing.T) {
	t.Parallel()
	ends := map[string]int{}
	seed := uint64(3200)
	for _, trouble := range slices.Sorted(maps.Keys(pipelineTroubles)) {
		for _, stage := range []string{"first", "left", "join", "last"} {
			for at := 8.9; at < 42; at += 3.4 {
				seed++
				s := judged(seed, 110)
				fleet(s, 6, 0)
				ids := s.pipeline(8, "wk-p")
				s.Abort(at, "wk-p-"+stage)
				s.submitOnceAccepted(at, Spec("wk-p-more", wire.Array, 2, 1, 3, After("wk-p-last", "wk-p-first")))
				pipelineTroubles[trouble](s, at)
				s.Start()
				s.Run(200)
				what := fmt.Sprintf("%s, %s is cancelled at %.1f (seed %d)", trouble, stage, at, seed)
				for _, wrong := range s.verdict(true) {
					t.Errorf("%s: %s", what, wrong)
				}
				for _, id := range append(ids, "wk-p-more") {
					if s.Told(id) == "" { // its user gave up in the outage, or that of one that it needs
						continue
					}
					if want := s.cancelledAbove(id, 0) || s.Told("wk-p-"+stage) == wire.Withdrawn && id == "wk-p-"+stage; want != (s.Told(id) == wire.Withdrawn) {
						t.Errorf("%s: %s is %s", what, id, s.Told(id))
					}
					ends[s.Told(id)]++
				}
			}
		}
	}
	if ends[wire.Done] < 300 || ends[wire.Withdrawn] < 300 {
		t.Errorf("ends %v: too few to tell", ends)
	}
}

// askForAll asks a controller about all jobs that were accepted.
func (s *Sim) askForAll(node string) {
	for _, id := range slices.Sorted(maps.Keys(s.subs)) {
		if s.told[id] != "" {
			s.again(node, "ask", s.subs[id])
		}
	}
}

// randomPipelines submits some pipelines of random form: each stage needs one to three of
// those before it; some stages are cancelled, late, or need something that is long over.
func (s *Sim) randomPipelines(r *rand.Rand) {
	for p := range 2 + r.IntN(3) {
		at := 5 + 25*r.Float64()
		for i := range 3 + r.IntN(4) {
			id := fmt.Sprintf("wk-p%d-%d", p, i)
			var needs []string
			for range min(i, 1+r.IntN(3)) {
				needs = append(needs, fmt.Sprintf("wk-p%d-%d", p, r.IntN(i)))
			}
			shape, tasks, due := wire.Array, 1+r.IntN(5), 60+60*r.Float64()
			if r.IntN(4) == 0 {
				shape, tasks = wire.Gang, 2
			}
			s.submitOnceAccepted(at+0.1*float64(i), Spec(id, shape, tasks, 1, 2+6*r.Float64(), func(x *wire.Submission) {
				x.Awaits, x.Due = needs, &due
			}))
			if r.IntN(10) == 0 {
				s.Abort(at+30*r.Float64(), id)
			}
			if r.IntN(6) == 0 {
				at += 30 * r.Float64()
			}
		}
	}
}

// submitOnceAccepted submits as users do: as soon as those that it needs are accepted.
func (s *Sim) submitOnceAccepted(at float64, sub *wire.Submission) {
	s.At(at, func() {
		for _, need := range sub.Awaits {
			if s.told[need] == "" {
				s.submitOnceAccepted(s.now.Seconds()+0.1, sub)
				return
			}
		}
		s.submit(sub, 0)
	})
}

// Random days with pipelines among everything else.
func TestRandomPipelines(t *testing.T) { randomDays(t, *firstDay+pipelineDays) }
