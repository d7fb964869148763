package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/wire"
	"curlewspool/internal/worker"

	"github.com/fxamacker/cbor/v2"
)

// Days of the troubles that the users added (docs/design.md, "An addition to the
// rules"): machines that are deaf, late copies of reports, controllers that are
// isolated, and processes and machines that are back at once. All is done or
// cancelled, each job known again within 75 s, the largest begun in time.

// copied has each report come once more, as late as it says, from one time on.
func (s *Sim) copied(from, to float64, late ...float64) {
	s.At(from, func() {
		i := 0
		s.Copies = func() []time.Duration {
			i++
			return []time.Duration{time.Duration(late[i%len(late)] * float64(time.Second))}
		}
	})
	s.At(to, func() { s.Copies = nil })
}

// quick ends a controller that is up and has it back after a fraction of a second.
func (s *Sim) quick(at, after float64, who func() *Host) {
	s.At(at, func() {
		if h := who(); h.up {
			h.Crash()
			s.after(time.Duration(after*float64(time.Second)), h.Start)
		}
	})
}

// has lists the machines that hold tasks of a job now.
func (s *Sim) has(job string) (out []*Worker) {
	for _, id := range s.On(job) {
		out = append(out, s.Workers[id])
	}
	return out
}

// holder is the controller that owns the part of a machine.
func (s *Sim) holder(w *Worker) *Host { return s.Nodes[s.all[w.node%len(s.all)]] }

// keptDay is a short day on which troubles meet, to be read.
type keptDay struct {
	name   string
	script func(s *Sim, w []*Worker) (done []string) // which jobs are to be done, beside the workday's
	also   func(t *testing.T, s *Sim, w []*Worker)
}

// keptDays plays such days; all troubles are over at calm. All is done or cancelled in
// the end, no rule breaks, nothing is forgotten or left waiting.
func keptDays(t *testing.T, prefix string, seed uint64, until, calm float64, before func(s *Sim), days []keptDay) {
	for i, c := range days {
		t.Run(c.name, func(t *testing.T) {
			ids := []string{"wk-1", "wk-2"}
			var w []*Worker
			s := day(t, prefix+c.name, seed+uint64(i), until, func(s *Sim) {
				s.history.Calm = time.Duration(calm * float64(time.Second))
				s.watchWaiting()
				if before != nil {
					before(s)
				}
				w = workday(s)
				ids = append(ids, c.script(s, w)...)
			})
			told(t, s, wire.Done, ids...)
			told(t, s, wire.Withdrawn, "wk-3")
			for _, wrong := range s.Judge() {
				t.Error(wrong)
			}
			if c.also != nil {
				c.also(t, s, w)
			}
		})
	}
}

