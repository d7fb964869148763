package standin

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/wire"
)

var update = flag.Bool("update", false, "write the traces anew")

// day plays a scenario and compares its trace with the kept one.
func day(t *testing.T, name string, seed uint64, until float64, script func(s *Sim)) *Sim {
	t.Helper()
	s := New(seed)
	s.API()
	script(s)
	s.Start()
	s.Run(until)
	for _, b := range s.Broken {
		t.Errorf("rule broken: %s", b)
	}
	same(t, name, s.Text())
	return s
}

// same compares a trace with the kept one.
func same(t *testing.T, name, text string) {
	t.Helper()
	file := "testdata/" + name + ".trace"
	if *update {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got := text; got != string(want) {
		a, b := strings.Split(got, "\n"), strings.Split(string(want), "\n")
		for i := range a {
			if i >= len(b) || a[i] != b[i] {
				t.Fatalf("%s: line %d differs:\n got %s\nwant %s", file, i+1, a[i], strings.Join(b[min(i, len(b)-1):min(i+1, len(b))], ""))
			}
		}
		t.Fatalf("%s: the trace is shorter than the kept one", file)
	}
}

func fleet(s *Sim, smalls, bigs int) (ids []*Worker) {
	for i := 0; i < smalls; i++ {
		ids = append(ids, s.AddWorker("small", []string{"a", "b"}[i%2], false))
	}
	for i := 0; i < bigs; i++ {
		ids = append(ids, s.AddWorker("big", []string{"a", "b"}[i%2], false))
	}
	return ids
}

func told(t *testing.T, s *Sim, want string, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if got := s.Told(id); got != want {
			t.Errorf("%s: its user was told %q, want %q", id, got, want)
		}
	}
}

// cutFor parts pairs of hosts from one time to another, in seconds.
func (s *Sim) cutFor(from, to float64, pairs [][2]string) {
	s.At(from, func() {
		for _, p := range pairs {
			s.Cut(p[0], p[1])
		}
	})
	s.At(to, func() {
		for _, p := range pairs {
			s.Heal(p[0], p[1])
		}
	})
}

// links are a machine's ways to and from all controllers.
func (s *Sim) links(w *Worker) (pairs [][2]string) {
	for _, n := range s.all {
		pairs = append(pairs, [2]string{w.Addr(), s.api(n)}, [2]string{w.Addr(), s.addr(n)})
	}
	return pairs
}

func text(s string) *string { return &s }

// All shapes on a quiet day; machines are rented for what finds no room.
func TestNormalDay(t *testing.T) {
	s := day(t, "normal", 1, 120, func(s *Sim) {
		fleet(s, 6, 1)
		s.Cloud.Left["small/a/true"] = 3
		s.Submit(5, Spec("wk-1", wire.Array, 12, 1, 10, nil))
		s.Submit(6, Spec("wk-2", wire.Gang, 3, 3, 10, func(x *wire.Submission) { yes := true; x.Together = &yes }))
		s.Submit(7, Spec("wk-3", wire.Service, 2, 1, 0, nil))
		s.Submit(8, Spec("wk-4", wire.Array, 40, 1, 12, nil))
		s.Submit(9, Spec("wk-5", wire.Array, 1, 40, 12, nil)) // fits no machine
		s.Submit(9, Spec("wk-6", wire.Array, 8, 1, 6, func(x *wire.Submission) { x.Crew = text("blue") }))
		s.Submit(9, Spec("wk-7", wire.Array, 1, 1, 6, func(x *wire.Submission) { x.Crew = text("nobody") }))
		s.Submit(10, Spec("wk-8", wire.Array, 5, 1, 8, func(x *wire.Submission) { yes := true; x.Apart = &yes }))
		s.Ask(15, "GET", "/v2/runs/wk-404", nil)
		s.Ask(16, "POST", "/v2/runs", map[string]any{"id": "wk-9", "cores": "x"})
		s.Ask(90, "POST", "/v2/runs", map[string]any{"id": "wk-1", "cores": "x"}) // a repeat is 200 whatever it holds
		s.Abort(60, "wk-3")
	})
	told(t, s, wire.Done, "wk-1", "wk-2", "wk-4", "wk-6", "wk-8")
	told(t, s, wire.Withdrawn, "wk-3")
	told(t, s, "", "wk-5", "wk-7")
	seen := map[string]bool{}
	for _, n := range s.Cloud.Names {
		if seen[n] {
			t.Errorf("hire name %s was used twice without need", n)
		}
		seen[n] = true
	}
	if len(seen) == 0 {
		t.Error("nothing was rented")
	}
}

