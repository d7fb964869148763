package standin

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/mesh"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
)

// Days on which two troubles meet (docs/recovery.md, "Meetings").

// gap is the users' meeting: the state service refuses some controllers alone, others
// confirm cancellations, and then it is down for all for longer than cancel_s, while
// workers keep reporting to those. Times in seconds.
type gap struct {
	refused func(s *Sim) []string // who is refused
	length  float64               // for so long, from gapAt on
	outage  float64               // all are from then on; 0: from right after a renewal of theirs on
	twice   bool                  // all of it once more
	only    bool                  // half of the machines reach only those
	slow    float64               // their requests for changes get no answer for so long after
	answers float64               // the state service's answers to all are so late until it is down
	held    float64               // orders of that time reach their machines so late
	back    bool                  // they end in the middle and are back at once
	clocks  float64               // how far they are off
	said    bool                  // they hear from the others what was cancelled
	edit    func(s *Sim)
	timing  func(s *Sim)
}

const gapAt = 20.0

// tight leaves a third as much for a grant as the lease: about as in the users' large
// deployments. tighter leaves a tenth.
func (s *Sim) tight()   { s.timing(3, 15.5, 28) }
func (s *Sim) tighter() { s.timing(3, 15.5, 18) }

func (s *Sim) timing(report, lease, cancel float64) {
	for _, n := range s.all {
		d := &s.Nodes[n].set.Deployment.Workers
		d.Report, d.Lease, d.Cancel = report, lease, cancel
	}
}

func (g *gap) play(seed uint64) *Sim {
	s := New(seed)
	s.API()
	if g.timing == nil {
		g.timing = (*Sim).tight
	}
	g.timing(s)
	if g.edit != nil {
		g.edit(s)
	}
	w := fleet(s, 9, 0)
	for _, x := range w {
		x.Rate = 1 - g.clocks
	}
	for _, n := range s.all {
		s.Nodes[n].Rate = 1 - g.clocks
	}
	lasts := 1.2 * s.S.Deployment.Workers.Cancel
	s.Unsaid = !g.said // so that the bound holds by itself
	// Cancelled before, in and after the refusal; one job before the service is down.
	at := []float64{-0.1, 0.1, 0.3, 0.6, 0.9, 1.2}
	for i, x := range at {
		id := fmt.Sprintf("wk-%d", i+1)
		s.Submit(4+float64(i)/4, Spec(id, wire.Array, 6, 1, 300, nil))
		s.Abort(gapAt+x*g.length, id)
	}
	s.Submit(gapAt-0.4, Spec("wk-9", wire.Array, 8, 0.5, 300, nil)) // on its way when it is cancelled
	s.Abort(gapAt+0.2, "wk-9")
	s.meet(g, w, gapAt, lasts)
	end := gapAt + g.length + lasts
	if g.twice {
		s.Submit(end+5, Spec("wk-7", wire.Array, 18, 1, 300, nil))
		s.Submit(end+5, Spec("wk-8", wire.Array, 18, 1, 300, nil))
		s.Abort(end+20.2, "wk-7")
		s.Abort(end+21, "wk-8")
		s.meet(g, w, end+20, lasts)
		end += 20 + g.length + lasts
	}
	s.Start()
	s.Run(end + 40)
	return s
}

func (s *Sim) meet(g *gap, w []*Worker, at, lasts float64) {
	down := false
	if g.answers > 0 {
		s.At(at-5, func() {
			s.State.Slow = func(string) time.Duration { return time.Duration(s.rnd.Float64() * g.answers * float64(time.Second)) }
		})
	}
	outage := func() {
		s.State.Slow = nil
		if !down {
			down = true
			s.State.Outage(time.Duration(lasts * float64(time.Second)))
		}
	}
	if g.held > 0 {
		s.late(at-0.41, at+g.length, 1, g.held/2, 3*g.held/2, "/orders")
	}
	s.At(at, func() {
		refused := g.refused(s)
		for _, n := range refused {
			s.Refuse(n, "state", true)
			s.after(time.Duration(g.length*float64(time.Second)), func() { s.Refuse(n, "state", false) })
			if g.back {
				s.after(time.Duration(g.length/2*float64(time.Second)), func() {
					s.Nodes[n].Crash()
					s.after(300*time.Millisecond, s.Nodes[n].Start)
				})
			}
		}
		for i, x := range w {
			for _, n := range s.all {
				if g.only && i%2 == 0 && !slices.Contains(refused, n) {
					s.cut(x.Addr(), n)
					s.cut(x.Addr(), s.api(n))
				}
			}
		}
		to := s.now + time.Duration((g.length+g.slow)*float64(time.Second))
		s.Late = append(s.Late, func(from, path string, _ []byte) (time.Duration, bool) {
			return time.Second, g.slow > 0 && s.now < to && strings.HasPrefix(path, "/changes") && slices.Contains(refused, from)
		})
		after := s.now + time.Duration((g.length+max(0, g.slow-1))*float64(time.Second))
		s.OnCall = func(from, _, path string) {
			if g.outage == 0 && !down && s.now > after && strings.HasSuffix(path, "/touch") && slices.Contains(refused, from) {
				s.after(5*time.Millisecond, outage) // it has been carried out
			}
		}
	})
	if g.outage > 0 {
		s.At(at+g.outage, outage)
	}
}

