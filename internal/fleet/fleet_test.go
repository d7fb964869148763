package fleet

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/mesh"
	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
)

func cloud() *Fleet {
	return &Fleet{s: &settings.Settings{Operators: settings.Defaults()}, coming: func(int) float64 { return 0 }, booting: map[string]booting{}, types: map[string]*wire.MachineType{
		"quick": {Name: "quick", Cores: 10, Memory: 99, Boot: 20, Zones: []string{"a"}},
		"slow":  {Name: "slow", Cores: 4, Memory: 99, Boot: 50, Zones: []string{"a"}},
	}}
}

func there(n int, spot bool) []Known {
	var out []Known
	for i := 0; i < n; i++ {
		out = append(out, Known{fmt.Sprintf("%v-%d", spot, i), &part.MachineRecord{Type: "quick", Zone: "a", Spot: spot}})
	}
	return out
}

func array(tasks int, estimate, waited float64, due ...float64) Gap {
	return Gap{Job: &wire.Job{Shape: wire.Array, Cores: 1, Memory: 1, Spot: true, Estimate: estimate}, Tasks: tasks, Waited: waited, Due: due}
}

// Ordinary machines are rented for spot work by what is due, not by what waits:
// found on grown days, where hundreds were rented for a first rush.
func TestDemand(t *testing.T) {
	for _, c := range []struct {
		name        string
		known       []Known
		gaps        []Gap
		busy        Busy
		quick, slow bool // more of the type are wanted
		spared      bool
	}{
		{"nothing waits", there(2, true), nil, Busy{}, false, false, true},
		{"in time on spot machines", there(4, true), []Gap{array(100, 30, 0, 300)}, Busy{}, false, false, true},
		{"late without more", there(1, true), []Gap{array(100, 30, 0, 180)}, Busy{}, true, true, false},
		{"due before a slow machine is up for long", there(1, true), []Gap{array(100, 30, 0, 110)}, Busy{}, true, false, false},
		{"too late for either: the next deadline counts", there(1, true), []Gap{array(20, 30, 80, 110, 500)}, Busy{}, false, false, true},
		{"in time only with the ordinary ones that are there", append(there(1, true), there(3, false)...),
			[]Gap{array(100, 30, 0, 150)}, Busy{}, false, false, false},
		{"gangs hold the ordinary ones", append(there(1, true), there(3, false)...),
			[]Gap{array(100, 30, 0, 150)}, Busy{Cores: 30}, true, true, false},
	} {
		d := cloud().demand(c.known, nil, c.gaps, c.busy, 0)
		if quick, slow := d.lacks(20) > 0, d.lacks(50) > 0; quick != c.quick || slow != c.slow || d.spared != c.spared {
			t.Errorf("%s: quick %v, slow %v, spared %v; want %v, %v, %v", c.name, quick, slow, d.spared, c.quick, c.slow, c.spared)
		}
	}
}

// What waits with a low rank is late though it would be in time on what is
// there: work of a higher rank keeps coming and goes first. Found on days of
// the fleet's size, where member-billing waited for minutes beside hundreds of
// ordinary machines that nobody rented.
func TestDemandBesideWhatComes(t *testing.T) {
	waits := []Gap{array(100, 30, 0, 180)}
	for _, c := range []struct {
		coming float64
		lacks  bool
	}{{0, false}, {30, true}} {
		f := cloud()
		f.coming = func(rank int) float64 {
			if rank > 0 {
				return 0
			}
			return c.coming
		}
		if d := f.demand(there(4, true), nil, waits, Busy{}, 0); d.lacks(50) > 0 != c.lacks {
			t.Errorf("with %v cores' worth to come, more machines are wanted: %v", c.coming, !c.lacks)
		}
		waits[0].Job.Rank = 1 // ahead of what comes
		if d := f.demand(there(4, true), nil, waits, Busy{}, 0); d.lacks(50) > 0 {
			t.Error("work that goes first waits for nobody")
		}
		waits[0].Job.Rank = 0
	}
}

