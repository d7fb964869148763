package autoscaler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

func newTestAutoscaler() *Autoscaler {
	return &Autoscaler{settings: &settings.Settings{Operators: settings.Defaults()}, expectedCores: func(int) float64 { return 0 }, booting: map[string]bootingMachine{}, machineTypes: map[string]*protocol.MachineType{
		"quick": {Name: "quick", Cores: 10, MemoryGB: 99, BootSeconds: 20, Zones: []string{"a"}},
		"slow":  {Name: "slow", Cores: 4, MemoryGB: 99, BootSeconds: 50, Zones: []string{"a"}},
	}}
}

func upMachines(n int, spot bool) []KnownMachine {
	var out []KnownMachine
	for i := 0; i < n; i++ {
		out = append(out, KnownMachine{fmt.Sprintf("%v-%d", spot, i), &shard.MachineRecord{Type: "quick", Zone: "a", Spot: spot}})
	}
	return out
}

func array(tasks int, estimate, waited float64, due ...float64) UnplacedWork {
	return UnplacedWork{Job: &protocol.Job{Shape: protocol.ShapeArray, Cores: 1, MemoryGB: 1, AllowSpot: true, Estimate: estimate}, Tasks: tasks, WaitedSeconds: waited, DeadlineSeconds: due}
}

// Ordinary machines are rented for spot work by what is due, not by what waits:
// found on grown days, where hundreds were rented for a first rush.
func TestDemand(t *testing.T) {
	for _, c := range []struct {
		name        string
		known       []KnownMachine
		gaps        []UnplacedWork
		busy        RunningLoad
		quick, slow bool // more of the type are wanted
		spared      bool
	}{
		{"nothing waits", upMachines(2, true), nil, RunningLoad{}, false, false, true},
		{"in time on spot machines", upMachines(4, true), []UnplacedWork{array(100, 30, 0, 300)}, RunningLoad{}, false, false, true},
		{"late without more", upMachines(1, true), []UnplacedWork{array(100, 30, 0, 180)}, RunningLoad{}, true, true, false},
		{"due before a slow machine is up for long", upMachines(1, true), []UnplacedWork{array(100, 30, 0, 110)}, RunningLoad{}, true, false, false},
		{"too late for either: the next deadline counts", upMachines(1, true), []UnplacedWork{array(20, 30, 80, 110, 500)}, RunningLoad{}, false, false, true},
		{"in time only with the ordinary ones that are there", append(upMachines(1, true), upMachines(3, false)...),
			[]UnplacedWork{array(100, 30, 0, 150)}, RunningLoad{}, false, false, false},
		{"gangs hold the ordinary ones", append(upMachines(1, true), upMachines(3, false)...),
			[]UnplacedWork{array(100, 30, 0, 150)}, RunningLoad{OnDemandCores: 30}, true, true, false},
	} {
		d := newTestAutoscaler().estimateDemand(c.known, nil, c.gaps, c.busy, 0)
		if quick, slow := d.missingCores(20) > 0, d.missingCores(50) > 0; quick != c.quick || slow != c.slow || d.onDemandSurplus != c.spared {
			t.Errorf("%s: quick %v, slow %v, spared %v; want %v, %v, %v", c.name, quick, slow, d.onDemandSurplus, c.quick, c.slow, c.spared)
		}
	}
}

// What waits with a low rank is late though it would be in time on what is
// there: work of a higher rank keeps coming and goes first. Found on days of
// the fleet's size, where member-billing waited for minutes beside hundreds of
// ordinary machines that nobody rented.
func TestDemandIncludesExpectedArrivals(t *testing.T) {
	waits := []UnplacedWork{array(100, 30, 0, 180)}
	for _, c := range []struct {
		coming float64
		lacks  bool
	}{{0, false}, {30, true}} {
		f := newTestAutoscaler()
		f.expectedCores = func(rank int) float64 {
			if rank > 0 {
				return 0
			}
			return c.coming
		}
		if d := f.estimateDemand(upMachines(4, true), nil, waits, RunningLoad{}, 0); d.missingCores(50) > 0 != c.lacks {
			t.Errorf("with %v cores' worth to come, more machines are wanted: %v", c.coming, !c.lacks)
		}
		waits[0].Job.Priority = 1 // ahead of what comes
		if d := f.estimateDemand(upMachines(4, true), nil, waits, RunningLoad{}, 0); d.missingCores(50) > 0 {
			t.Error("work that goes first waits for nobody")
		}
		waits[0].Job.Priority = 0
	}
}