func TestAddition(t *testing.T) {
	keptDays(t, "addition-", 200, 330, 52, (*Sim).longLeases, []keptDay{
		{"deaf-for-ever", func(s *Sim, w []*Worker) []string {
			s.At(10, func() { s.Deafen(w[0].Addr(), true) })
			s.At(110, func() { s.Trace("at 110 the deaf one is gone: %v", w[0].gone) })
			return burst(s, 14, 8, 6, 4)
		}, func(t *testing.T, s *Sim, w []*Worker) {
			if !strings.Contains(s.Text(), "at 110 the deaf one is gone: true") {
				t.Error("the deaf machine was not returned")
			}
		}},
		{"deaf-from-its-first-report", func(s *Sim, w []*Worker) []string {
			s.At(9, func() { s.Deafen(s.addr("w-i-007"), true); s.AddWorker("small", "a", false) })
			return burst(s, 12, 4, 6, 4)
		}, nil},
		{"deaf-for-a-moment", func(s *Sim, w []*Worker) []string {
			s.deafFor(12, 17, w[0])
			return burst(s, 14, 4, 6, 4)
		}, func(t *testing.T, s *Sim, w []*Worker) {
			if strings.Contains(s.Text(), "lease over, kills") {
				t.Error("a machine lost its lease")
			}
		}},
		{"deaf-for-nearly-a-lease", func(s *Sim, w []*Worker) []string {
			s.deafFor(12, 23, w[0])
			return burst(s, 14, 4, 6, 4)
		}, nil},
		{"deaf-and-its-owner-lost", func(s *Sim, w []*Worker) []string {
			s.At(12, func() {
				x := s.has("wk-1")[0]
				s.Deafen(x.Addr(), true)
				s.holder(x).Crash()
			})
			s.Submit(8, Spec("wk-4", wire.Array, 60, 1, 12, nil)) // some of it waits, and may be there
			return append(burst(s, 14, 3, 4, 4), "wk-4")
		}, nil},
		// Before: wk-4 waited for 190 s. No answer under the new owner's token ever came,
		// leases that reports seemed to renew did not end, and the part went from owner
		// to owner, as its machines seemed to reach each of the others.
		{"several-deaf-for-ever-and-their-owner-lost", func(s *Sim, w []*Worker) []string {
			s.At(12, func() {
				h := s.holder(s.has("wk-1")[0])
				for _, x := range w {
					if s.holder(x) == h {
						s.Deafen(x.Addr(), true)
					}
				}
				h.Crash()
			})
			s.Submit(8, Spec("wk-4", wire.Array, 60, 1, 12, nil))
			s.At(150, func() { s.Trace("at 150 wk-4 is %s", s.Told("wk-4")) })
			return append(burst(s, 14, 3, 4, 4), "wk-4")
		}, func(t *testing.T, s *Sim, w []*Worker) {
			if !strings.Contains(s.Text(), "at 150 wk-4 is done") {
				t.Error("wk-4 waited for deaf machines")
			}
		}},
		{"deaf-with-a-cancelled-job", func(s *Sim, w []*Worker) []string {
			s.At(12, func() {
				for _, x := range s.has("wk-3") {
					s.Deafen(x.Addr(), true)
				}
			})
			return burst(s, 14, 2, 4, 4)
		}, nil},
		{"deaf-with-half-a-gang", func(s *Sim, w []*Worker) []string {
			s.Submit(8, Spec("wk-4", wire.Gang, 4, 2, 8, nil))
			s.At(8.05, func() { s.Deafen(w[1].Addr(), true) })
			return append(burst(s, 14, 2, 4, 4), "wk-4")
		}, nil},
		{"a-third-is-deaf", func(s *Sim, w []*Worker) []string {
			for _, x := range w[:2] {
				s.deafFor(12, 40, x)
			}
			return burst(s, 14, 6, 6, 4)
		}, nil},
		{"copies-across-a-takeover", func(s *Sim, w []*Worker) []string {
			s.copied(6, 30, 3, 9, 20)
			s.At(12, func() { s.owner().Crash() })
			return burst(s, 14, 3, 4, 4)
		}, nil},
		{"copies-across-a-restart", func(s *Sim, w []*Worker) []string {
			s.copied(6, 30, 4, 7, 16)
			s.crash(12, 14.5, s.all...)
			return burst(s, 14, 3, 4, 4)
		}, nil},
		{"copies-of-a-deleted-machine", func(s *Sim, w []*Worker) []string {
			s.copied(6, 40, 50, 53, 56)
			s.At(13, func() { w[2].Die(); w[3].Die() })
			s.crash(45, 47.5, s.all...) // nobody remembers what was deleted
			s.At(70, func() { s.Trace("%d machines are known", s.leader().Node.Describe().Machines) })
			return burst(s, 14, 3, 4, 4)
		}, func(t *testing.T, s *Sim, w []*Worker) {
			if !strings.Contains(s.Text(), " 70.00 4 machines are known") {
				t.Error("ghosts are known as machines")
			}
		}},
		{"machine-back-at-once-and-copies", func(s *Sim, w []*Worker) []string {
			s.copied(6, 30, 1, 5, 12)
			s.At(12, func() { w[0].Back(300 * time.Millisecond) })
			s.At(13, func() { w[1].Back(60 * time.Millisecond) })
			s.At(60, func() { s.Trace("machines that came back are there: %v", !w[0].gone && !w[1].gone) })
			return burst(s, 14, 3, 6, 4)
		}, func(t *testing.T, s *Sim, w []*Worker) {
			if !strings.Contains(s.Text(), "are there: true") {
				t.Error("a machine that came back was given up")
			}
		}},
		{"isolated-leader-and-a-frozen-one", func(s *Sim, w []*Worker) []string {
			s.At(12, func() {
				s.At(40, s.Isolate(s.leader().name))
				s.owner().Freeze(9*time.Second, true)
			})
			return burst(s, 14, 3, 4, 4)
		}, nil},
		{"isolated-owner-and-a-cancellation", func(s *Sim, w []*Worker) []string {
			s.At(12, func() { s.At(50, s.Isolate(s.holder(s.has("wk-3")[0]).name)) })
			s.At(30, func() {
				for _, n := range s.all {
					s.Trace("%s is up for users: %v", n, s.Nodes[n].Node.Up())
				}
			})
			return burst(s, 14, 3, 4, 4)
		}, func(t *testing.T, s *Sim, w []*Worker) {
			if n := strings.Count(s.Text(), "is up for users: false"); n != 1 {
				t.Errorf("%d controllers are not up for users, want the isolated one alone", n)
			}
		}},
		{"isolated-again-and-again", func(s *Sim, w []*Worker) []string {
			for at := 12.0; at < 40; at += 6 {
				s.At(at, func() { s.after(3*time.Second, s.Isolate("n1")) })
			}
			return burst(s, 14, 3, 4, 4)
		}, nil},
		{"back-at-once-in-an-election", func(s *Sim, w []*Worker) []string {
			lead := ""
			s.At(12, func() { lead = s.leader().name; s.Nodes[lead].Crash() })
			for k, n := range s.all { // those who would take its place end and are back, twice
				s.quick(17+float64(k)/5, 0.2, func() *Host { return s.Nodes[n] })
				s.quick(17.9+float64(k)/5, 0.6, func() *Host { return s.Nodes[n] })
			}
			s.At(18.2, func() { s.State.Outage(4 * time.Second) })
			s.At(18.5, func() { s.Nodes[lead].Start() })
			return burst(s, 14, 3, 4, 4)
		}, nil},
		{"all-back-at-once-while-copies-come", func(s *Sim, w []*Worker) []string {
			s.copied(6, 30, 2, 8, 17)
			for k, n := range s.all {
				s.quick(12, 0.1+0.3*float64(k), func() *Host { return s.Nodes[n] })
				s.quick(15, 0.9-0.3*float64(k), func() *Host { return s.Nodes[n] })
			}
			return burst(s, 14, 3, 4, 4)
		}, nil},
		{"the-largest-among-many-small", func(s *Sim, w []*Worker) []string {
			s.Submit(10, Spec("wk-4", wire.Gang, 6, 4, 10, func(x *wire.Submission) { x.Trade = text("gangs") }))
			r := rand.New(rand.NewPCG(5, 5))
			for k := range 150 {
				s.Submit(8+float64(k)*1.7, Spec(fmt.Sprintf("wk-%d", 100+k), wire.Array, 1, 4, 6+4*r.Float64(), func(x *wire.Submission) {
					x.Trade, x.Rank = text("small"), text("high")
				}))
			}
			return []string{"wk-4"}
		}, func(t *testing.T, s *Sim, w []*Worker) {
			if n := strings.Count(s.Text(), "gang wk-4 runs"); n != 1 {
				t.Errorf("the gang began %d times", n)
			}
		}},
	})
}