func TestArrivals(t *testing.T) {
	a := NewArrivals(120 * time.Second)
	j := func(rank, tasks int, spot bool) *wire.Job {
		return &wire.Job{Rank: rank, Tasks: tasks, Cores: 2, Estimate: 10, Spot: spot}
	}
	now := time.Hour
	a.Note(j(1, 1000, true), now-115*time.Second, now) // the rush at the start
	for s := 5; s < 110; s += 10 {
		a.Note(j(1, 5, true), now-time.Duration(s)*time.Second, now) // 10 cores' worth
		a.Note(j(1, 50, false), now-time.Duration(s)*time.Second, now)
	}
	a.Note(j(1, 9999, true), now-10*time.Minute, now) // long ago
	a.Note(j(1, 9999, true), now+time.Minute, now)    // a clock ahead
	if got := a.Above(0, now); got < 9 || got > 11 {
		t.Errorf("%v cores above the lowest rank, want about 10", got)
	}
	if got := a.Above(1, now); got != 0 {
		t.Errorf("%v cores above rank 1, want none", got)
	}
	if got := a.Above(0, now+time.Hour); got != 0 {
		t.Errorf("an hour later still %v cores", got)
	}
}

// asker is a cloud that has no spot machines and plenty of ordinary ones.
type asker struct {
	none  string // zone without machines
	now   time.Duration
	calls []wire.Rental
}

func (w *asker) Now() time.Duration          { return w.now }
func (w *asker) Wall() time.Time             { return time.Unix(0, 0) }
func (w *asker) Rand() *rand.Rand            { return rand.New(rand.NewPCG(1, 2)) }
func (w *asker) After(time.Duration, func()) {}
func (w *asker) Send(string, *mesh.Envelope) {}
func (w *asker) Call(_, _, path string, in, out any, _ time.Duration, done func(int)) {
	r, ok := in.(*wire.Rental)
	if !ok {
		return
	}
	w.calls = append(w.calls, *r)
	if r.Spot || w.none == r.Zone {
		done(503)
		return
	}
	for i := 0; i < r.Count; i++ {
		out.(*wire.MachineNames).Machines = append(out.(*wire.MachineNames).Machines, fmt.Sprintf("%s.%d", r.Request, i))
	}
	done(200)
}

// A spot market that is empty is asked for one machine at a time and does not
// keep ordinary ones from being rented.
func TestEmptySpotMarket(t *testing.T) {
	s := &settings.Settings{Operators: settings.Defaults()}
	s.Deployment.Cloud.RPS, s.Deployment.Cloud.ListLag, s.Deployment.Workers.Lease = 100, 1000, 10
	w := &asker{}
	f := New(w, s, 1)
	f.listAt = 0
	types := map[string]*wire.MachineType{"quick": {Name: "quick", Cores: 10, Memory: 99, Price: 1, Spot: 0.3, Boot: 20, Zones: []string{"a"}}}
	ordinary, most := 0, 0
	for i := 0; i < 60; i++ {
		w.now += time.Second
		f.Tick(types, nil, nil, []Gap{array(300, 30, 0, 180)}, Busy{}, func(int) float64 { return 0 }, func([]wire.ListedMachine) {}, func([]string) {})
	}
	for i, r := range w.calls {
		if !r.Spot {
			ordinary += r.Count
		} else if i > 0 {
			most = max(most, r.Count)
		}
	}
	if ordinary == 0 || most != 1 {
		t.Errorf("%d ordinary machines rented, want some; up to %d spot machines asked for again, want one", ordinary, most)
	}
}