func TestArrivalRate(t *testing.T) {
	a := NewArrivalRate(120 * time.Second)
	j := func(rank, tasks int, spot bool) *protocol.Job {
		return &protocol.Job{Priority: rank, Tasks: tasks, Cores: 2, Estimate: 10, AllowSpot: spot}
	}
	now := time.Hour
	a.Record(j(1, 1000, true), now-115*time.Second, now) // the rush at the start
	for s := 5; s < 110; s += 10 {
		a.Record(j(1, 5, true), now-time.Duration(s)*time.Second, now) // 10 cores' worth
		a.Record(j(1, 50, false), now-time.Duration(s)*time.Second, now)
	}
	a.Record(j(1, 9999, true), now-10*time.Minute, now) // long ago
	a.Record(j(1, 9999, true), now+time.Minute, now)    // a clock ahead
	if got := a.CoresAboveRank(0, now); got < 9 || got > 11 {
		t.Errorf("%v cores above the lowest rank, want about 10", got)
	}
	if got := a.CoresAboveRank(1, now); got != 0 {
		t.Errorf("%v cores above rank 1, want none", got)
	}
	if got := a.CoresAboveRank(0, now+time.Hour); got != 0 {
		t.Errorf("an hour later still %v cores", got)
	}
}

// fakeCloud is a cloud that has no spot machines and plenty of ordinary ones.
type fakeCloud struct {
	emptyZone string // zone without machines
	now       time.Duration
	calls     []protocol.RentalRequest
}

func (w *fakeCloud) Now() time.Duration             { return w.now }
func (w *fakeCloud) Wall() time.Time                { return time.Unix(0, 0) }
func (w *fakeCloud) Rand() *rand.Rand               { return rand.New(rand.NewPCG(1, 2)) }
func (w *fakeCloud) After(time.Duration, func())    {}
func (w *fakeCloud) Send(string, *peermsg.Envelope) {}
func (w *fakeCloud) Call(_, _, path string, in, out any, _ time.Duration, done func(int)) {
	r, ok := in.(*protocol.RentalRequest)
	if !ok {
		return
	}
	w.calls = append(w.calls, *r)
	if r.Spot || w.emptyZone == r.Zone {
		done(503)
		return
	}
	for i := 0; i < r.Count; i++ {
		out.(*protocol.MachineIDList).Machines = append(out.(*protocol.MachineIDList).Machines, fmt.Sprintf("%s.%d", r.RequestID, i))
	}
	done(200)
}

