// Package fleet deals with the cloud for the leader: what to rent for work
// that found no room, and what to delete.
package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// Gap is queued work without room.
type Gap struct {
	Job    *wire.Job
	Tasks  int
	Waited float64   // since its submission
	Starts float64   // seconds until it is expected to start where it waits; 0: not known
	Due    []float64 // seconds after submission by which it should be done, rising
	// Free, of a gang, is how many of its tasks would start in each zone now, in its part.
	Free map[string]int
}

// Busy is what runs now, of spot jobs and of others.
type Busy struct {
	Work  float64 // cores times run time that spot jobs may still take
	Cores float64 // that other jobs hold
	Deaf  float64 // cores of machines that hear nothing
}

// Known is a machine with a record.
type Known struct {
	ID  string
	Rec *part.MachineRecord
}

// Fleet belongs to the leader; a new leader starts an empty one and learns
// what boots from the cloud's list.
type Fleet struct {
	w    world.World
	s    *settings.Settings
	addr string
	name string // prefix of request names, never used before
	n    int

	types   map[string]*wire.MachineType
	booting map[string]booting
	late    map[string]bool // of them, those that are overdue
	deleted map[string]time.Duration
	unsure  []*unsure // rentals without answer: asked again under their name
	refused map[option]refusal
	seen    map[string]time.Duration // machines: when last listed

	budget   float64
	budgetAt time.Duration
	listAt   time.Duration
	listing  bool
	page     []wire.ListedMachine
	renting  int
	deleting bool
	spared   bool
	coming   func(rank int) float64
}

type booting struct {
	option
	since time.Duration
	found bool // up already when it was first listed, so not known to be rented
}

// New makes the fleet of a leader; token makes its request names unique.
func New(w world.World, s *settings.Settings, token uint64) *Fleet {
	return &Fleet{w: w, s: s, addr: s.Services.Cloud, name: fmt.Sprintf("r-%s-%d", s.Name, token),
		booting: map[string]booting{}, deleted: map[string]time.Duration{}, refused: map[option]refusal{}, seen: map[string]time.Duration{},
		budget: s.Deployment.Cloud.RPS, listAt: -time.Hour, coming: func(int) float64 { return 0 }}
}

// Gone tells whether the machine was deleted for certain.
func (f *Fleet) Gone(id string) bool { return f.deleted[id] != 0 }

// Rented tells whether the machine is known to have been rented, by this
// leader or, from the list while it booted, by an earlier one; or may have
// been, by a rental whose answer is missing.
func (f *Fleet) Rented(id string) bool {
	if b, ok := f.booting[id]; ok {
		return !b.found
	}
	return f.n > 0 || len(f.unsure) > 0
}

func (f *Fleet) spend() bool {
	now := f.w.Now()
	rate := f.s.Deployment.Cloud.RPS / 2
	f.budget = min(rate*2, f.budget+rate*(now-f.budgetAt).Seconds())
	f.budgetAt = now
	if f.budget < 1 {
		return false
	}
	f.budget--
	return true
}

const timeout = 4 * time.Second

// Tick rents, lists and deletes. retiring are the machines that their owners
// want deleted; coming is how many cores the spot work of higher ranks than one
// will take that has yet to come; found is told each list, forget machines that
// are surely gone.
func (f *Fleet) Tick(types map[string]*wire.MachineType, known []Known, retiring map[string]bool, gaps []Gap, busy Busy,
	coming func(rank int) float64, found func([]wire.ListedMachine), forget func(ids []string)) {
	f.types, f.coming = types, coming
	now := f.w.Now()
	records := map[string]*part.MachineRecord{}
	for _, k := range known {
		records[k.ID] = k.Rec
		delete(f.booting, k.ID)
	}
	f.remove(records, retiring, now, forget)
	f.list(records, now, found)
	f.late = f.overdue(len(known), now)
	f.rent(known, retiring, gaps, busy, now)
}

// Spared tells that spot jobs are in time without ordinary machines that were
// rented: those take no more of them, empty, and are returned.
func (f *Fleet) Spared() bool { return f.spared }

// Spend adds what the machines that boot cost in a time: those that are in time, and
// those that are overdue (see longBoot), whether they come after all or never.
func (f *Fleet) Spend(took time.Duration, to part.Spent) {
	now := f.w.Now()
	for _, b := range f.booting {
		t := f.types[b.typ]
		if t == nil || b.found {
			continue
		}
		cause := "boot"
		if b.slow(t, now) {
			cause = "overdue"
		}
		to[cause] += t.Rate(b.spot) * took.Hours()
	}
}

// bootingIDs lists the machines that boot in the order of their names: sums over them
// are rounded alike in every run.
func (f *Fleet) bootingIDs() []string { return slices.Sorted(maps.Keys(f.booting)) }

// Coming is how many cores boot, and in how many seconds they should be up, on
// average.
func (f *Fleet) Coming() (cores, in float64) {
	now, sum := f.w.Now(), 0.0
	for _, id := range f.bootingIDs() {
		b := f.booting[id]
		if t := f.types[b.typ]; t != nil && !f.late[id] {
			cores += t.Cores
			sum += t.Cores * max(0, t.Boot-(now-b.since).Seconds())
		}
	}
	return cores, sum / max(cores, 1)
}
