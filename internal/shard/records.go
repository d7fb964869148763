package shard

import (
	"fmt"

	"curlewspool/internal/protocol"
)

// This file defines the job records in the key-value store, and their keys. Field order and
// cbor tags are the stored format. Neither may change, because controllers of several versions
// share one store.

// OffloadedShard is the value in JobRecord.ChunkShards of a chunk that is offloaded to a partner
// cluster and so belongs to no shard of this cluster.
const OffloadedShard = -1

// DeadlineOverdue is the value of Job.Deadline, in seconds, for a deadline that has already
// passed. Zero would mean that the job has no deadline.
const DeadlineOverdue = 0.001

// JobRecord is the stored state of a live job, under JobKey.
type JobRecord struct {
	Nonce       string       `cbor:"w"` // identifies the write; see package kvstore
	Job         protocol.Job `cbor:"j"`
	AcceptedAt  float64      `cbor:"at"` // Unix time in seconds of its acceptance, or of its release if it had dependencies
	Rank        int          `cbor:"r"`  // rank by scheduling margin, assigned by the leader
	ChunkSize   int          `cbor:"ch"` // tasks per chunk; the last chunk has all remaining tasks
	ChunkShards []int        `cbor:"p"`  // shard of each chunk, or OffloadedShard

	// Anywhere allows the job to be on any machine of its shard from its acceptance on, without
	// a progress record that names the machines. See QueuedJob.mayRunOnAnyMachine.
	Anywhere bool `cbor:"an,omitempty"`

	// SubmittedAt is the Unix time in seconds at which a job with dependencies was accepted. It
	// is set when the job is released, and AcceptedAt then becomes the time of the release.
	// Job.Deadline counts from AcceptedAt.
	SubmittedAt float64 `cbor:"sa,omitempty"`

	OffloadedChunks       []OffloadedChunk `cbor:"aw,omitempty"` // chunks that partner clusters run
	LastRemoteLeaseNumber uint64           `cbor:"ln,omitempty"` // number of the latest remote lease; never decreases
	DoneRanges            [][2]int         `cbor:"dn,omitempty"` // inclusive ranges of tasks known to be done, in addition to those in progress records
	RemoteLease           *RemoteLease     `cbor:"lo,omitempty"` // set if the job is hosted for a partner cluster
}

// OffloadedChunk records to which partner cluster a chunk is offloaded. While the job's record
// contains this entry, the partner may run the chunk's tasks.
type OffloadedChunk struct {
	Chunk       int     `cbor:"c"`
	FirstTask   int     `cbor:"f"`
	Partner     string  `cbor:"to"` // name of the partner cluster
	LeaseNumber uint64  `cbor:"n"`
	LeaderToken uint64  `cbor:"by"` // fencing token of the leader that commanded the offload
	OffloadedAt float64 `cbor:"at"` // Unix time in seconds
	OfferID     uint64  `cbor:"of"` // the partner's offer that was accepted
	Reason      string  `cbor:"y"`  // for operators
	// TermMillis and MachineLeaseMillis are the remote lease's term and the duration of a machine
	// lease at the time of the offload. They are stored because the settings may change while the
	// chunk is offloaded.
	TermMillis         int64 `cbor:"tm"`
	MachineLeaseMillis int64 `cbor:"lm"`
}

// RemoteLease is the host cluster's record of the remote lease under which it runs a hosted job.
type RemoteLease struct {
	HomeCluster string `cbor:"h"` // name of the cluster that offloaded the job
	HomeJobID   string `cbor:"j"` // the job's ID in its home cluster
	FirstTask   int    `cbor:"f"` // index in the home job of the first offloaded task
	LeaseNumber uint64 `cbor:"n"`
	TermMillis  int64  `cbor:"tm"` // how long a renewal by the home cluster is valid
	Ending      bool   `cbor:"e"`  // the job is to be stopped and the remote lease released
	Recall      bool   `cbor:"r"`  // the remote lease is to be released as soon as no task is on a machine
}