// A spot market that is empty is asked for one machine at a time and does not
// keep ordinary ones from being rented.
func TestScaleOutWhenSpotMarketIsEmpty(t *testing.T) {
	s := &settings.Settings{Operators: settings.Defaults()}
	s.Deployment.Cloud.RPS, s.Deployment.Cloud.ListLag, s.Deployment.Workers.Lease = 100, 1000, 10
	w := &fakeCloud{}
	f := New(w, s, 1)
	f.lastListing = 0
	types := map[string]*protocol.MachineType{"quick": {Name: "quick", Cores: 10, MemoryGB: 99, OnDemandPrice: 1, SpotPrice: 0.3, BootSeconds: 20, Zones: []string{"a"}}}
	ordinary, most := 0, 0
	for i := 0; i < 60; i++ {
		w.now += time.Second
		f.Reconcile(types, nil, nil, []UnplacedWork{array(300, 30, 0, 180)}, RunningLoad{}, func(int) float64 { return 0 }, func([]protocol.ListedMachine) {}, func([]string) {})
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
func TestOverdueMachinesAreReplaced(t *testing.T) {
	for _, c := range []struct{ up, late, want int }{{38, 2, 2}, {0, 40, 2}} {
		s := &settings.Settings{Operators: settings.Defaults()}
		s.Deployment.Cloud.RPS, s.Deployment.Cloud.ListLag, s.Deployment.Workers.Lease = 100, 1000, 10
		w := &fakeCloud{}
		f := New(w, s, 1)
		types := map[string]*protocol.MachineType{"quick": {Name: "quick", Cores: 10, MemoryGB: 99, OnDemandPrice: 1, BootSeconds: 20, Zones: []string{"a", "b"}}}
		for i := range c.late {
			f.booting[fmt.Sprint("i-", i)] = bootingMachine{offering{"quick", "a", false}, 0, false}
		}
		var up []KnownMachine
		for i := range c.up {
			up = append(up, KnownMachine{fmt.Sprint("u-", i), &shard.MachineRecord{Type: "quick", Zone: "a"}})
		}
		whole := UnplacedWork{Job: &protocol.Job{Shape: protocol.ShapeArray, Cores: 10, MemoryGB: 1, Estimate: 30}, Tasks: c.late}
		asked := map[int]string{}
		for i := 1; i <= 60; i++ {
			w.now = time.Duration(i) * time.Second
			f.Reconcile(types, up, nil, []UnplacedWork{whole}, RunningLoad{}, func(int) float64 { return 0 }, func([]protocol.ListedMachine) {}, func([]string) {})
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
func TestScaleOutForZoneBoundGangs(t *testing.T) {
	for _, c := range []struct {
		name   string
		gang   protocol.Job
		waited float64
		free   map[string]int
		none   string // the cloud has no machine in this zone
		want   string // zones rented in
	}{
		{"apart, one free", protocol.Job{Tasks: 2, SpreadZones: true}, 5, map[string]int{"a": 2}, "", "b"},
		{"apart, none free", protocol.Job{Tasks: 4, SpreadZones: true}, 5, nil, "", "aabb"},
		{"apart, one free where the cloud has none", protocol.Job{Tasks: 3, SpreadZones: true}, 5, map[string]int{"a": 1}, "a", "bb"},
		{"in one zone, new", protocol.Job{Tasks: 2, SingleZone: true}, 5, map[string]int{"b": 1}, "", "aa"},
		{"in one zone, late, one free", protocol.Job{Tasks: 3, SingleZone: true}, 60, map[string]int{"b": 1}, "", "bb"},
		{"in one zone, late, one free where the cloud has none", protocol.Job{Tasks: 2, SingleZone: true}, 60, map[string]int{"a": 1}, "a", "bb"},
		{"anywhere, late", protocol.Job{Tasks: 2}, 60, nil, "", "aa"},
	} {
		s := &settings.Settings{Operators: settings.Defaults()}
		s.Deployment.Cloud.RPS, s.Deployment.Cloud.ListLag, s.Deployment.Workers.Lease = 100, 1000, 10
		w := &fakeCloud{emptyZone: c.none}
		f := New(w, s, 1)
		types := map[string]*protocol.MachineType{"quick": {Name: "quick", Cores: 10, MemoryGB: 99, OnDemandPrice: 1, BootSeconds: 20, Zones: []string{"a", "b"}}}
		c.gang.Shape, c.gang.Cores, c.gang.MemoryGB, c.gang.Estimate = protocol.ShapeGang, 10, 1, 30
		got := ""
		for range 14 { // before any is up
			w.now += time.Second
			f.Reconcile(types, nil, nil, []UnplacedWork{{Job: &c.gang, Tasks: c.gang.Tasks, WaitedSeconds: c.waited, FreeSlotsByZone: c.free}}, RunningLoad{},
				func(int) float64 { return 0 }, func([]protocol.ListedMachine) {}, func([]string) {})
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
