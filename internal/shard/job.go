package shard

import (
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
)

// JobRecord is what the ledger keeps of a live job, under JobKey.
type JobRecord struct {
	Nonce       string       `cbor:"w"`
	Job         protocol.Job `cbor:"j"`
	AcceptedAt  float64      `cbor:"at"` // time of day of acceptance, seconds
	Rank        int          `cbor:"r"`  // the leader's margin rank
	ChunkSize   int          `cbor:"ch"` // tasks of a chunk
	ChunkShards []int        `cbor:"p"`  // part of each chunk; Lent: at a partner

	// Anywhere: it may be on any machine of its part, from its acceptance on; no
	// record names them. See Work.anywhere.
	Anywhere bool `cbor:"an,omitempty"`

	// SubmittedAt, of a job that waited for others, is the time of day of its acceptance;
	// At is that of its release then, and Job.Deadline counts from there.
	SubmittedAt float64 `cbor:"sa,omitempty"`

	LentChunks     []LentChunk `cbor:"aw,omitempty"` // the chunks that are lent
	LastLoanNumber uint64      `cbor:"ln,omitempty"` // of the latest loan; only grows
	DoneRanges     [][2]int    `cbor:"dn,omitempty"` // tasks known done when a chunk was lent or came back
	Loan           *Loan       `cbor:"lo,omitempty"` // borrowed: whose it is
}

// AwaitsDependencies tells whether the job waits for others: no part has it yet, so that none can start
// any of it, whatever version its owner is of.
func (r *JobRecord) AwaitsDependencies() bool {
	return len(r.ChunkShards) == 0 && len(r.Job.Dependencies) > 0
}

// Release gives a job that has waited its parts, at a time of day. Its age begins anew;
// its deadline goes on counting from its submission, and is over if that has passed.
func (r *JobRecord) Release(at float64) *JobRecord {
	out := *r
	out.SubmittedAt, out.AcceptedAt = r.AcceptedAt, at
	if r.Job.Deadline > 0 {
		out.Job.Deadline = max(r.Job.Deadline-(at-r.AcceptedAt), DeadlineOverdue)
	}
	return &out
}

// DeadlineOverdue is a deadline that is over from the start; 0 would be none.
const DeadlineOverdue = 0.001

// LentShard is the part of a chunk that is at a partner: nobody's here.
const LentShard = -1

// LentChunk says where a chunk is. While it stands, the partner may run its tasks.
type LentChunk struct {
	Chunk       int     `cbor:"c"`
	FirstTask   int     `cbor:"f"` // its first task
	Partner     string  `cbor:"to"`
	LoanNumber  uint64  `cbor:"n"`
	LeaderToken uint64  `cbor:"by"` // the leadership that ordered it
	LentAt      float64 `cbor:"at"` // time of day, seconds
	OfferID     uint64  `cbor:"of"`
	Reason      string  `cbor:"y"`
	// The figures under which it was lent; settings may change meanwhile.
	TermMillis  int64 `cbor:"tm"`
	LeaseMillis int64 `cbor:"lm"`
}

// Loan is what the host of a borrowed job keeps of it.
type Loan struct {
	HomeCluster string `cbor:"h"`
	HomeJobID   string `cbor:"j"` // as home calls it
	FirstTask   int    `cbor:"f"`
	LoanNumber  uint64 `cbor:"n"`
	TermMillis  int64  `cbor:"tm"`
	Ending      bool   `cbor:"e"` // to be stopped and given back
	Recall      bool   `cbor:"r"` // to be given back if none of it is on a machine
}

// Progress is what a part's owner keeps of a job, under ProgressKey. One
// write says for all machines of the part where the job may be: a write for
// each machine would use up a minute of the state's budget at the start of one
// large array.
type Progress struct {
	Nonce         string   `cbor:"w"`
	DoneRanges    [][2]int `cbor:"d"` // ranges of finished tasks, ends included
	Running       int      `cbor:"r"`
	Machines      []string `cbor:"o"`           // machines of the part that it may be on
	AnyMachine    bool     `cbor:"a"`           // it may be on any of them
	FaultEvidence float64  `cbor:"x,omitempty"` // that it is mistaken, as log odds of this part's failures
}