// late has a share of the requests to a path get no answer for a time, and be carried
// out from least to most seconds later.
func (s *Sim) late(from, to, share, least, most float64, paths ...string) {
	s.Late = append(s.Late, func(_, path string, _ []byte) (time.Duration, bool) {
		now := s.now.Seconds()
		if now < from || now >= to || !slices.Contains(paths, path) || s.rnd.Float64() >= share {
			return 0, false
		}
		return time.Duration((least + (most-least)*s.rnd.Float64()) * float64(time.Second)), true
	})
}

// repeated has a share of the orders to machines arrive again, least to most seconds
// after they were carried out.
func (s *Sim) repeated(from, to, share, least, most float64) {
	s.At(from, func() {
		s.Twice = func(to string) time.Duration {
			if !strings.Contains(to, "w-i-") || s.rnd.Float64() >= share {
				return 0
			}
			return time.Duration((least + (most-least)*s.rnd.Float64()) * float64(time.Second))
		}
	})
	s.At(to, func() { s.Twice = nil })
}

func theLeader(s *Sim) []string  { return []string{s.leader().name} }
func theLargest(s *Sim) []string { return []string{s.largest().name} }
func both(s *Sim) []string       { return []string{s.leader().name, s.largest().name} }

// largest is the owner of most machines but the leader.
func (s *Sim) largest() *Host {
	best, most := s.leader(), -1
	for _, n := range s.names() {
		all := 0
		for _, p := range s.Nodes[n].Node.Describe().Parts {
			all += p.Machines
		}
		if h := s.Nodes[n]; h != s.leader() && all > most {
			best, most = h, all
		}
	}
	return best
}

// The sweep: who is refused, for how long (fractions of the grant's life, both sides
// of it), when the service is down for all relative to that, once and twice, with
// controllers that are back at once, machines that reach only those, requests for
// changes without an answer while renewals pass, clocks apart, and settings that leave
// little for a grant. All that was confirmed is gone within cancel_s of true time, and
// nothing of it starts later, also after the outage.
func TestGap(t *testing.T) { gapSweep(t, 700, func(*Sim) {}) }

func gapSweep(t *testing.T, seed uint64, edit func(*Sim)) {
	try := func(what string, g gap) {
		seed++
		g.edit = edit
		s := g.play(seed)
		for _, b := range s.Broken {
			t.Errorf("%s (seed %d): %s", what, seed, b)
		}
		for _, i := range []int{1, 2, 3, 4, 5, 6, 9} {
			if id := fmt.Sprintf("wk-%d", i); s.Told(id) != wire.Withdrawn {
				t.Errorf("%s: %s is %q, was to be cancelled", what, id, s.Told(id))
			}
		}
	}
	life := 11.2 // about, under tight
	for name, who := range map[string]func(*Sim) []string{"leader": theLeader, "largest owner": theLargest, "both": both} {
		for _, share := range []float64{0.1, 0.3, 0.6, 0.9, 1.1} {
			for _, only := range []bool{false, true} {
				what := fmt.Sprintf("%s refused for %.1f of the grant, only %v", name, share, only)
				try(what+", down from a renewal on", gap{refused: who, length: share * life, only: only})
				try(what+", twice", gap{refused: who, length: share * life, only: only, outage: share*life - 0.1, twice: true})
			}
		}
		for _, slow := range []float64{2, 8, 30} {
			try(fmt.Sprintf("%s refused, then without changes for %v s", name, slow), gap{refused: who, length: 3, slow: slow, only: slow > 5})
		}
		try(name+" back in the middle", gap{refused: who, length: 6, back: true, only: true})
		for _, answers := range []float64{0.4, 1.4} {
			try(fmt.Sprintf("%s refused, answers up to %v s late", name, answers), gap{refused: who, length: 9, answers: answers, only: true})
		}
		for _, held := range []float64{2, 9} {
			try(fmt.Sprintf("%s refused, orders %v s late", name, held), gap{refused: who, length: 5, held: held, only: held > 5})
		}
		try(name+", clocks slow", gap{refused: who, length: 10, clocks: settings.Drift, only: true})
		for _, outage := range []float64{0, 1.5} {
			try(name+", little time", gap{refused: who, length: 1.8, outage: outage, only: true, timing: (*Sim).tighter})
		}
	}
}

