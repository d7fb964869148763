package standin

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// Meetings of what is told late with what has become of it meanwhile: answers, news and
// reports that are true of a moment that is over (docs/recovery.md, "Meetings").

// slowAt has the state service carry out requests at once and answer those for the path
// up to so many seconds late.
func (s *Sim) slowAt(path string, r *rand.Rand, from, to, most float64) {
	s.At(from, func() {
		s.State.Slow = func(p string) time.Duration {
			if !strings.HasPrefix(p, path) {
				return 0
			}
			return time.Duration((0.2 + (most-0.2)*r.Float64()) * float64(time.Second))
		}
	})
	s.At(to, func() { s.State.Slow = nil })
}

// onMove calls f at once for each job of which a chunk moves, from a time on.
func (s *Sim) onMove(from float64, f func(id string)) {
	seen, read := map[string]bool{}, 0
	var look func()
	look = func() {
		for ; read < len(s.State.log); read++ {
			if id, ok := strings.CutPrefix(s.State.log[read].Put, part.JobKey("")); ok {
				if seen[id] && s.aborted[id] == 0 {
					f(id)
				}
				seen[id] = true
			}
		}
		s.after(2*time.Millisecond, look)
	}
	s.At(from, look)
}

// uneven has some parts full for longer than they seemed to be, so that chunks move.
func (s *Sim) uneven() {
	s.Overruns = map[string]float64{"long": 6}
	for i := range 24 {
		s.Submit(5+float64(i)/2, Spec(fmt.Sprintf("wk-%d", i+1), wire.Array, 4+i%3, 1, 6, func(x *wire.Submission) {
			if i%3 == 0 {
				x.Trade = text("long")
			}
		}))
	}
}

// uncurrent lists what controllers have in their caches that the state service does not
// have, or has otherwise, and what their parts have of jobs that are over, when all has
// been calm for long.
func (s *Sim) uncurrent() (wrong []string) {
	for _, n := range s.names() {
		l := s.Nodes[n].Node.Ledger()
		mine := 0
		for _, k := range s.State.keys("a/") {
			mine++
			if e, ok := l.Get(k); !ok || e.Stamp != s.State.data[k].Stamp {
				wrong = append(wrong, fmt.Sprintf("%s has not %s as it is", n, k))
			}
		}
		if l.Loaded() && l.Cached() > mine {
			wrong = append(wrong, fmt.Sprintf("%s has %d keys, there are %d", n, l.Cached(), mine))
		}
		for _, p := range s.Nodes[n].Node.Describe().Parts {
			if p.Jobs > len(s.State.keys(part.JobKey(""))) {
				wrong = append(wrong, fmt.Sprintf("part %d of %s has %d jobs, there are %d", p.Part, n, p.Jobs, len(s.State.keys(part.JobKey("")))))
			}
		}
	}
	return wrong
}