// A controller is lost in the middle and returns; its work goes on.
func TestControllerLost(t *testing.T) {
	s := day(t, "controller-lost", 2, 90, func(s *Sim) {
		fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 24, 1, 25, nil))
		s.At(15, func() { s.Nodes["n1"].Crash() })
		s.At(18, func() { s.Nodes["n1"].Start() })
	})
	told(t, s, wire.Done, "wk-1")
	if n := strings.Count(s.Text(), "starts wk-1/"); n != 24 {
		t.Errorf("%d starts of 24 tasks: a lost controller cost work", n)
	}
}

// One that does not return is replaced before the leases end.
func TestControllerStaysAway(t *testing.T) {
	s := day(t, "controller-away", 3, 90, func(s *Sim) {
		fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 24, 1, 25, nil))
		s.At(12, func() { s.Nodes["n0"].Crash() })
	})
	told(t, s, wire.Done, "wk-1")
	if strings.Contains(s.Text(), "lease over") {
		t.Error("workers lost their leases")
	}
}

// All controllers end at once.
func TestAllControllersCrash(t *testing.T) {
	s := day(t, "all-crash", 4, 90, func(s *Sim) {
		fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 24, 1, 25, nil))
		s.Submit(5, Spec("wk-2", wire.Array, 3, 1, 5, nil))
		s.At(20, func() {
			for _, n := range []string{"n0", "n1", "n2"} {
				s.Nodes[n].Crash()
			}
		})
		s.At(24, func() { s.Start() })
	})
	told(t, s, wire.Done, "wk-1", "wk-2")
}

// An outage shorter than the grants costs no leases and no tasks.
func TestStateOutage(t *testing.T) {
	s := day(t, "state-outage", 5, 90, func(s *Sim) {
		fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 24, 1, 25, nil))
		s.At(12, func() { s.State.Outage(10 * time.Second) })
		s.Submit(14, Spec("wk-2", wire.Array, 3, 1, 5, nil))
		s.Abort(15, "wk-1")
	})
	told(t, s, wire.Withdrawn, "wk-1")
	told(t, s, wire.Done, "wk-2")
	if strings.Contains(s.Text(), "lease over") {
		t.Error("an ordinary outage cost workers their leases")
	}
}

// An owner is cut from the state service; what it sent arrives after another
// has taken its part. Its late writes must fail.
func TestLateTransactions(t *testing.T) {
	day(t, "late-transactions", 6, 150, func(s *Sim) {
		fleet(s, 6, 0)
		for i, id := range []string{"wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6"} {
			s.Submit(4+4*float64(i), Spec(id, wire.Array, 9, 1, 14, nil))
		}
		s.At(13, func() { s.Cut("n0", "state") })
		s.Abort(15, "wk-2")
		s.At(45, func() { s.Heal("n0", "state") })
		s.At(70, func() { s.Cut("n1", "state") })
		s.At(95, func() { s.Heal("n1", "state") })
	})
}

// An owner ends between the launches of a gang's tasks: the one that was launched
// waits for a peer that nobody starts. The next owner starts the gang anew, long
// before gang_wait_s (40 s) is over.
func TestHalfAGang(t *testing.T) {
	s := day(t, "half-a-gang", 61, 60, func(s *Sim) {
		w := fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Gang, 2, 4, 10, nil))
		launches := 0
		s.OnCall = func(from, _, path string) {
			if s.now < 5*time.Second || !strings.Contains(path, "/orders") {
				return
			}
			if launches++; launches != 2 {
				return
			}
			h := s.hosts[from]
			for _, x := range w {
				s.Cut(h.name, x.Addr())
			}
			s.after(50*time.Millisecond, func() { h.Crash() })
		}
	})
	told(t, s, wire.Done, "wk-1")
	if n := strings.Count(s.Text(), "starts wk-1/"); n != 3 {
		t.Errorf("%d starts of two tasks, want three: one waited in vain", n)
	}
}

// A machine is silent past its lease: its tasks run again only then, or once
// the cloud has deleted it.
func TestSilentWorker(t *testing.T) {
	s := day(t, "silent-worker", 7, 110, func(s *Sim) {
		w := fleet(s, 4, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 16, 1, 30, nil))
		s.cutFor(12, 60, s.links(w[0]))
	})
	told(t, s, wire.Done, "wk-1")
}

// A hung machine resumes within its lease, with orders that were held back.
func TestHungWorker(t *testing.T) {
	s := day(t, "hung-worker", 8, 110, func(s *Sim) {
		w := fleet(s, 4, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 16, 1, 30, nil))
		s.Submit(8, Spec("wk-2", wire.Array, 8, 1, 10, nil))
		s.At(7, func() { w[1].Hung = true })
		s.At(16, func() { w[1].Hung = false })
		s.Abort(12, "wk-2")
	})
	told(t, s, wire.Done, "wk-1")
	told(t, s, wire.Withdrawn, "wk-2")
}

