package protocol

import "regexp"

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// JobShape is the relation between the tasks of a job.
type JobShape string

// The shapes of jobs.
const (
	ShapeArray   JobShape = "batch"    // independent tasks
	ShapeGang    JobShape = "ensemble" // tasks that start together and end together
	ShapeService JobShape = "daemon"   // replicas that run until the job is cancelled
)

// IsKnown reports whether the protocol defines the shape.
func (s JobShape) IsKnown() bool {
	return s == ShapeArray || s == ShapeGang || s == ShapeService
}

// JobStatus is the state of a job as reported to users.
type JobStatus string

// The states of jobs.
const (
	JobPending   JobStatus = "pending" // no task runs
	JobRunning   JobStatus = "running"
	JobDone      JobStatus = "done"
	JobCancelled JobStatus = "withdrawn"
)

// IsFinal reports whether the status can no longer change.
func (s JobStatus) IsFinal() bool { return s == JobDone || s == JobCancelled }

// priorities maps the names of priorities to their levels. A job may preempt jobs with lower levels.
var priorities = map[string]int{
	"best_effort": 0,
	"standard":    1,
	"high":        2,
	"prod":        3,
}

// ParsePriority returns the level of the priority with the given name. The second result is false if
// the name is unknown.
func ParsePriority(name string) (int, bool) {
	priority, ok := priorities[name]
	return priority, ok
}

var jobIDPattern = regexp.MustCompile(`^wk-[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$`)

// ValidJobID reports whether id has the form of a job ID. Slashes are not allowed because they
// would make task names and store keys ambiguous. Blanks are not allowed because the store rejects
// keys with blanks.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// Submission is the body of POST /v2/runs. Validate converts it to a Job. Durations are in seconds.
type Submission struct {
	ID                 *string   `cbor:"id"`
	Class              *string   `cbor:"trade"`
	Team               *string   `cbor:"crew"`
	Shape              *JobShape `cbor:"shape"`
	Priority           *string   `cbor:"rank"`
	Tasks              *uint64   `cbor:"pieces"`
	Cores              *float64  `cbor:"cores"`
	GPUs               *float64  `cbor:"accelerators"`
	MemoryGB           *float64  `cbor:"memoryGb"`
	Image              *string   `cbor:"kit"`
	ImageGB            *float64  `cbor:"pullGb"`
	MachineTypes       []string  `cbor:"builds"`
	Zone               *string   `cbor:"yard"`
	SingleZone         *bool     `cbor:"together"`
	SpreadZones        *bool     `cbor:"apart"`
	AllowSpot          *bool     `cbor:"loaners"`
	Estimate           *float64  `cbor:"reckonS"`
	CheckpointInterval *float64  `cbor:"markS"`
	CheckpointDuration *float64  `cbor:"stowS"`
	Deadline           *float64  `cbor:"dueS"`
	Dependencies       []string  `cbor:"awaits,omitempty"`
}

// Job is a validated submission, in the form that is kept in the key-value store. Cores, GPUs and
// memory are per task; durations are in seconds.
type Job struct {
	ID           string   `cbor:"id"`
	Class        string   `cbor:"cl"` // similar jobs have the same class; Estimate is corrected per class
	Team         string   `cbor:"tm"`
	Shape        JobShape `cbor:"sh"`
	Priority     int      `cbor:"rk"` // see ParsePriority
	Tasks        int      `cbor:"n"`
	Cores        float64  `cbor:"c"`
	GPUs         float64  `cbor:"g"`
	MemoryGB     float64  `cbor:"m"`
	Image        string   `cbor:"im"`
	ImageGB      float64  `cbor:"ig"`
	MachineTypes []string `cbor:"ty"` // the allowed types; empty: any
	Zone         string   `cbor:"z"`  // the only allowed zone; "": any
	SingleZone   bool     `cbor:"oz"` // all tasks must be in the same zone
	SpreadZones  bool     `cbor:"sp"` // at most half of the tasks, rounded up, may be in one zone
	AllowSpot    bool     `cbor:"st"` // may run on spot machines
	// Estimate is the user's estimate of a task's run time. It is often wrong.
	Estimate float64 `cbor:"es"`
	// CheckpointInterval is the amount of progress after which a running task saves a checkpoint.
	// If it is 0, tasks save no checkpoints.
	CheckpointInterval float64 `cbor:"ck"`
	CheckpointDuration float64 `cbor:"sv"` // time to save a checkpoint when a task is stopped
	Deadline           float64 `cbor:"dl"` // time after the submission; 0: none
	// Dependencies lists the jobs that must be done before any task of this job starts.
	Dependencies []string `cbor:"nd,omitempty"`
}

// JobState is the state of a job, in responses to users.
type JobState struct {
	ID      string    `cbor:"id"`
	Status  JobStatus `cbor:"status"`
	Done    *int      `cbor:"done,omitempty"`    // number of done tasks
	Running *int      `cbor:"running,omitempty"` // number of running tasks
	// Remote lists the tasks that are offloaded to partner clusters. PROTOCOL does not define
	// Remote and the two fields after it. PROTOCOL requires users to ignore unknown fields.
	Remote []RemoteTasks `cbor:"elsewhere,omitempty"`
	// PendingDependencies lists the jobs that this job still waits for.
	PendingDependencies []string `cbor:"awaits,omitempty"`
	// CancelledBy is the dependency whose cancellation also cancelled this job, or empty.
	CancelledBy string `cbor:"cause,omitempty"`
}

// RemoteTasks is a range of a job's tasks that is offloaded to a partner cluster, with the reason
// for the offload.
type RemoteTasks struct {
	Cluster   string `cbor:"cluster" json:"cluster"`
	FirstTask int    `cbor:"first" json:"first"`
	Tasks     int    `cbor:"tasks" json:"tasks"`
	Reason    string `cbor:"why" json:"why"`
}
