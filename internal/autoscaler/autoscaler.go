// Package fleet deals with the cloud for the leader: what to rent for work
// that found no room, and what to delete.
package autoscaler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// UnplacedWork is queued work without room.
type UnplacedWork struct {
	Job             *protocol.Job
	Tasks           int
	WaitedSeconds   float64   // since its submission
	StartsInSeconds float64   // seconds until it is expected to start where it waits; 0: not known
	DeadlineSeconds []float64 // seconds after submission by which it should be done, rising
	// FreeSlotsByZone, of a gang, is how many of its tasks would start in each zone now, in its part.
	FreeSlotsByZone map[string]int
}

// RunningLoad is what runs now, of spot jobs and of others.
type RunningLoad struct {
	SpotCoreSeconds  float64 // cores times run time that spot jobs may still take
	OnDemandCores    float64 // that other jobs hold
	UnreachableCores float64 // cores of machines that hear nothing
}

// KnownMachine is a machine with a record.
type KnownMachine struct {
	ID     string
	Record *shard.MachineRecord
}

// Autoscaler belongs to the leader; a new leader starts an empty one and learns
// what boots from the cloud's list.
type Autoscaler struct {
	env           env.Environment
	settings      *settings.Settings
	cloudAddress  string
	requestPrefix string // prefix of request names, never used before
	requestCount  int

	machineTypes map[string]*protocol.MachineType
	booting      map[string]bootingMachine
	overdue      map[string]bool // of them, those that are overdue
	deletedAt    map[string]time.Duration
	unanswered   []*unansweredRental // rentals without answer: asked again under their name
	backoffs     map[offering]backoff
	lastListed   map[string]time.Duration // machines: when last listed

	budget          float64
	budgetUpdated   time.Duration
	lastListing     time.Duration
	isListing       bool
	listed          []protocol.ListedMachine
	rentalsInFlight int
	isDeleting      bool
	onDemandSurplus bool
	expectedCores   func(rank int) float64
}

type bootingMachine struct {
	offering
	requestedAt  time.Duration
	foundRunning bool // up already when it was first listed, so not known to be rented
}

// New makes the fleet of a leader; token makes its request names unique.
func New(w env.Environment, s *settings.Settings, token uint64) *Autoscaler {
	return &Autoscaler{env: w, settings: s, cloudAddress: s.Services.Cloud, requestPrefix: fmt.Sprintf("r-%s-%d", s.Name, token),
		booting: map[string]bootingMachine{}, deletedAt: map[string]time.Duration{}, backoffs: map[offering]backoff{}, lastListed: map[string]time.Duration{},
		budget: s.Deployment.Cloud.RPS, lastListing: -time.Hour, expectedCores: func(int) float64 { return 0 }}
}

// IsDeleted tells whether the machine was deleted for certain.
func (f *Autoscaler) IsDeleted(id string) bool { return f.deletedAt[id] != 0 }

// MayHaveRented tells whether the machine is known to have been rented, by this
// leader or, from the list while it booted, by an earlier one; or may have
// been, by a rental whose answer is missing.
func (f *Autoscaler) MayHaveRented(id string) bool {
	if b, ok := f.booting[id]; ok {
		return !b.foundRunning
	}
	return f.requestCount > 0 || len(f.unanswered) > 0
}

func (f *Autoscaler) takeRequestBudget() bool {
	now := f.env.Now()
	rate := f.settings.Deployment.Cloud.RPS / 2
	f.budget = min(rate*2, f.budget+rate*(now-f.budgetUpdated).Seconds())
	f.budgetUpdated = now
	if f.budget < 1 {
		return false
	}
	f.budget--
	return true
}

const cloudTimeout = 4 * time.Second

// Reconcile rents, lists and deletes. retiring are the machines that their owners
// want deleted; coming is how many cores the spot work of higher ranks than one
// will take that has yet to come; found is told each list, forget machines that
// are surely gone.
func (f *Autoscaler) Reconcile(types map[string]*protocol.MachineType, known []KnownMachine, retiring map[string]bool, gaps []UnplacedWork, busy RunningLoad,
	coming func(rank int) float64, found func([]protocol.ListedMachine), forget func(ids []string)) {
	f.machineTypes, f.expectedCores = types, coming
	now := f.env.Now()
	records := map[string]*shard.MachineRecord{}
	for _, k := range known {
		records[k.ID] = k.Record
		delete(f.booting, k.ID)
	}
	f.deleteMachines(records, retiring, now, forget)
	f.refreshInventory(records, now, found)
	f.overdue = f.findOverdue(len(known), now)
	f.scaleOut(known, retiring, gaps, busy, now)
}

// HasOnDemandSurplus tells that spot jobs are in time without ordinary machines that were
// rented: those take no more of them, empty, and are returned.
func (f *Autoscaler) HasOnDemandSurplus() bool { return f.onDemandSurplus }

// AddBootCosts adds what the machines that boot cost in a time: those that are in time, and
// those that are overdue (see longBoot), whether they come after all or never.
func (f *Autoscaler) AddBootCosts(took time.Duration, to shard.CostByCause) {
	now := f.env.Now()
	for _, b := range f.booting {
		t := f.machineTypes[b.typeName]
		if t == nil || b.foundRunning {
			continue
		}
		cause := "boot"
		if b.isOverdue(t, now) {
			cause = "overdue"
		}
		to[cause] += t.HourlyPrice(b.spot) * took.Hours()
	}
}

// bootingMachineIDs lists the machines that boot in the order of their names: sums over them
// are rounded alike in every run.
func (f *Autoscaler) bootingMachineIDs() []string { return slices.Sorted(maps.Keys(f.booting)) }

// BootingCapacity is how many cores boot, and in how many seconds they should be up, on
// average.
func (f *Autoscaler) BootingCapacity() (cores, in float64) {
	now, sum := f.env.Now(), 0.0
	for _, id := range f.bootingMachineIDs() {
		b := f.booting[id]
		if t := f.machineTypes[b.typeName]; t != nil && !f.overdue[id] {
			cores += t.Cores
			sum += t.Cores * max(0, t.BootSeconds-(now-b.requestedAt).Seconds())
		}
	}
	return cores, sum / max(cores, 1)
}