// MachineRecord is what the ledger keeps of a machine, in a Roster.
type MachineRecord struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Shard   int
	Address string
	Type    string
	Zone    string
	Spot    bool
	Owned   bool // was there before any rental of ours
}

// EncodedSize is about what the record takes in the form that limits are counted in.
func (r *MachineRecord) EncodedSize() int {
	return len(r.ID) + len(r.Address) + len(r.Type) + len(r.Zone) + 32
}

// Roster is a group of machines kept under one key.
type Roster struct {
	Nonce    string          `cbor:"w"`
	Machines []MachineRecord `cbor:"m"`
}

// AddUpTo adds machines as long as they fit into limit, and gives those that do not.
func (r *Roster) AddUpTo(add []*MachineRecord, limit int) []*MachineRecord {
	size := 0
	for i := range r.Machines {
		size += r.Machines[i].EncodedSize()
	}
	for len(add) > 0 && size+add[0].EncodedSize() <= limit {
		size += add[0].EncodedSize()
		r.Machines, add = append(r.Machines, *add[0]), add[1:]
	}
	return add
}

// machineSet is a set of machines that a job may be on.
type machineSet struct {
	every bool
	ids   map[string]bool
}

func (r *machineSet) contains(id string) bool { return r.every || r.ids[id] }

// FinalRecord is the end of a job, kept for ever under FinalKey.
type FinalRecord struct {
	Nonce   string             `cbor:"w"`
	Status  protocol.JobStatus `cbor:"s"`
	Tasks   int                `cbor:"n"`
	EndedAt float64            `cbor:"at"`
	// DoneRanges lists the tasks of a borrowed job that ended well; all, if it is done.
	DoneRanges [][2]int `cbor:"d,omitempty"`
	// CancelledWith is the job with whose cancellation this one, which needed it, was withdrawn.
	CancelledWith string `cbor:"c,omitempty"`
}

// JobKey is where the state service keeps a live job's record.
func JobKey(id string) string { return "a/j/" + id }

// FinalKey is where it keeps a job's end, outside of what controllers cache.
func FinalKey(id string) string { return "d/" + id }

// ChunkCount is the number of chunks of a job.
func (r *JobRecord) ChunkCount() int { return len(r.ChunkShards) }

// TaskRange gives the tasks of chunk c.
func (r *JobRecord) TaskRange(chunk int) (from, to int) {
	from = chunk * r.ChunkSize
	to = from + r.ChunkSize
	if chunk == len(r.ChunkShards)-1 || to > r.Job.Tasks {
		to = r.Job.Tasks
	}
	return from, to
}

// ShardOf gives the part that runs task i.
func (r *JobRecord) ShardOf(task int) int {
	if task >= r.Job.Tasks || r.ChunkSize <= 0 {
		return -1
	}
	return r.ChunkShards[min(task/r.ChunkSize, len(r.ChunkShards)-1)]
}

// Task states inside a part.
const (
	taskIdle   = iota
	taskPlaced // on, or about to be on, a machine
	taskDone   // finished, by any part's word
)