// echoes are the same for random days; see meetings.
var echoes = []meeting{
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
func TestRandomEchoes(t *testing.T) { randomDays(t, *firstDay+echoDays) }

// A chunk moves to another part, the state service carries that out at once and answers
// late, and in between the job is called off through another controller. The mover, who
// had been told of the deletion, took the answer for news: the job lived on in its cache
// for good, was asked for and told as pending, and was started again.
func TestCalledOffWhileItMoves(t *testing.T) {
	met := 0
	for seed := uint64(1400); seed < 1412; seed++ {
		s := New(seed)
		s.API()
		fleet(s, 9, 0)
		s.State.Slow = func(path string) time.Duration {
			if path == "/multi" {
				return 700 * time.Millisecond
			}
			return 0
		}
		s.Unsaid = seed%2 == 1 // the word of the cancellation covers most of it
		s.uneven()
		s.onMove(6, func(id string) {
			met++
			s.abort(id)
		})
		s.Start()
		s.Run(120)
		for _, b := range s.Broken {
			t.Errorf("seed %d: rule broken: %s", seed, b)
		}
		for id, at := range s.aborted {
			if p := s.history.job(id); at > 1 && p.late > 0 {
				t.Errorf("seed %d: %d tasks of %s began after its cancellation", seed, p.late, id)
			}
		}
		for _, x := range s.uncurrent() {
			t.Errorf("seed %d: %s", seed, x)
		}
	}
	if met < 10 {
		t.Errorf("%d chunks moved and were called off, too few to tell", met)
	}
}

// lateWrites has a share of the transactions that change something of a kind get no
// answer and be carried out least to most seconds later.
func (s *Sim) lateWrites(from, to, share, least, most float64, is func(o []wire.Op) bool) (met *int) {
	met = new(int)
	s.Late = append(s.Late, func(_, path string, body []byte) (time.Duration, bool) {
		var x wire.Txn
		if now := s.now.Seconds(); path != "/multi" || now < from || now > to || wire.Decode(body, &x) != nil || !is(x.Apply) || s.rnd.Float64() >= share {
			return 0, false
		}
		*met++
		return time.Duration((least + (most-least)*s.rnd.Float64()) * float64(time.Second)), true
	})
	return met
}

// A chunk's move gets no answer and is carried out seconds later. Nothing of the chunk may
// start where it was until it is known what became of the move: given up as one that was
// not made, it came true after its tasks had started there, and they started again in the
// other part.
func TestMovesCarriedOutLate(t *testing.T) {
	met := 0
	for seed := uint64(1420); seed < 1432; seed++ {
		s := New(seed)
		s.API()
		fleet(s, 9, 0)
		s.uneven()
		moved := s.lateWrites(6, 60, 0.8, 2, 12, func(o []wire.Op) bool {
			return len(o) > 0 && strings.HasPrefix(o[0].Put, part.JobKey("")) && s.State.data[o[0].Put].Stamp > 0
		})
		s.Start()
		s.Run(150)
		met += *moved
		for _, b := range s.Broken {
			t.Errorf("seed %d: rule broken: %s", seed, b)
		}
		for id := range s.jobs {
			told(t, s, wire.Done, id)
		}
	}
	if met < 20 {
		t.Errorf("%d moves were late, too few to tell", met)
	}
}

// The first record of where a job may be gets no answer, a copy of it does, and newer ones
// follow that name a machine which has come up since; then the first is carried out after
// all, the owner ends, and that machine reaches nobody while others have room. The older
// record must not take the newer one's place: what runs there would be started again.
func TestRecordsCarriedOutLate(t *testing.T) {
	met := 0
	for seed := uint64(1440); seed < 1446; seed++ {
		s := New(seed)
		s.API()
		fleet(s, 3, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 14, 1, 60, nil))
		late := s.lateWrites(5, 6.5, 1, 9, 9, func(o []wire.Op) bool { return puts(o, "a/p/wk-1") })
		var w *Worker
		s.At(7, func() { w = s.AddWorker("small", "a", false) })
		s.At(16.5, func() {
			if len(w.tasks) == 0 {
				t.Fatalf("seed %d: nothing runs on the new machine", seed)
			}
			s.Trace("%s is out of reach", w.id)
			for _, p := range s.links(w) {
				s.cut(p[0], p[1])
			}
			for _, n := range s.all {
				s.Nodes[n].Crash()
				s.after(time.Second, s.Nodes[n].Start)
			}
			for range 6 { // room in each part
				s.AddWorker("small", "a", false)
			}
			s.after(40*time.Second, func() {
				for _, p := range s.links(w) {
					s.heal(p[0], p[1])
				}
			})
		})
		s.Start()
		s.Run(600)
		met += *late
		for _, b := range s.Broken {
			t.Errorf("seed %d: rule broken: %s", seed, b)
		}
		told(t, s, wire.Done, "wk-1")
	}
	if met == 0 {
		t.Error("no record was late")
	}
}

// A cancellation meets the end of the job's last task, gets no answer and is carried out
// seconds later, when users have been told that the job is done: it stays so.
func TestCancellationsCarriedOutLate(t *testing.T) {
	ends := map[string]int{}
	for i := range 40 {
		s := New(uint64(1460 + i))
		s.API()
		fleet(s, 3, 0)
		sub := Spec("wk-1", wire.Array, 2, 1, 5, nil)
		s.Submit(5, sub)
		late := s.lateWrites(6, 40, 1, 1, 4, func(o []wire.Op) bool {
			var f part.Final
			return puts(o, "d/") && wire.Decode(o[0].Value, &f) == nil && f.Status == wire.Withdrawn
		})
		s.OnEnd = func(string) { // while its end is being stored, and before and after
			s.after(time.Duration(i)*2*time.Millisecond, func() { s.again(s.all[i%3], "cancel", sub) })
		}
		for k := range 40 {
			s.At(12+float64(k)/4, func() { s.again(s.all[k%3], "ask", sub) })
		}
		s.Start()
		s.Run(40)
		for _, b := range s.Broken {
			t.Errorf("%d ms after the end: rule broken: %s", 2*i, b)
		}
		if *late > 0 {
			ends[s.Told("wk-1")]++
		}
	}
	if ends[wire.Done] < 3 {
		t.Errorf("ends %v of cancellations that were late: the meeting was not met", ends)
	}
}