// Who is refused alone hears from the others what was cancelled: it halts that at once,
// starts none of it and tells its users, however old its cache is and becomes. (Without
// the word it went on starting tasks for report_s, and what ran went with its leases, up
// to cancel_s later: TestGap has the word lost in all its days.)
func TestWordOfACancellation(t *testing.T) {
	without := time.Duration(0)
	for seed := uint64(1200); seed < 1206; seed++ {
		for _, said := range []bool{true, false} {
			g := gap{refused: both, length: 5, outage: 4.5, said: said, timing: (*Sim).longLeases}
			s := g.play(seed)
			for _, b := range s.Broken {
				t.Errorf("seed %d: %s", seed, b)
			}
			for _, id := range []string{"wk-2", "wk-3", "wk-4", "wk-5", "wk-6", "wk-9"} {
				p := s.history.job(id)
				if !said {
					without = max(without, p.on)
					continue
				}
				// The next direct order; one that is on its way comes before it.
				if p.on > 2*time.Second || p.late > 0 {
					t.Errorf("seed %d: %s was on machines for %v after its cancellation, %d of its tasks came after it", seed, id, p.on, p.late)
				}
			}
		}
	}
	if without < 10*time.Second {
		t.Errorf("without the word at most %v: nothing was to be gained on these days", without)
	}
}

// The users' sequence, to be read. Their own words: it broke most schedulers.
func TestMeetingGap(t *testing.T) {
	g := gap{refused: theLeader, length: 10, only: true}
	s := g.play(699)
	same(t, "meeting-gap", s.Text())
	for _, b := range s.Broken {
		t.Errorf("rule broken: %s", b)
	}
}

// A part is taken by force from an owner that is well and learns of it late (its
// requests for changes get no answer for some seconds), and in between a single task
// that may be anywhere is accepted by that owner: the answer to its own write is its
// only news. The taker, for whom the record is newer than its key, starts the task at
// once. Found by reading: both started it.
func TestTakenBeforeItsRecord(t *testing.T) {
	for seed := uint64(720); seed < 740; seed++ {
		s := New(seed)
		s.API()
		w := fleet(s, 9, 0)
		for _, n := range s.all {
			s.Nodes[n].set.Dispatch.Anywhere = 0
		}
		s.Submit(5, Spec("wk-1", wire.Array, 3, 1, 4, nil))
		var old *Host
		taker, k := "", int32(0)
		s.At(11, func() {
			old = s.owner()
			k = int32(old.Node.Describe().Parts[0].Part)
			for _, n := range s.all {
				if h := s.Nodes[n]; h != old && h != s.leader() {
					taker = n
				}
			}
			if taker == "" || old == s.leader() {
				t.Fatal("no controllers to play it with")
			}
			for _, x := range w[:6] { // the old owner alone reaches most machines
				if s.holder(x) == old {
					s.cut(x.Addr(), taker)
					s.cut(x.Addr(), s.api(taker))
				}
			}
			s.Late = append(s.Late, func(from, path string, _ []byte) (time.Duration, bool) {
				return 0, s.now < 15*time.Second && from == old.name && strings.HasPrefix(path, "/changes")
			})
		})
		s.Submit(11.05, Spec("wk-2", wire.Array, 1, 1, 4, nil)) // ends the watch that is open
		s.At(11.5, func() {
			s.Nodes[taker].Node.Heard(&mesh.Envelope{From: s.leader().name, Body: &mesh.Envelope_Assign{Assign: &mesh.Assign{Part: k}}})
		})
		for i := range 6 {
			id := fmt.Sprintf("wk-s%d", i)
			s.At(11.55+float64(i)/20, func() {
				sub := Spec(id, wire.Array, 1, 1, 20, nil)
				s.jobs[id], _ = sub.Check()
				s.call("user", s.api(old.name), "POST", "/v2/runs", sub, nil, 5*time.Second, func(status int) {
					s.Trace("%s accepted: %d", id, status)
				})
			})
		}
		s.Start()
		s.Run(60)
		for _, b := range s.Broken {
			t.Errorf("seed %d: rule broken: %s", seed, b)
		}
		if !strings.Contains(s.Text(), "starts wk-s0/0") || !strings.Contains(s.Text(), "starts wk-s5/0") {
			t.Errorf("seed %d: not all of the single tasks started", seed)
		}
	}
}

