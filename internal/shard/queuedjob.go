package shard

import (
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
)

// QueuedJob is the in-memory state of a job that has tasks in the shard. Times are readings of
// the controller's monotonic clock; 0 means never unless noted otherwise.
type QueuedJob struct {
	Record       *JobRecord // the stored record with the priority and deadline inherited from dependent jobs
	storedRecord *JobRecord // the record as stored
	Revision     uint64     // revision of the stored record

	// Tasks.
	taskStates     []taskState // states of all tasks of the job, by task index
	localTasks     int         // tasks in this shard
	idleTasks      int         // tasks in this shard that are idle
	placedTasks    int         // tasks in this shard that are placed
	localDone      int         // tasks in this shard that are done
	remainingTasks int         // tasks of the whole job that are not done
	firstIdle      int         // lower bound of the indices of idle tasks in this shard

	// Attempts.
	placements       map[agent.TaskID]*placement
	unwantedAttempts map[*agent.Attempt]*Machine // unexpected attempts found on machines; being stopped
	unrecordedEnds   []*agent.Attempt            // attempts of finished tasks that are not in the stored progress yet
	hasHeldAttempts  bool                        // some launches may be held back until a progress write is stored

	// Writes to the key-value store.
	progressDirty     bool                        // the stored progress is outdated
	writeQueued       [kvstore.PriorityCount]bool // whether a progress write is queued, by priority of the write
	writeInFlight     bool                        // a progress write has been built and is not acknowledged yet
	recordedMachines  machineSet                  // machines that may have tasks of the job according to the stored progress
	pendingMachines   *machineSet                 // machines that may have tasks of the job according to the write in flight; nil: no write is in flight
	progressWrittenAt time.Duration               // when the latest progress write was built
	finishing         bool                        // the final record is being written
	moveInFlight      bool                        // a write that moves or offloads a chunk is in flight

	// Gangs.
	gangAttempt  uint64     // number of the attempt that all tasks share; 0: none
	gangFailed   bool       // the attempt has failed and its remaining tasks are being removed
	gangStopping bool       // the attempt is being preempted or drained
	gangCleared  bool       // the attempt has failed, and all its tasks that are placed have been told to stop
	gangMachines []*Machine // machines on which tasks were told to stop; set with gangCleared

	// Scheduling.
	queuedAt       time.Duration            // when this owner added the job to the shard
	firstRunningAt time.Duration            // when one of its tasks was first seen running
	lastStartedAt  time.Duration            // when one of its tasks was last placed here
	protectedUntil time.Duration            // end of the preemption protection after a late start
	backoffUntil   time.Duration            // no task is started before this time
	avoidUntil     map[string]time.Duration // time before which the job does not use a machine, by machine ID
	expectedStart  time.Duration            // expected start as of the last reservation of capacity for the job; may be in the past
	score          float64                  // weighted priority in the queue as of the latest scheduling pass
	waitReason     WaitReason               // why the job waits, shown to operators

	// Takeover of the shard.
	newSinceTakeover bool // the job was accepted or moved here after this owner took over the shard
	awaitsCacheSync  bool // launches are held back until the cache has all changes that precede the job's record

	// Failures, see package faults.
	failuresByMachine map[string]int  // failed attempts by machine
	remoteEvidence    map[int]float64 // evidence that the job is faulty, recorded by the owners of other shards, by shard
	suspect           bool            // likely faulty; runs one task at a time as a probe
	failedProbes      int             // failed attempts since the job became suspect

	// Jobs hosted for a partner cluster.
	remoteLease  *remotelease.Validity // until when the home cluster allows the job to run; nil: not hosted
	lastPlacedAt time.Duration         // when one of its tasks was last on a machine
	endedByHome  bool                  // the home cluster has ended the remote lease
}

// placement is an attempt on the machine where it is placed.
type placement struct {
	machine *Machine
	attempt *agent.Attempt
}

// machineSet is a set of machines that may have tasks of a job.
type machineSet struct {
	every bool            // all machines of the shard; ids is ignored
	ids   map[string]bool // IDs of the machines in the set
}

// contains reports whether a machine is in the set.
func (m *machineSet) contains(id string) bool { return m.every || m.ids[id] }

// newQueuedJob returns the state of a job that is added to the shard.
func newQueuedJob(record *JobRecord, revision uint64, now time.Duration) *QueuedJob {
	job := &QueuedJob{
		Record:            record,
		Revision:          revision,
		taskStates:        make([]taskState, record.Job.Tasks),
		remainingTasks:    record.Job.Tasks,
		placements:        map[agent.TaskID]*placement{},
		unwantedAttempts:  map[*agent.Attempt]*Machine{},
		queuedAt:          now,
		failuresByMachine: map[string]int{},
		remoteEvidence:    map[int]float64{},
		avoidUntil:        map[string]time.Duration{},
	}
	if record.RemoteLease != nil {
		job.remoteLease = &remotelease.Validity{}
		job.lastPlacedAt = now
	}
	return job
}

// mayRunOnAnyMachine reports whether the stored record alone allows the job on any machine of its
// shard. This applies to single-task jobs that are submitted at a high rate. No progress is written
// before such a task is launched or while it runs, which saves two of five writes per job. When
// these two writes were made, eight such jobs a second used the whole budget of 30 writes a second,
// and arrays waited for the progress writes that precede their launches.
//
// After a takeover such a job waits until every machine of the shard has reported. A job that is
// newSinceTakeover need not wait: its record is newer than the ownership key of this owner, so no
// previous owner can have launched it. A previous owner that has not yet seen the change of the
// ownership key has not seen later writes either, because watch events arrive in order.
func (q *QueuedJob) mayRunOnAnyMachine() bool { return q.Record.Anywhere }

// recordCovers reports whether both the stored progress and the write in flight, if any, allow
// tasks of the job on the machine.
func (q *QueuedJob) recordCovers(machineID string) bool {
	if !q.recordedMachines.contains(machineID) {
		return false
	}
	return q.pendingMachines == nil || q.pendingMachines.contains(machineID)
}

func (q *QueuedJob) isGang() bool    { return q.Record.Job.Shape == protocol.ShapeGang }
func (q *QueuedJob) isService() bool { return q.Record.Job.Shape == protocol.ShapeService }

// isHosted reports whether the job runs here for another cluster, its home cluster.
func (q *QueuedJob) isHosted() bool { return q.Record.RemoteLease != nil }

// savesCheckpoints reports whether tasks of the job save a checkpoint when they are stopped
// gracefully.
func (q *QueuedJob) savesCheckpoints() bool { return q.Record.Job.CheckpointInterval > 0 }

// sortedPlacements lists the placements sorted by task index.
func (q *QueuedJob) sortedPlacements() []*placement {
	placements := make([]*placement, 0, len(q.placements))
	for _, placed := range q.placements {
		placements = append(placements, placed)
	}
	sort.Slice(placements, func(i, j int) bool {
		return placements[i].attempt.Index < placements[j].attempt.Index
	})
	return placements
}

// isPlacedAs reports whether the given attempt is the current placement of its task.
func (q *QueuedJob) isPlacedAs(attempt *agent.Attempt) bool {
	placed := q.placements[attempt.TaskID]
	return placed != nil && placed.attempt == attempt
}

// placedZone returns the zone in which a single-zone job has placed tasks. The zone is empty if the
// job has no placed tasks or may use several zones.
func (q *QueuedJob) placedZone() string {
	if !q.Record.Job.SingleZone {
		return ""
	}
	for _, placed := range q.placements {
		return placed.machine.Zone
	}
	return ""
}
