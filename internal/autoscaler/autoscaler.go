// Package autoscaler is the leader's client of the cloud's API (PROTOCOL, "Controller
// nodes -> cloud"). It scales out by renting machines for work that no shard can place. It
// scales in by deleting machines that their shards have retired, that failed, that are missing
// from the cloud's list of machines or that did not boot in time. It reads that list regularly.
//
//   - autoscaler.go: the Autoscaler and its reconciliation round.
//   - inventory.go, scalein.go: reading the cloud's list, and deleting machines.
//   - demand.go, arrivals.go: capacity needed by waiting and by expected spot jobs.
//   - scaleout.go, offering.go, zones.go: choosing the machines to rent for waiting work.
//   - rental.go, booting.go: rental requests, and machines that are booting.
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

// UnplacedWork is a queued job, or some tasks of a queued job, for which the shard has no capacity.
type UnplacedWork struct {
	Job   *protocol.Job
	Tasks int // number of waiting tasks
	// WaitedSeconds is the time since the job was submitted.
	WaitedSeconds float64
	// StartsInSeconds is the expected time until the work starts without new machines; 0: unknown.
	StartsInSeconds float64
	// DeadlineSeconds lists the job's deadlines, as times after submission, in ascending order.
	DeadlineSeconds []float64
	// StartableTasksByZone is set for a gang with a zone constraint. It counts, by zone, the tasks
	// that could start now on the free capacity of its shard.
	StartableTasksByZone map[string]int
}

// cores returns the number of cores that the waiting tasks take in total. For a task with more GPUs
// than cores, the number of GPUs is counted instead.
func (u *UnplacedWork) cores() float64 {
	return float64(u.Tasks) * max(u.Job.Cores, u.Job.GPUs)
}

// estimateSeconds returns the estimated run time of a task, at least one second.
func (u *UnplacedWork) estimateSeconds() float64 { return max(u.Job.Estimate, 1) }

// RunningLoad summarizes the running jobs and the unreachable machines, which reduce the capacity
// that is left for waiting work.
type RunningLoad struct {
	SpotCoreSeconds  float64 // cores times expected remaining run time of the running spot jobs
	OnDemandCores    float64 // cores held by jobs that may not use spot machines
	UnreachableCores float64 // cores of machines behind an inbound partition
}

// KnownMachine is a machine that has a record in the key-value store.
type KnownMachine struct {
	ID     string
	Record *shard.MachineRecord
}

// ClusterState is the input of one reconciliation round.
type ClusterState struct {
	MachineTypes map[string]*protocol.MachineType
	Machines     []KnownMachine
	Retiring     map[string]bool // machines that their shards have retired
	Unplaced     []UnplacedWork
	Running      RunningLoad
	// ExpectedCores returns the number of cores that future submissions of spot jobs with higher
	// priorities than the given one are expected to take.
	ExpectedCores func(priority int) float64
}

// records returns the machine records by machine ID.
func (s *ClusterState) records() map[string]*shard.MachineRecord {
	records := make(map[string]*shard.MachineRecord, len(s.Machines))
	for _, machine := range s.Machines {
		records[machine.ID] = machine.Record
	}
	return records
}

// Callbacks receive the results of requests to the cloud. Both run on the controller's event loop.
type Callbacks struct {
	Listed  func(machines []protocol.ListedMachine) // called with a complete list of machines
	Deleted func(ids []string)                      // called with machines whose deletion is confirmed
}

