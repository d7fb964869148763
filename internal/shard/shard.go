// Package part runs one part: its queue, its machines, and what is launched
// and halted there (DESIGN; paper, section 4, "Local-Scheduler").
package shard

import (
	"log/slog"
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/faults"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// Controller is what a part needs of its controller.
type Controller interface {
	Now() time.Duration
	WallSeconds() float64
	Store() *kvstore.Store
	Settings() *settings.Settings
	MachineType(name string) *protocol.MachineType
	SendOrders(p *Shard, m *Machine)
	// CanLaunch: the grant holds and the cache is recent.
	CanLaunch() bool
	// HasDemandFor: work that waits anywhere could run on the machine; spot: also
	// work that a spot machine would do.
	HasDemandFor(m *Machine, spot bool) bool
	// LargeJobs lists the shapes of single tasks and gangs seen lately, in any part.
	LargeJobs() map[string]LargeJob
	// HasSpareFor: enough other whole machines of its type are there to be kept for
	// the job instead.
	HasSpareFor(m *Machine, j *protocol.Job) bool
	// SpotSuffices: spot jobs are in time without ordinary machines that were rented.
	SpotSuffices() bool
	// BootingCores is this part's share of the cores that boot, and in how many seconds
	// they should be up.
	BootingCores() (cores, in float64)
	// Deadlines of a job, in seconds after its submission, in rising order.
	Deadlines(j *protocol.Job) []float64
	// WithInherited gives a job's record with what it takes over from jobs that wait for it; the
	// record itself if that is nothing.
	WithInherited(rec *JobRecord) *JobRecord
	// TeamDemand is the cores and GPUs of a team's unfinished jobs.
	TeamDemand(team string) (cores, gpus float64)
	// ReassignMachine gives a machine to another part while the guard holds and ok
	// says so, asked when the write is built.
	ReassignMachine(id string, to int, guard func() protocol.Condition, ok func() bool, done func(bool))
}

// Machine is a machine of the part.
type Machine struct {
	*agent.Machine
	record        MachineRecord
	JoinedAt      time.Duration // since when it is in this part, under this owner
	free          freeCapacity  // what is free, as of version
	freeVersion   uint64        // of the runs that room was worked out for
	reservation   *freeCapacity // for the head, by the last pass
	retireReason  string
	emptySince    time.Duration // when it last became empty
	lentUntil     time.Duration // being emptied for another part until then
	handingOver   bool
	draining      bool
	fullUntil     time.Duration // refused a start: nothing more before
	suspect       bool          // likely: one task at a time is tried
	lastFailureAt time.Duration // when a task failed here last
	nextProbeAt   time.Duration // the next try, if it is sick
	cachedImages  map[string]bool
}

// Shard is owned by this controller while the ledger says so.
type Shard struct {
	ID           int
	FencingToken uint64
	Machines     map[string]*Machine
	Jobs         map[string]*QueuedJob

	controller        Controller
	guard             func() protocol.Condition
	closed            bool
	earlierOwnerBound time.Duration // latest moment at which an earlier owner could answer
	attemptCounter    uint64
	needsPass         bool
	spotFreeCores     float64      // cores free on spot machines; negative: to be counted
	machineOrder      []*Machine   // by name; nil: to be listed anew
	jobOrder          []*QueuedJob // all works by name; nil: to be listed anew
	borrowedCount     int          // works that are borrowed
	uncertainCount    int          // works that are
	acquiredAt        time.Duration

	faults             *faults.Attribution
	headJob            *QueuedJob // it waits and is reserved for
	lastPassAt         time.Duration
	estimateCorrection map[string]float64 // by class: seen run time over estimate
}

// LargeJob is a shape of job whose tasks may fill most of a machine.
type LargeJob struct {
	Job      protocol.Job
	LastSeen time.Duration
}

// New takes a part over. bound is the latest moment at which an earlier owner
// may have renewed a worker's lease.
func New(id int, token uint64, controller Controller, guard func() protocol.Condition, earlierOwnerBound time.Duration) *Shard {
	shard := &Shard{ID: id, FencingToken: token, Machines: map[string]*Machine{}, Jobs: map[string]*QueuedJob{}, controller: controller,
		earlierOwnerBound: earlierOwnerBound, acquiredAt: controller.Now(), needsPass: true, estimateCorrection: map[string]float64{},
		faults: faults.New(faults.Priors{FaultyJob: controller.Settings().Blame.Mistaken, FaultyMachine: controller.Settings().Blame.Sick, Transient: controller.Settings().Blame.Accident})}
	shard.guard = func() protocol.Condition {
		if shard.closed {
			return protocol.Condition{Key: guard().Key, Revision: impossibleRevision}
		}
		return guard()
	}
	return shard
}

// impossibleRevision is a stamp that no key has.
const impossibleRevision = 1<<63 - 1

// Close ends this tenure. What it still has waiting to be written must never
// be: if the same controller takes the part again, the new tenure's guard
// would let a record through that knows nothing of what ran meanwhile. (Seen
// on a simulated day: a machine's record lost a job that was on it, and the
// next owner started its tasks elsewhere.)
func (s *Shard) Close() {
	s.closed = true
	s.Jobs, s.Machines = map[string]*QueuedJob{}, map[string]*Machine{}
	s.machineOrder, s.jobOrder, s.headJob, s.borrowedCount, s.uncertainCount = nil, nil, nil, 0, 0
}

// RaiseToken gives the part a higher token, after a worker showed one.
func (s *Shard) RaiseToken(token uint64) {
	s.FencingToken = token
	for _, machine := range s.Machines {
		machine.FencingToken = max(machine.FencingToken, token)
		if !machine.Reconciled { // only what is made under the new token proves anything
			machine.BaseToken = token
		}
	}
}

// UpdateJob takes a live job's record (nil: the job is over).
func (s *Shard) UpdateJob(id string, record *JobRecord, revision uint64) {
	s.needsPass = true
	job := s.Jobs[id]
	if record == nil {
		if job != nil {
			s.dropJob(job)
		}
		return
	}
	here := false
	for _, k := range record.ChunkShards {
		here = here || k == s.ID
	}
	if job == nil {
		if !here {
			return
		}
		job = newQueuedJob(record, revision, s.controller.Now())
		job.newSinceTakeover = revision > s.guard().Revision
		if job.uncertain = job.mayBeAnywhere(); job.uncertain {
			s.uncertainCount++
		}
		s.Jobs[id], s.jobOrder = job, nil
		if job.isBorrowed() {
			s.borrowedCount++
		}
		s.lastPassAt = 0 // the next tick sees it
		for _, machine := range s.Machines {
			if machine.free.hasUnknownJob { // perhaps of this job
				machine.freeVersion = 0
			}
		}
		slog.Debug("part: queued", "part", s.ID, "job", id, "tasks", record.Job.Tasks, "rank", record.Rank)
	}
	job.storedRecord, job.Record, job.Revision = record, s.controller.WithInherited(record), revision
	job.mergeDone(&Progress{DoneRanges: record.DoneRanges}, s.ID)
	job.recountTasks(s.ID)
	s.resolveUncertain(job)
}

// RefreshInherited takes over anew what a job has from those that wait for it.
func (s *Shard) RefreshInherited(id string) {
	if job := s.Jobs[id]; job != nil {
		job.Record = s.controller.WithInherited(job.storedRecord)
		s.needsPass = true
	}
}

// resolveUncertain lets a single task start that may be anywhere, once all is known that was
// stored before its record. The answer to our own write of it comes earlier, and the
// part may have been taken from us before: the taker holds such a record, newer than
// its key, for one that no owner before can launch.
func (s *Shard) resolveUncertain(job *QueuedJob) {
	if job.uncertain && s.controller.Store().HasRevision(job.Revision) {
		job.uncertain, job.recordedMachines.every = false, true
		s.uncertainCount--
		s.releaseHeld(job)
	}
}

// CacheAdvanced is told that the cache has passed another revision.
func (s *Shard) CacheAdvanced() {
	if s.uncertainCount == 0 {
		return
	}
	for _, job := range s.jobsByID() {
		s.resolveUncertain(job)
	}
}

// UpdateProgress takes the recorded progress of a job in part k.
func (s *Shard) UpdateProgress(id string, shardID int, progress *Progress) {
	if job := s.Jobs[id]; job != nil && progress != nil {
		job.mergeDone(progress, s.ID)
		s.recordSuspicion(job, shardID, progress.FaultEvidence)
		if shardID == s.ID && !job.writeInFlight { // else the write's end says what is stored
			job.recordedMachines = machineSet{progress.AnyMachine, map[string]bool{}}
			for _, m := range progress.Machines {
				job.recordedMachines.ids[m] = true
			}
		}
		s.needsPass = true
		s.finishIfDone(job)
	}
}

// UpdateMachine takes a machine's record; nil: the cloud has taken it away for
// certain, with all that was on it.
func (s *Shard) UpdateMachine(id string, record *MachineRecord) {
	s.needsPass = true
	machine := s.Machines[id]
	if record == nil || record.Shard != s.ID {
		if machine != nil {
			delete(s.Machines, id)
			s.machineOrder = nil
			s.faults.ForgetMachine(id)
			for attempt := range machine.AllAttempts() {
				machine.Forget(attempt)
				if !attempt.HasEnded() {
					s.handleLost(machine, attempt)
				}
			}
		}
		return
	}
	if machine == nil {
		machine = &Machine{Machine: agent.New(id, s.FencingToken, max(s.earlierOwnerBound, s.controller.Now())),
			cachedImages: map[string]bool{}, emptySince: s.controller.Now(), JoinedAt: s.controller.Now()}
		machine.Address, machine.Type, machine.Zone, machine.Spot = record.Address, record.Type, record.Zone, record.Spot
		s.Machines[id], s.machineOrder = machine, nil
	}
	machine.record = *record
}

// dropJob removes a job that is over: whatever is there of it must go.
func (s *Shard) dropJob(job *QueuedJob) {
	record := *job.Record // the cache may still have it: see node.calledOff
	record.ChunkShards = nil
	job.Record = &record
	for _, machine := range s.machinesByID() {
		for attempt := range machine.AllAttempts() {
			if attempt.Job != job.Record.Job.ID {
				continue
			}
			attempt.Orphaned = true
			machine.MarkChanged()
			if attempt.HasEnded() {
				attempt.Acknowledge = true
			} else {
				machine.RequestStop(attempt, 0)
			}
		}
		s.sendOrdersIfDue(machine)
	}
	job.placements = map[agent.TaskID]*placement{}
	s.forgetJob(job)
}

func (s *Shard) forgetJob(job *QueuedJob) {
	if s.Jobs[job.Record.Job.ID] == job {
		if job.isBorrowed() {
			s.borrowedCount--
		}
		if job.uncertain {
			s.uncertainCount--
		}
	}
	delete(s.Jobs, job.Record.Job.ID)
	s.faults.ForgetJob(job.Record.Job.ID)
	s.jobOrder = nil
	if s.headJob == job {
		s.headJob = nil
	}
}

func (s *Shard) sendOrdersIfDue(machine *Machine) {
	if machine.NeedsDirectCommands(s.controller.CanLaunch(), s.controller.Now()) {
		s.controller.SendOrders(s, machine)
	}
}

// EarlierOwnerBound is up to when an owner before may answer the part's machines.
func (s *Shard) EarlierOwnerBound() time.Duration { return s.earlierOwnerBound }

// AcquiredAt is when the part was taken over.
func (s *Shard) AcquiredAt() time.Duration { return s.acquiredAt }

// machinesByID lists them by name. The list is not changed in place.
func (s *Shard) machinesByID() []*Machine {
	if s.machineOrder == nil {
		s.machineOrder = make([]*Machine, 0, len(s.Machines))
		for _, machine := range s.Machines {
			s.machineOrder = append(s.machineOrder, machine)
		}
		sort.Slice(s.machineOrder, func(i, j int) bool { return s.machineOrder[i].ID < s.machineOrder[j].ID })
	}
	return s.machineOrder
}

func (s *Shard) leaseDuration() time.Duration {
	return env.Seconds(s.controller.Settings().Deployment.Workers.Lease)
}

func (s *Shard) reportInterval() time.Duration {
	return env.Seconds(s.controller.Settings().Deployment.Workers.Report)
}

// ScheduleMachine starts what the latest events of a machine made possible there, so
// that the answer to its report brings the orders. A pass over all machines
// for each report would cost more than the report: it follows at a tick.
func (s *Shard) ScheduleMachine(machine *Machine) {
	if s.needsPass {
		s.scheduleOnMachine(machine)
	}
}

// passInterval spaces passes over all machines.
func (s *Shard) passInterval() time.Duration { return s.reportInterval() / 8 }

// Tick does what time brings: progress writes, leases that end, machines to
// return. It is called a few times a second.
func (s *Shard) Tick() {
	now := s.controller.Now()
	active := 0
	for _, job := range s.jobsByID() {
		if job.progressDirty {
			active++
		}
	}
	every := s.progressInterval(active)
	s.evaluateSuspects(now)
	for _, job := range s.jobsByID() {
		if s.isPartialGang(job) {
			slog.Info("part: half a gang is started anew", "part", s.ID, "job", job.Record.Job.ID, "there", job.placedTasks)
			job.gangBroken, s.needsPass = true, true
			s.clearGangAttempt(job)
		}
		s.finishIfDone(job)
		s.writeProgressIfDue(job, now, every)
		if job.isBorrowed() {
			s.checkLoan(job, now)
		}
	}
	s.spotFreeCores = -1
	for _, machine := range s.machinesByID() {
		s.checkMachine(machine, now)
		s.sendOrdersIfDue(machine)
	}
	if now-s.lastPassAt >= s.passInterval() && (s.needsPass || now-s.lastPassAt > s.reportInterval()/2) {
		s.Schedule()
	}
}

// jobsByID lists them by name. The list is not changed in place.
func (s *Shard) jobsByID() []*QueuedJob {
	if s.jobOrder == nil {
		s.jobOrder = make([]*QueuedJob, 0, len(s.Jobs))
		for _, job := range s.Jobs {
			s.jobOrder = append(s.jobOrder, job)
		}
		sort.Slice(s.jobOrder, func(i, j int) bool { return s.jobOrder[i].Record.Job.ID < s.jobOrder[j].Record.Job.ID })
	}
	return s.jobOrder
}