// QueuedJob is a job with tasks in this part.
type QueuedJob struct {
	Record       *JobRecord // with what it inherits: see Host.Inherit
	storedRecord *JobRecord // as the state service has it
	Revision     uint64

	taskStates     []uint8 // of all tasks of the job
	localTasks     int     // tasks in this part
	idleTasks      int     // of them, not started
	placedTasks    int
	remainingTasks int // tasks of the whole job not done
	firstIdle      int // no idle task of ours is below

	placements        map[agent.TaskID]*placement
	localDone         int
	progressDirty     bool                        // progress to be written
	writeQueued       [kvstore.PriorityCount]bool // a write of each priority is queued
	writeInFlight     bool                        // one has been built and its fate is not known
	recordedMachines  machineSet                  // machines that the ledger says it may be on
	pendingMachines   *machineSet                 // the same in the write that is under way
	hasHeldAttempts   bool                        // runs may wait for such a write
	unrecordedEnds    []*agent.Attempt            // done, the ledger does not know it yet
	unwantedAttempts  map[*agent.Attempt]*Machine // not to be there, being halted
	finishing         bool                        // the final record is being written
	moving            bool
	progressWrittenAt time.Duration

	gangAttempt    uint64 // gang: its attempt
	gangBroken     bool   // gang: the attempt has failed and is being cleared
	gangStopping   bool   // gang: being preempted or drained
	firstRunningAt time.Duration
	queuedAt       time.Duration
	lastStartedAt  time.Duration // when some of it was last started here
	protectedUntil time.Duration // late to begin: not stopped before

	failuresByMachine map[string]int           // machines on which a task of it failed
	remoteEvidence    map[int]float64          // what other parts' owners hold against it
	newSinceTakeover  bool                     // accepted, or moved here, after this owner took the part
	uncertain         bool                     // Anywhere, and changes before its record are not all known yet
	suspect           bool                     // likely: one task at a time is tried
	failedProbes      int                      // of them, that failed since
	avoidUntil        map[string]time.Duration // machines not to be used before
	notBefore         time.Duration            // start nothing before
	waitReason        WaitReason               // why it waits, for operators
	score             float64
	expectedStart     time.Duration       // when it is expected to start, if it is reserved for
	permit            *remotelease.Permit // borrowed: until when its home lets it run
	lastPlacedAt      time.Duration       // borrowed: when some of it was last on a machine
	endedAtHome       bool                // borrowed: its home says that it is over there
}

type placement struct {
	machine *Machine
	attempt *agent.Attempt
}

func newQueuedJob(record *JobRecord, revision uint64, now time.Duration) *QueuedJob {
	job := &QueuedJob{Record: record, Revision: revision, taskStates: make([]uint8, record.Job.Tasks), remainingTasks: record.Job.Tasks,
		placements: map[agent.TaskID]*placement{}, unwantedAttempts: map[*agent.Attempt]*Machine{}, queuedAt: now, failuresByMachine: map[string]int{}, remoteEvidence: map[int]float64{}, avoidUntil: map[string]time.Duration{}}
	if record.Loan != nil {
		job.permit, job.lastPlacedAt = &remotelease.Permit{}, now
	}
	return job
}

// mayBeAnywhere: a single task of a rush of such, of which the ledger says from the start
// that it may be on any machine of its part: no record is written before its launch
// and none while it runs. Two changes less of five for each: in a rush of eight a
// second they took the whole budget of 30, and arrays' launches waited for theirs.
//
// After a takeover such a job waits until every machine of the part has answered,
// unless it is fresh: its record is newer than the owner's key, so no owner before
// can have launched it. (One that does not know yet that its key was taken has not
// seen what was stored later either: changes are told in their order.)
func (q *QueuedJob) mayBeAnywhere() bool { return q.Record.Anywhere }

// recordCovers: the ledger says, and whatever is under way will say, that the job
// may be on the machine.
func (q *QueuedJob) recordCovers(id string) bool {
	return q.recordedMachines.contains(id) && (q.pendingMachines == nil || q.pendingMachines.contains(id))
}

func (q *QueuedJob) isGang() bool    { return q.Record.Job.Shape == protocol.ShapeGang }
func (q *QueuedJob) isService() bool { return q.Record.Job.Shape == protocol.ShapeService }

// recountTasks works out the counters after the chunks of the part changed.
func (q *QueuedJob) recountTasks(part int) {
	q.localTasks, q.idleTasks, q.localDone, q.firstIdle = 0, 0, 0, 0
	for c, p := range q.Record.ChunkShards {
		if p != part {
			continue
		}
		from, to := q.Record.TaskRange(c)
		for i := from; i < to; i++ {
			q.localTasks++
			switch q.taskStates[i] {
			case taskIdle:
				q.idleTasks++
			case taskDone:
				q.localDone++
			}
		}
	}
}