// Each meeting once, short enough to be read. All is done or cancelled in the end, no
// rule breaks, nothing is forgotten.
func TestMeetings(t *testing.T) {
	keptDays(t, "meeting-", 756, 260, 70, nil, []keptDay{
		// Launches and halts reach their machine 5 s late, one of them after the session
		// that they are for; answers of others are lost though they were carried out.
		{"orders-held-up", func(s *Sim, w []*Worker) []string {
			s.late(7.9, 9, 1, 5, 5, "/orders")
			s.late(12, 16, 0.5, 0.001, 0.002, "/orders")
			s.Submit(8, Spec("wk-4", wire.Array, 6, 1, 10, nil))
			s.Submit(12, Spec("wk-5", wire.Gang, 2, 2, 6, nil))
			s.cutFor(10, 27, s.links(w[0]))
			return []string{"wk-4", "wk-5"}
		}, nil},
		// A is refused until B has its part, B ends, A takes it back, all within seconds;
		// then all end and one returns before the others.
		{"there-and-back", func(s *Sim, w []*Worker) []string {
			a := s.all[1]
			s.At(9, func() { s.Refuse(a, "state", true) })
			s.At(14.6, func() { s.Refuse(a, "state", false) })
			s.At(14.8, func() {
				for _, n := range s.all {
					if n != a {
						s.Nodes[n].Crash()
						s.after(700*time.Millisecond, s.Nodes[n].Start)
					}
				}
			})
			s.Submit(11, Spec("wk-4", wire.Array, 6, 1, 10, nil))
			s.crash(24, 24.3, "n2")
			s.crash(24, 31, "n0", "n1")
			return []string{"wk-4"}
		}, nil},
		// The leader ends while machines with long tasks are out of reach, for longer than
		// a lease of others: what may be there counts until its lease is proven over.
		{"leader-lost-machines-out-of-reach", func(s *Sim, w []*Worker) []string {
			s.At(12, func() {
				h := s.leader()
				h.Crash()
				s.after(30*time.Second, h.Start)
			})
			s.At(10, func() {
				for _, n := range s.all { // only the end of its lease proves what is gone
					s.cut(n, "cloud")
				}
			})
			s.cutFor(11.5, 45, s.links(w[0]))
			s.deafFor(11.5, 45, w[3])
			return nil
		}, func(t *testing.T, s *Sim, w []*Worker) {
			// 14 s after the grant that may have answered it last, not before.
			for _, task := range []string{"wk-1/0", "wk-1/1"} {
				if n := strings.Count(s.Text(), "starts "+task+"\n"); n < 1 || n > 2 {
					t.Errorf("%s started %d times", task, n)
				}
			}
		}},
		// Users cancel and ask while the state service answers up to 1.8 s late, refuses
		// the leader alone and then everybody.
		{"slow-then-refused", func(s *Sim, w []*Worker) []string {
			s.At(8, func() {
				s.State.Slow = func(string) time.Duration { return time.Duration(1.8 * s.rnd.Float64() * float64(time.Second)) }
			})
			s.At(20, func() { s.State.Slow = nil })
			s.At(16, func() {
				n := s.leader().name
				s.Refuse(n, "state", true)
				s.after(8*time.Second, func() { s.Refuse(n, "state", false) })
			})
			s.At(21, func() { s.State.Outage(40 * time.Second) })
			return nil
		}, nil},
		// Half of the transactions get no answer and are carried out 2 to 12 s later: of
		// acceptances, cancellations, ends, progress and owners that change.
		{"late-writes", func(s *Sim, w []*Worker) []string {
			s.late(7, 26, 0.5, 2, 12, "/multi")
			s.Submit(9, Spec("wk-4", wire.Array, 5, 1, 4, nil))
			s.Submit(11, Spec("wk-5", wire.Gang, 2, 2, 4, nil))
			s.At(14, func() { s.owner().Crash() })
			s.At(17, s.Start)
			return []string{"wk-4", "wk-5"}
		}, nil},
		// The leader is cut from the state service and the others; workers and users
		// still reach it. wk-3 and wk-4 are cancelled through the new one; asked, the old
		// one tells nobody that they are pending or run.
		{"leader-isolated", func(s *Sim, w []*Worker) []string {
			s.Submit(8, Spec("wk-4", wire.Array, 4, 1, 60, nil))
			old := ""
			s.At(11, func() {
				old = s.leader().name
				s.after(40*time.Second, s.Isolate(old))
			})
			s.Abort(14, "wk-4")
			for at := 16.0; at < 45; at += 3 {
				s.At(at, func() {
					for _, id := range []string{"wk-3", "wk-4"} {
						out := &wire.JobState{}
						s.call("user", s.api(old), "GET", "/v2/runs/"+id, nil, out, 2*time.Second, func(status int) {
							if status == 200 && out.Status != wire.Withdrawn && s.Told(id) == wire.Withdrawn {
								s.broken("went_back: the isolated one says %s is %s", id, out.Status)
							}
						})
					}
				})
			}
			return nil
		}, func(t *testing.T, s *Sim, w []*Worker) { told(t, s, wire.Withdrawn, "wk-4") }},
		// Tasks that end 4, 16 and 28 s after their start, over two changes of leader, an
		// array, a gang and single tasks of a rush.
		{"ends-far-apart", func(s *Sim, w []*Worker) []string {
			s.Apart = map[string]float64{"apart": 3}
			apart := func(x *wire.Submission) { x.Trade = text("apart") }
			for _, n := range s.all {
				s.Nodes[n].set.Dispatch.Anywhere = 0
			}
			s.Submit(8, Spec("wk-4", wire.Array, 3, 1, 4, apart))
			s.Submit(9, Spec("wk-5", wire.Array, 2, 1, 8, apart))
			s.Submit(9, Spec("wk-6", wire.Gang, 2, 1, 6, nil))
			s.Submit(9, Spec("wk-7", wire.Array, 1, 1, 14, nil))
			s.quick(12, 0.4, s.leader)
			s.quick(22, 6, s.leader)
			return []string{"wk-4", "wk-5", "wk-6", "wk-7"}
		}, func(t *testing.T, s *Sim, w []*Worker) {
			for _, id := range []string{"wk-4", "wk-5", "wk-7"} {
				if n, all := strings.Count(s.Text(), "starts "+id+"/"), s.jobs[id].Tasks; n != all {
					t.Errorf("%d starts of %d tasks of %s: an end was lost", n, all, id)
				}
			}
		}},
		// Each report comes again, seconds to more than a lease later, over a change of
		// owner, a session's end and a gang's second attempt, and the cancellation of a job
		// some of whose tasks are done.
		{"old-reports", func(s *Sim, w []*Worker) []string {
			s.copied(6, 45, 2, 7, 16, 25)
			s.Submit(8, Spec("wk-4", wire.Gang, 2, 2, 12, nil))
			s.Submit(8, Spec("wk-5", wire.Array, 8, 1, 9, nil))
			s.cutFor(13, 29, s.links(w[0]))
			s.At(16, func() { s.owner().Crash() })
			s.At(26, s.Start)
			s.Abort(18.5, "wk-5")
			return []string{"wk-4"}
		}, nil},
		// All orders arrive again, up to 12 s after they were carried out, while work of a
		// lower rank is stopped for two gangs and begins elsewhere. Found by this day: a
		// copy of a launch started a task again that had been stopped and reaped.
		{"orders-repeated", func(s *Sim, w []*Worker) []string {
			s.repeated(4, 40, 1, 0.2, 12)
			low := func(x *wire.Submission) {
				m, v := 4.0, 1.0
				x.Mark, x.Stow, x.Rank = &m, &v, text("best_effort")
			}
			high := func(x *wire.Submission) { x.Rank = text("high") }
			s.Submit(8, Spec("wk-4", wire.Array, 8, 1, 20, low))
			s.Submit(14, Spec("wk-5", wire.Gang, 2, 4, 6, high))
			s.Submit(20, Spec("wk-6", wire.Gang, 3, 4, 6, high))
			return []string{"wk-4", "wk-5", "wk-6"}
		}, nil},
	})
}