// Progress is the stored state of a job in one shard, under ProgressKey. One record names all
// machines of the shard that may have tasks of the job. If there were one record per machine, the
// start of a large array would use up the store's write budget for a minute.
type Progress struct {
	Nonce      string   `cbor:"w"`
	DoneRanges [][2]int `cbor:"d"` // inclusive ranges of finished tasks
	Running    int      `cbor:"r"` // number of placed tasks
	Machines   []string `cbor:"o"` // machines of the shard that may have tasks of the job
	AnyMachine bool     `cbor:"a"` // any machine of the shard may have tasks of the job
	// FaultEvidence is the evidence from failures in this shard that the job itself is faulty,
	// as log odds. See package faults.
	FaultEvidence float64 `cbor:"x,omitempty"`
}

// machineSet returns the set of machines that may have tasks of the job.
func (p *Progress) machineSet() machineSet {
	set := machineSet{every: p.AnyMachine, ids: map[string]bool{}}
	for _, id := range p.Machines {
		set.ids[id] = true
	}
	return set
}

// FinalRecord is the outcome of a finished job, kept permanently under FinalKey.
type FinalRecord struct {
	Nonce      string             `cbor:"w"`
	Status     protocol.JobStatus `cbor:"s"` // a final status
	Tasks      int                `cbor:"n"`
	FinishedAt float64            `cbor:"at"` // Unix time in seconds
	// DoneRanges lists the finished tasks of a released remote lease as inclusive ranges.
	DoneRanges [][2]int `cbor:"d,omitempty"`
	// CancelledWith is the ID of the dependency whose cancellation also cancelled this job.
	CancelledWith string `cbor:"c,omitempty"`
}

// JobKey returns the key of a live job's record.
func JobKey(id string) string { return "a/j/" + id }

// ProgressKey returns the key of a job's progress record in a shard.
func ProgressKey(id string, shardID int) string { return fmt.Sprintf("a/p/%s/%d", id, shardID) }

// FinalKey returns the key of a job's final record. It is outside the prefix that controllers
// cache.
func FinalKey(id string) string { return "d/" + id }

// AwaitsDependencies reports whether the job waits for its dependencies. Until its release the job
// is in no shard, so that no owner of any software version can start its tasks.
func (r *JobRecord) AwaitsDependencies() bool {
	return len(r.ChunkShards) == 0 && len(r.Job.Dependencies) > 0
}

// Release returns the record of the job after its release at the given Unix time in seconds, when
// its dependencies are met. The job's age is counted from the release. The deadline still counts from
// the submission, so the time that has passed since then is subtracted from it. A deadline that has
// passed becomes DeadlineOverdue.
func (r *JobRecord) Release(at float64) *JobRecord {
	released := *r
	released.SubmittedAt = r.AcceptedAt
	released.AcceptedAt = at
	if r.Job.Deadline > 0 {
		released.Job.Deadline = max(r.Job.Deadline-(at-r.AcceptedAt), DeadlineOverdue)
	}
	return &released
}

// ChunkCount returns the number of chunks of the job, including finished and offloaded ones.
func (r *JobRecord) ChunkCount() int { return len(r.ChunkShards) }

// TaskRange returns the tasks of a chunk as the half-open range [from, to).
func (r *JobRecord) TaskRange(chunk int) (from, to int) {
	from = chunk * r.ChunkSize
	to = from + r.ChunkSize
	if chunk == len(r.ChunkShards)-1 || to > r.Job.Tasks {
		to = r.Job.Tasks
	}
	return from, to
}

// ShardOf returns the shard of a task, or a negative number if the task is in no shard.
func (r *JobRecord) ShardOf(task int) int {
	if task >= r.Job.Tasks || r.ChunkSize <= 0 {
		return -1
	}
	return r.ChunkShards[min(task/r.ChunkSize, len(r.ChunkShards)-1)]
}

// withChunkIn returns a copy of the record in which a chunk belongs to the given shard.
func (r *JobRecord) withChunkIn(chunk, shardID int, nonce string) *JobRecord {
	moved := *r
	moved.Nonce = nonce
	moved.ChunkShards = append([]int(nil), r.ChunkShards...)
	moved.ChunkShards[chunk] = shardID
	return &moved
}