// A spot notice: what can save is stopped in time and goes on elsewhere.
func TestSpotNotice(t *testing.T) {
	s := day(t, "spot-notice", 9, 110, func(s *Sim) {
		w := s.AddWorker("small", "a", true)
		fleet(s, 2, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 12, 1, 40, func(x *wire.Submission) { m, v := 10.0, 2.0; x.Mark, x.Stow = &m, &v }))
		s.At(20, func() { w.Notice(8 * time.Second) })
	})
	told(t, s, wire.Done, "wk-1")
}

// A gang that loses a machine starts again as a whole, under a new attempt.
func TestGangLosesMachine(t *testing.T) {
	s := day(t, "gang-loses-machine", 10, 150, func(s *Sim) {
		w := fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Gang, 2, 4, 30, nil))
		s.At(16, func() {
			for _, x := range w {
				if on := s.On("wk-1"); len(on) > 0 && x.ID() == on[0] {
					x.Die()
				}
			}
		})
	})
	told(t, s, wire.Done, "wk-1")
}

// A higher rank makes room by stopping best effort work.
func TestPreemption(t *testing.T) {
	s := day(t, "preemption", 11, 120, func(s *Sim) {
		fleet(s, 3, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 12, 1, 60, func(x *wire.Submission) {
			m, v := 5.0, 1.0
			x.Mark, x.Stow, x.Rank = &m, &v, text("best_effort")
		}))
		s.Submit(15, Spec("wk-2", wire.Gang, 1, 4, 10, func(x *wire.Submission) { x.Rank = text("high") }))
	})
	told(t, s, wire.Done, "wk-2")
}

// A guest fills all machines with long tasks that save; an array of a higher rank has
// to end within a minute. Found in an incident of the operators: some core was always
// free soon, so nothing was stopped until the array was late, and then one task at a
// time.
func TestRoomForAnArray(t *testing.T) {
	s := day(t, "room-for-an-array", 18, 120, func(s *Sim) {
		fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 24, 1, 300, func(x *wire.Submission) {
			m, v := 10.0, 1.0
			x.Mark, x.Stow, x.Rank = &m, &v, text("best_effort")
		}))
		s.Submit(20, Spec("wk-2", wire.Array, 36, 1, 12, func(x *wire.Submission) { due := 60.0; x.Due = &due }))
	})
	if at := s.endedAt["wk-2"].Seconds(); at == 0 || at > 20+60+3 {
		t.Errorf("the array's user was told its end at %.1f s, want by 80 s and a poll", at)
	}
	if n := len(s.On("wk-1")); n == 0 {
		t.Error("the guest has nothing left though the array is over")
	}
}

// A faulty machine is set aside after jobs failed there that run elsewhere.
func TestFaultyMachine(t *testing.T) {
	s := day(t, "faulty-machine", 12, 120, func(s *Sim) {
		w := fleet(s, 4, 0)
		w[0].Faulty = true
		for i, id := range []string{"wk-1", "wk-2", "wk-3"} {
			s.Submit(5+float64(i), Spec(id, wire.Array, 8, 1, 8, nil))
		}
	})
	told(t, s, wire.Done, "wk-1", "wk-2", "wk-3")
	if !strings.Contains(s.Text(), "deleted i-001") {
		t.Error("the faulty machine is still there")
	}
}

// Two jobs that were submitted with a mistake fail wherever they are tried, while one
// machine is sick: it is returned, no other is, the jobs are tried ever more rarely,
// and what else there is runs as if they were not there. Found on an operations day,
// on which mistaken jobs had five healthy machines returned.
func TestMistakenJobs(t *testing.T) {
	s := day(t, "mistaken-jobs", 19, 150, func(s *Sim) {
		w := fleet(s, 8, 0)
		w[2].Faulty = true
		s.Mistaken = map[string]bool{"wk-1": true, "wk-2": true}
		s.Submit(5, Spec("wk-1", wire.Array, 40, 1, 20, nil))
		s.Submit(6, Spec("wk-2", wire.Array, 12, 1, 20, nil))
		for i, id := range []string{"wk-3", "wk-4", "wk-5", "wk-6"} {
			s.Submit(7+6*float64(i), Spec(id, wire.Array, 16, 1, 8, nil))
		}
		s.crash(30, 33, "n0", "n1", "n2") // the next owners know what the first had seen
		s.Abort(90, "wk-1")
		s.Abort(90, "wk-2")
	})
	told(t, s, wire.Done, "wk-3", "wk-4", "wk-5", "wk-6")
	told(t, s, wire.Withdrawn, "wk-1", "wk-2")
	if n := strings.Count(s.Text(), "deleted i-003"); n != 1 {
		t.Errorf("the sick machine was deleted %d times, want once", n)
	}
	if n := len(s.Failed); n > 70 {
		t.Errorf("%d starts failed of 52 tasks of mistaken jobs in 85 s", n)
	}
}