// Autoscaler rents and deletes machines for the cluster. It runs on the leader. A new leader
// starts with an empty Autoscaler and learns from the cloud's list which machines are booting.
type Autoscaler struct {
	env           env.Environment
	settings      *settings.Settings
	cloudAddress  string
	requestPrefix string // prefix of the IDs of rental requests, unique to this leader
	requestCount  int    // new rental requests made, not counting retries

	machineTypes map[string]*protocol.MachineType
	booting      map[string]bootingMachine // the booting machines, by ID
	overdue      map[string]bool           // booting machines not counted as capacity; see findOverdue

	deletedAt       map[string]time.Duration // times of the confirmed deletions, by machine
	pendingDeletion map[string]bool          // machines that failed or are missing from the list
	isDeleting      bool

	unanswered      []*unansweredRental // rental requests to be retried with the same IDs
	backoffs        map[offering]backoff
	rentalsInFlight int
	spotSuffices    bool // result of the latest round, see SpotSuffices

	lastListedAt     map[string]time.Duration // when each machine was last listed
	listingStartedAt time.Duration            // when the latest reading of the list began
	isListing        bool
	listed           []protocol.ListedMachine // machines of the pages read so far

	requestBudget float64 // requests that may be sent now; see takeRequestBudget
	budgetUpdated time.Duration
}

// New returns the autoscaler of a leader. The leader's fencing token makes the IDs of the rental
// requests unique.
func New(environment env.Environment, settings *settings.Settings, fencingToken uint64) *Autoscaler {
	return &Autoscaler{
		env:              environment,
		settings:         settings,
		cloudAddress:     settings.Services.Cloud,
		requestPrefix:    fmt.Sprintf("r-%s-%d", settings.Name, fencingToken),
		booting:          map[string]bootingMachine{},
		deletedAt:        map[string]time.Duration{},
		pendingDeletion:  map[string]bool{},
		backoffs:         map[offering]backoff{},
		lastListedAt:     map[string]time.Duration{},
		listingStartedAt: -time.Hour,
		requestBudget:    settings.Deployment.Cloud.RPS,
	}
}

// Reconcile runs one round: it deletes, lists and rents machines as the state of the cluster
// requires. Requests that exceed the request budget are left to the next round.
func (a *Autoscaler) Reconcile(state *ClusterState, callbacks Callbacks) {
	now := a.env.Now()
	a.machineTypes = state.MachineTypes
	for _, machine := range state.Machines {
		delete(a.booting, machine.ID)
	}
	records := state.records()
	a.deleteMachines(records, state.Retiring, now, callbacks.Deleted)
	a.refreshInventory(records, now, callbacks.Listed)
	a.overdue = a.findOverdue(len(state.Machines), now)
	a.scaleOut(state, now)
}

// IsDeleted reports whether the cloud has confirmed that the machine is deleted.
func (a *Autoscaler) IsDeleted(id string) bool {
	_, deleted := a.deletedAt[id]
	return deleted
}

// MayHaveRented reports whether this leader or an earlier one may have rented the machine. A booting
// machine counts as rented unless it was already up when it was first listed. Any machine that is
// not booting may have been rented if this leader has sent a rental request.
func (a *Autoscaler) MayHaveRented(id string) bool {
	if machine, ok := a.booting[id]; ok {
		return !machine.foundRunning
	}
	return a.requestCount > 0 || len(a.unanswered) > 0
}

// SpotSuffices reports whether spot jobs meet their deadlines without the rented on-demand
// machines. These machines then take no more spot jobs and are deleted when they are empty.
func (a *Autoscaler) SpotSuffices() bool { return a.spotSuffices }

// maxBudgetSeconds is the time in seconds in which the request budget's token bucket fills up.
const maxBudgetSeconds = 2

// takeRequestBudget takes one request from a token bucket that fills at half of the cloud's
// rate limit, which is the leader's share. It returns false if the bucket is empty.
func (a *Autoscaler) takeRequestBudget() bool {
	now := a.env.Now()
	rate := a.settings.Deployment.Cloud.RPS / 2
	a.requestBudget = min(rate*maxBudgetSeconds, a.requestBudget+rate*(now-a.budgetUpdated).Seconds())
	a.budgetUpdated = now
	if a.requestBudget < 1 {
		return false
	}
	a.requestBudget--
	return true
}

// bootingMachineIDs returns the IDs of the booting machines in sorted order, so that sums over
// these machines are rounded the same way in every run.
func (a *Autoscaler) bootingMachineIDs() []string { return slices.Sorted(maps.Keys(a.booting)) }