// Machines answer orders and questions with what is no report, is of another machine,
// shows a token that nobody gave, or is of a session before. None ends a process or is
// taken for what became of the orders: no rule breaks, no token is drawn for it, and
// all is done once they answer well.
func TestBadOrderAnswers(t *testing.T) {
	for i, c := range []struct {
		name string
		body func(w *Worker, r *wire.Report) any
	}{
		{"nothing", func(*Worker, *wire.Report) any { return map[string]any{} }},
		{"words for numbers", func(w *Worker, _ *wire.Report) any { return map[string]any{"kiln": w.id, "shift": 0} }},
		{"another machine", func(_ *Worker, r *wire.Report) any { r.Machine = "i-999"; return r }},
		{"a token that nobody gave", func(_ *Worker, r *wire.Report) any { r.Token = 1 << 62; return r }},
		{"a session before", func(_ *Worker, r *wire.Report) any { r.Session, r.Seq = 1, 1; return r }},
	} {
		s := New(uint64(240 + i))
		s.API()
		w := fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 12, 1, 20, nil))
		s.Submit(9, Spec("wk-2", wire.Gang, 2, 2, 8, nil))
		s.Submit(9.5, Spec("wk-3", wire.Array, 8, 1, 60, nil))
		s.Abort(11, "wk-3")
		counter := uint64(0)
		s.At(8, func() {
			counter = s.State.data["a/c/token"].Stamp
			for _, x := range w[:3] {
				s.serve[x.addr] = func(method, path string, body []byte, reply func(int, any)) {
					x.serve(method, path, body, func(status int, answer any) {
						if r, ok := answer.(*wire.Report); ok && status == 200 {
							answer = c.body(x, r)
						}
						reply(status, answer)
					})
				}
			}
		})
		s.At(30, func() {
			if now := s.State.data["a/c/token"].Stamp; now != counter {
				t.Errorf("%s: a token was drawn", c.name)
			}
			for _, x := range w[:3] {
				s.serve[x.addr] = x.serve
			}
		})
		s.Start()
		s.Run(150)
		for _, b := range s.Broken {
			t.Errorf("%s: rule broken: %s", c.name, b)
		}
		told(t, s, wire.Done, "wk-1", "wk-2")
		told(t, s, wire.Withdrawn, "wk-3")
	}
}