// setTaskState moves a task of ours to another state.
func (q *QueuedJob) setTaskState(i int, to uint8) {
	from := q.taskStates[i]
	if from == to {
		return
	}
	switch from {
	case taskIdle:
		q.idleTasks--
	case taskPlaced:
		q.placedTasks--
	case taskDone:
		return // for ever
	}
	switch to {
	case taskIdle:
		q.idleTasks++
		q.firstIdle = min(q.firstIdle, i)
	case taskPlaced:
		q.placedTasks++
	case taskDone:
		q.remainingTasks--
		q.localDone++
	}
	q.taskStates[i] = to
}

// chunkState counts the idle tasks of a chunk, unless one of it is placed.
func (q *QueuedJob) chunkState(chunk int) (waiting int, on bool) {
	from, to := q.Record.TaskRange(chunk)
	for i := from; i < to; i++ {
		switch q.taskStates[i] {
		case taskPlaced:
			return 0, true
		case taskIdle:
			waiting++
		}
	}
	return waiting, false
}

// nextIdleTasks lists up to n idle tasks of the part.
func (q *QueuedJob) nextIdleTasks(part, n int) []int {
	var out []int
	for i := q.firstIdle; i < len(q.taskStates) && len(out) < n; i++ {
		if q.taskStates[i] == taskIdle && q.Record.ShardOf(i) == part {
			if len(out) == 0 {
				q.firstIdle = i
			}
			out = append(out, i)
		}
	}
	return out
}

// mergeDone takes what another owner, or an earlier one, recorded as done.
func (q *QueuedJob) mergeDone(p *Progress, part int) {
	for _, r := range p.DoneRanges {
		for i := max(r[0], 0); i <= r[1] && i < len(q.taskStates); i++ {
			if q.taskStates[i] == taskDone {
				continue
			}
			if q.Record.ShardOf(i) == part {
				q.setTaskState(i, taskDone)
			} else {
				q.taskStates[i] = taskDone
				q.remainingTasks--
			}
		}
	}
}

// doneRanges lists the done tasks of the part's chunks, as many ranges as fit
// into limit bytes, longest first: a task that is left out is only run again
// by a later owner, and then ends at once.
func (q *QueuedJob) doneRanges(part, limit int) [][2]int {
	var out [][2]int
	for c, p := range q.Record.ChunkShards {
		if p != part {
			continue
		}
		from, to := q.Record.TaskRange(c)
		for i := from; i < to; i++ {
			if q.taskStates[i] != taskDone {
				continue
			}
			if n := len(out); n > 0 && out[n-1][1] == i-1 {
				out[n-1][1] = i
			} else {
				out = append(out, [2]int{i, i})
			}
		}
	}
	if fit := limit / 12; len(out) > fit {
		sort.Slice(out, func(i, j int) bool { return out[i][1]-out[i][0] > out[j][1]-out[j][0] })
		out = out[:fit]
	}
	return out
}

// FinalCache are ends of jobs kept in memory: the newest, so many at most. The
// ledger has them all.
type FinalCache struct {
	capacity      int
	byID          map[string]FinalRecord
	insertionRing []string
	oldest        int
}

// NewFinalCache makes an empty memory of so many ends.
func NewFinalCache(most int) *FinalCache {
	return &FinalCache{capacity: max(1, most), byID: map[string]FinalRecord{}}
}

// Get gives a job's end, if it is remembered.
func (f *FinalCache) Get(id string) (FinalRecord, bool) { x, ok := f.byID[id]; return x, ok }

// Len is how many are remembered.
func (f *FinalCache) Len() int { return len(f.byID) }

// Add remembers a job's end, which the ledger has.
func (f *FinalCache) Add(id string, x FinalRecord) {
	if _, ok := f.byID[id]; ok {
		return
	}
	f.byID[id] = x
	if len(f.insertionRing) < f.capacity {
		f.insertionRing = append(f.insertionRing, id)
		return
	}
	delete(f.byID, f.insertionRing[f.oldest])
	f.insertionRing[f.oldest] = id
	f.oldest = (f.oldest + 1) % f.capacity
}