// A gang larger than any part: machines are lent to its part, and it starts
// as a whole though small work keeps all parts busy.
func TestGangAcrossParts(t *testing.T) {
	s := day(t, "gang-across-parts", 14, 120, func(s *Sim) {
		fleet(s, 6, 0)
		for i, id := range []string{"wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6"} {
			s.Submit(4+6*float64(i), Spec(id, wire.Array, 12, 1, 14, nil))
		}
		s.Submit(12, Spec("wk-7", wire.Gang, 5, 4, 10, nil))
	})
	told(t, s, wire.Done, "wk-7", "wk-1", "wk-6")
}

// Two zones cannot reach each other. The parts are owned in the zone of their
// machines, which goes on working; what the other zone accepts runs as well.
func TestZoneCut(t *testing.T) {
	s := day(t, "zone-cut", 15, 90, func(s *Sim) {
		var ws []*Worker
		for i := 0; i < 9; i++ {
			ws = append(ws, s.AddWorker("small", "b", false))
		}
		pairs := [][2]string{{"n1", "n0"}, {"n1", "n2"}}
		for _, w := range ws {
			for _, n := range []string{"n0", "n2"} {
				pairs = append(pairs, [2]string{w.Addr(), n}, [2]string{w.Addr(), "api-" + n})
			}
		}
		s.Submit(6, Spec("wk-1", wire.Array, 24, 1, 40, nil))
		s.Submit(30, Spec("wk-2", wire.Array, 4, 1, 5, nil))
		s.cutFor(20, 50, pairs)
	})
	told(t, s, wire.Done, "wk-1", "wk-2")
	if strings.Contains(s.Text(), "lease over") {
		t.Error("workers of the zone that was cut off lost their leases")
	}
	if n := strings.Count(s.Text(), "starts wk-1/"); n != 24 {
		t.Errorf("%d starts of 24 tasks", n)
	}
}

// All controllers are restarted one after the other; nothing is lost.
func TestRollingRestart(t *testing.T) {
	s := day(t, "rolling-restart", 16, 90, func(s *Sim) {
		fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 24, 1, 30, nil))
		s.Submit(14, Spec("wk-2", wire.Array, 6, 1, 5, nil))
		for i, n := range []string{"n0", "n1", "n2"} {
			s.At(10+8*float64(i), func() { s.Nodes[n].Crash() })
			s.At(13+8*float64(i), func() { s.Nodes[n].Start() })
		}
	})
	told(t, s, wire.Done, "wk-1", "wk-2")
	if n := strings.Count(s.Text(), "starts wk-1/"); n != 24 {
		t.Errorf("%d starts of 24 tasks: a restart cost work", n)
	}
}

// A team gets its guarantee though another's work of higher rank fills all
// machines; its limit of GPUs holds for all its jobs together.
func TestGuaranteeAndGPUs(t *testing.T) {
	s := day(t, "guarantee", 17, 120, func(s *Sim) {
		s.AddWorker("big", "a", false)
		green := func(x *wire.Submission) {
			four := 2.0
			x.Crew, x.GPUs = text("green"), &four
		}
		s.Submit(5, Spec("wk-1", wire.Array, 16, 1, 60, func(x *wire.Submission) { x.Rank = text("high") }))
		s.Submit(15, Spec("wk-2", wire.Array, 2, 2, 10, green))
		s.Submit(16, Spec("wk-3", wire.Array, 2, 2, 10, green))
		s.Submit(17, Spec("wk-4", wire.Gang, 3, 2, 10, green)) // six GPUs: more than the limit
	})
	told(t, s, wire.Done, "wk-2", "wk-3")
	told(t, s, "", "wk-4")
}

// After a restart of all controllers a mistaken job is tried where its tries had been,
// not at once in each part as if for the first time.
func TestMistakenJobAfterARestart(t *testing.T) {
	s := New(24)
	s.API()
	fleet(s, 6, 0)
	s.Mistaken = map[string]bool{"wk-1": true}
	s.Submit(5, Spec("wk-1", wire.Array, 40, 1, 20, nil))
	s.Submit(6, Spec("wk-2", wire.Array, 6, 1, 60, nil))
	s.crash(40, 42, s.all...)
	before, after := 0, 0
	s.At(42, func() { before = len(s.Failed) })
	s.At(48, func() { after = len(s.Failed) })
	s.Start()
	s.Run(150)
	if before == 0 || after != before {
		t.Errorf("%d failed starts before the restart, %d more soon after it, want none", before, after-before)
	}
	if n := len(s.Failed); n == after {
		t.Error("it is tried no more")
	}
	told(t, s, wire.Done, "wk-2")
}