// The judge of the addition refuses a history that breaks exactly one of its rules.
func TestJudge(t *testing.T) {
	const calm, end = 100 * time.Second, 600 * time.Second
	jobs := map[string]*wire.Job{}
	for _, j := range []wire.Job{{ID: "a", Class: "x", Team: "red", Tasks: 1}, {ID: "b", Class: "x", Team: "red", Tasks: 1}, {ID: "c", Class: "x", Team: "red", Tasks: 4},
		{ID: "d", Class: "y", Team: "red", Tasks: 2}, {ID: "e", Class: "y", Team: "blue", Tasks: 2}, {ID: "f", Class: "y", Team: "red", Tasks: 2}} {
		jobs[j.ID] = &j
	}
	// made is a day on which all is well, but for what edit changes of a job.
	made := func(edit func(id string, begins, answered *time.Duration, done *bool)) *History {
		h := &History{Calm: calm}
		for id, j := range jobs {
			begins, answered, done := 30*time.Second, end-10*time.Second, true
			edit(id, &begins, &answered, &done)
			h.asked(id, 10*time.Second)
			h.job(id).may = j.Tasks
			h.answered(id, 11*time.Second)
			for at := calm; at <= answered; at += 20 * time.Second {
				h.answered(id, at)
			}
			for k := range j.Tasks {
				h.started(worker.Task{Job: id, Index: k}, begins)
				if done {
					h.done(worker.Task{Job: id, Index: k})
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
		"a small one begins late":         {func(id string, b, _ *time.Duration, _ *bool) { late(id == "a", b) }, ""},
		"a largest begins late":           {func(id string, b, _ *time.Duration, _ *bool) { late(id == "c", b) }, "begins late: c"},
		"the only job of a team":          {func(id string, _, _ *time.Duration, d *bool) { *d = id != "e" }, "not served: team blue, 0 of 1"},
		"the largest of a class":          {func(id string, _, _ *time.Duration, d *bool) { *d = id != "c" }, "not served: largest of class x, 0 of 1"},
		"two thirds of a class": {func(id string, _, _ *time.Duration, d *bool) { *d = id != "a" && id != "b" },
			"not served: class x, 1 of 3"},
	} {
		got := strings.Join(made(c.edit).Judge(jobs, end), "; ")
		if c.want == "" && got != "" || !strings.HasPrefix(got, c.want) || strings.Contains(got, ";") {
			t.Errorf("%s: judged %q, want %q alone", name, got, c.want)
		}
	}
}

func late(is bool, begins *time.Duration) {
	if is {
		*begins = 251 * time.Second
	}
}

// A job whose record cannot be read stays known and can be cancelled: nothing that
// only one job needs may leave its users without an answer.
func TestUnreadableRecord(t *testing.T) {
	s := New(230)
	s.API()
	fleet(s, 2, 0)
	s.history.Calm = 10 * time.Second
	s.Submit(5, Spec("wk-1", wire.Array, 4, 1, 3, nil))
	s.Submit(5, Spec("wk-2", wire.Array, 40, 1, 30, nil))
	s.At(10, func() {
		s.State.rev++
		v, _ := cbor.Marshal("torn")
		e := wire.Entry{Key: "a/j/wk-2", Value: v, Stamp: s.State.rev}
		s.State.data[e.Key] = e
		s.State.log = append(s.State.log, wire.Change{Put: e.Key, Value: v, Stamp: e.Stamp})
	})
	s.crash(12, 14, s.all...) // nobody remembers what it was
	s.Abort(200, "wk-2")
	s.Start()
	s.Run(195)
	if wrong := s.Judge(); strings.Contains(fmt.Sprint(wrong), "forgotten") {
		t.Error(wrong)
	}
	s.Run(260)
	told(t, s, wire.Done, "wk-1")
	told(t, s, wire.Withdrawn, "wk-2")
	if len(s.Broken) > 0 {
		t.Error(s.Broken)
	}
}

// Reports that are not of the protocol's form get 400; those that prove nothing get
// 503 or 421 and are not acted on: no token is drawn, no machine recorded, none that
// works taken for another. A number that jumps ahead is in order.
func TestBadReports(t *testing.T) {
	s := New(231)
	s.API()
	w := fleet(s, 4, 0)
	s.Submit(5, Spec("wk-1", wire.Array, 8, 1, 20, nil))
	good := func(edit func(r *wire.Report)) *wire.Report {
		r := &wire.Report{Machine: w[0].id, Address: w[0].addr, Type: "small", Zone: "a", Session: 1, Seq: 1, Tasks: []wire.TaskReport{}}
		edit(r)
		return r
	}
	nan := math.NaN()
	counter := uint64(0)
	s.At(9.9, func() { counter = s.State.data["a/c/token"].Stamp })
	for i, c := range []struct {
		name string
		body any
		want string
	}{
		{"nothing", map[string]any{}, "400"},
		{"not a map", []int{1, 2}, "400"},
		{"words for numbers", map[string]any{"kiln": w[0].id, "shift": "one"}, "400"},
		{"no machine", good(func(r *wire.Report) { r.Machine = "" }), "400"},
		{"no address", good(func(r *wire.Report) { r.Address = "" }), "400"},
		{"no session", good(func(r *wire.Report) { r.Session = 0 }), "400"},
		{"a notice that is no time", good(func(r *wire.Report) { r.Notice = &nan }), "400"},
		{"older than what is known", good(func(r *wire.Report) {}), "503 421"},
		{"a token that nobody gave", good(func(r *wire.Report) { r.Seq, r.Token = 1000, 1<<62 }), "503 421"},
		{"a machine that is not there", good(func(r *wire.Report) { r.Machine, r.Address = "i-999", "w-i-999" }), "503 421"},
	} {
		for _, n := range s.all {
			s.At(10+float64(i)/10, func() {
				s.call("test", s.api(n), "POST", "/v1/report", c.body, nil, 5*time.Second, func(status int) {
					if !strings.Contains(c.want, fmt.Sprint(status)) || status == 0 {
						t.Errorf("%s gets %d of %s, want %s", c.name, status, n, c.want)
					}
				})
			})
		}
	}
	s.At(14, func() {
		if now := s.State.data["a/c/token"].Stamp; now != counter {
			t.Error("a token was drawn for a report that proves nothing")
		}
		w[1].seq += 1000
	})
	s.At(25, func() {
		for _, n := range s.names() {
			d := s.Nodes[n].Node.Describe()
			if d.Machines != 4 {
				t.Errorf("%s knows %d machines, 4 are there", n, d.Machines)
			}
			for _, p := range d.Parts {
				if len(p.Deaf) > 0 || p.Silent > 0 {
					t.Errorf("part %d: deaf %v, silent %d", p.Part, p.Deaf, p.Silent)
				}
			}
		}
	})
	s.Start()
	s.Run(60)
	told(t, s, wire.Done, "wk-1")
	if n := strings.Count(s.Text(), "starts wk-1/"); n != 8 || len(s.Broken) > 0 {
		t.Errorf("%d starts of 8 tasks, broken %v", n, s.Broken)
	}
}

// The judge says so when a job waits beside room for it: here as nobody is there who
// could start it.
func TestLeftWaitingIsTold(t *testing.T) {
	s := New(3)
	s.API()
	fleet(s, 3, 0)
	s.history.Calm = 14 * time.Second
	s.watchWaiting()
	s.Submit(5, Spec("wk-1", wire.Array, 30, 1, 10, nil))
	s.crash(12, 130, s.all...)
	s.Start()
	s.Run(200)
	if got := strings.Join(s.Judge(), "; "); !strings.Contains(got, "left waiting: wk-1 for 1m") {
		t.Errorf("the judge says %q", got)
	}
	told(t, s, wire.Done, "wk-1")
}