// writes are the kinds of transactions, told by what they change.
var writes = []struct {
	name string
	is   func(o []wire.Op) bool
}{
	{"an acceptance or a move", func(o []wire.Op) bool { return puts(o, "a/j/") }},
	{"an end", func(o []wire.Op) bool { return puts(o, "d/") }},
	{"progress", func(o []wire.Op) bool { return puts(o, "a/p/") }},
	{"progress that is removed", func(o []wire.Op) bool { return deletes(o, "a/p/") }},
	{"a roster", func(o []wire.Op) bool { return puts(o, "a/m/") }},
	{"a claim and its token", func(o []wire.Op) bool { return puts(o, "a/o/") && puts(o, "a/c/") }},
	{"a release", func(o []wire.Op) bool { return deletes(o, "a/o/") }},
	{"a sign of life", func(o []wire.Op) bool { return puts(o, "a/h/") }},
}

func puts(ops []wire.Op, under string) bool {
	return slices.ContainsFunc(ops, func(o wire.Op) bool { return strings.HasPrefix(o.Put, under) })
}

func deletes(ops []wire.Op, under string) bool {
	return slices.ContainsFunc(ops, func(o wire.Op) bool { return strings.HasPrefix(o.Delete, under) })
}

// Each kind of write late by 2 to 12 s, alone and in pairs: half of those that are made
// in 30 s get no answer, while parts change hands by a refusal, a crash and a release,
// machines are rented and lent, and jobs are accepted, moved, cancelled and done.
func TestLateWrites(t *testing.T) {
	if testing.Short() {
		t.Skip("some seconds")
	}
	seen := map[string]int{}
	for i := range writes {
		for k := i; k < len(writes); k++ {
			name := writes[i].name + " and " + writes[k].name
			s := New(uint64(900 + 10*i + k))
			s.API()
			w := workday(s)
			s.Cloud.Left["small/a/false"] = 3
			s.Late = append(s.Late, func(_, path string, body []byte) (time.Duration, bool) {
				var x wire.Txn
				if path != "/multi" || s.now < 7*time.Second || s.now > 37*time.Second || wire.Decode(body, &x) != nil {
					return 0, false
				}
				for _, kind := range []int{i, k} {
					if writes[kind].is(x.Apply) && s.rnd.IntN(2) == 0 {
						seen[writes[kind].name]++
						return time.Duration((2 + 10*s.rnd.Float64()) * float64(time.Second)), true
					}
				}
				return 0, false
			})
			s.Submit(8, Spec("wk-4", wire.Array, 12, 1, 8, nil))
			s.Submit(10, Spec("wk-5", wire.Gang, 5, 4, 6, nil)) // larger than a part
			s.Submit(12, Spec("wk-6", wire.Array, 30, 1, 6, nil))
			s.Submit(15, Spec("wk-7", wire.Array, 6, 1, 40, nil))
			s.Abort(20, "wk-7")
			s.cutFor(9, 30, [][2]string{{"n0", "n2"}}) // signs of life
			s.At(11, func() { s.Refuse("n1", "state", true) })
			s.At(17, func() { s.Refuse("n1", "state", false) })
			s.At(14, func() { w[5].Die() })
			s.quick(22, 0.5, s.owner)
			s.quick(28, 4, s.leader)
			s.Start()
			s.Run(200)
			for _, b := range s.Broken {
				t.Errorf("%s: rule broken: %s", name, b)
			}
			for _, id := range []string{"wk-1", "wk-2", "wk-4", "wk-5", "wk-6"} {
				if got := s.Told(id); got != wire.Done {
					t.Errorf("%s: %s is %q", name, id, got)
				}
			}
			for _, id := range []string{"wk-3", "wk-7"} {
				if got := s.Told(id); got != wire.Withdrawn {
					t.Errorf("%s: %s is %q, was to be cancelled", name, id, got)
				}
			}
		}
	}
	for _, kind := range writes {
		if seen[kind.name] == 0 {
			t.Errorf("no write was late that is %s", kind.name)
		}
	}
	t.Logf("late: %v", seen)
}