// Of forty machines two never come up: what they were rented for is rented anew after
// a usual boot, not when they are given up, and in another zone. Where most are late
// few are. Found in the operators' words: some came long after the jobs needed them.
func TestOverdueBoots(t *testing.T) {
	for _, c := range []struct{ up, late, want int }{{38, 2, 2}, {0, 40, 2}} {
		s := &settings.Settings{Operators: settings.Defaults()}
		s.Deployment.Cloud.RPS, s.Deployment.Cloud.ListLag, s.Deployment.Workers.Lease = 100, 1000, 10
		w := &asker{}
		f := New(w, s, 1)
		types := map[string]*wire.MachineType{"quick": {Name: "quick", Cores: 10, Memory: 99, Price: 1, Boot: 20, Zones: []string{"a", "b"}}}
		for i := range c.late {
			f.booting[fmt.Sprint("i-", i)] = booting{option{"quick", "a", false}, 0, false}
		}
		var up []Known
		for i := range c.up {
			up = append(up, Known{fmt.Sprint("u-", i), &part.MachineRecord{Type: "quick", Zone: "a"}})
		}
		whole := Gap{Job: &wire.Job{Shape: wire.Array, Cores: 10, Memory: 1, Estimate: 30}, Tasks: c.late}
		asked := map[int]string{}
		for i := 1; i <= 60; i++ {
			w.now = time.Duration(i) * time.Second
			f.Tick(types, up, nil, []Gap{whole}, Busy{}, func(int) float64 { return 0 }, func([]wire.ListedMachine) {}, func([]string) {})
			for _, r := range w.calls {
				asked[i] += r.Zone
				if i > 30 {
					c.want -= r.Count
				}
			}
			w.calls = nil
		}
		if c.want != 0 || asked[30] != "" || !strings.HasPrefix(asked[31], "b") {
			t.Errorf("%d up, %d late: %d more or fewer than wanted, asked %v", c.up, c.late, c.want, asked)
		}
	}
}

// What is rented for a gang that is bound to zones, until all of it boots or is free:
// a machine in the zone that lacks one, not wherever it is cheapest. Found on a random
// day: a gang apart waited for ever, while machines came up in the zone that had one.
func TestGangsBoundToZones(t *testing.T) {
	for _, c := range []struct {
		name   string
		gang   wire.Job
		waited float64
		free   map[string]int
		none   string // the cloud has no machine in this zone
		want   string // zones rented in
	}{
		{"apart, one free", wire.Job{Tasks: 2, Spread: true}, 5, map[string]int{"a": 2}, "", "b"},
		{"apart, none free", wire.Job{Tasks: 4, Spread: true}, 5, nil, "", "aabb"},
		{"apart, one free where the cloud has none", wire.Job{Tasks: 3, Spread: true}, 5, map[string]int{"a": 1}, "a", "bb"},
		{"in one zone, new", wire.Job{Tasks: 2, OneZone: true}, 5, map[string]int{"b": 1}, "", "aa"},
		{"in one zone, late, one free", wire.Job{Tasks: 3, OneZone: true}, 60, map[string]int{"b": 1}, "", "bb"},
		{"in one zone, late, one free where the cloud has none", wire.Job{Tasks: 2, OneZone: true}, 60, map[string]int{"a": 1}, "a", "bb"},
		{"anywhere, late", wire.Job{Tasks: 2}, 60, nil, "", "aa"},
	} {
		s := &settings.Settings{Operators: settings.Defaults()}
		s.Deployment.Cloud.RPS, s.Deployment.Cloud.ListLag, s.Deployment.Workers.Lease = 100, 1000, 10
		w := &asker{none: c.none}
		f := New(w, s, 1)
		types := map[string]*wire.MachineType{"quick": {Name: "quick", Cores: 10, Memory: 99, Price: 1, Boot: 20, Zones: []string{"a", "b"}}}
		c.gang.Shape, c.gang.Cores, c.gang.Memory, c.gang.Estimate = wire.Gang, 10, 1, 30
		got := ""
		for range 14 { // before any is up
			w.now += time.Second
			f.Tick(types, nil, nil, []Gap{{Job: &c.gang, Tasks: c.gang.Tasks, Waited: c.waited, Free: c.free}}, Busy{},
				func(int) float64 { return 0 }, func([]wire.ListedMachine) {}, func([]string) {})
		}
		for _, r := range w.calls {
			if r.Zone != c.none {
				got += strings.Repeat(r.Zone, r.Count)
			}
		}
		if got != c.want {
			t.Errorf("%s: rented in %q, want %q", c.name, got, c.want)
		}
	}
}
