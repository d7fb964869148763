package protocol

import "regexp"

// MaxTasks is the most tasks a job may have.
const MaxTasks = 100_000

// JobShape says how the tasks of a job belong together.
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

// JobStatus is the state of a job as users are told.
type JobStatus string

// The states of jobs.
const (
	JobPending   JobStatus = "pending" // no task runs
	JobRunning   JobStatus = "running"
	JobDone      JobStatus = "done"
	JobCancelled JobStatus = "withdrawn"
)

// IsFinal reports whether a job in this state stays in it.
func (s JobStatus) IsFinal() bool { return s == JobDone || s == JobCancelled }

// priorities in rising order: a job may preempt those with a lower one.
var priorities = map[string]int{
	"best_effort": 0,
	"standard":    1,
	"high":        2,
	"prod":        3,
}

// ParsePriority returns the order of a priority's name; false if the name is unknown.
func ParsePriority(name string) (int, bool) {
	priority, ok := priorities[name]
	return priority, ok
}

var jobIDPattern = regexp.MustCompile(`^wk-[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$`)

// ValidJobID reports whether id has the form of a job ID. A slash would make task names and
// keys of the key-value store ambiguous, and the store refuses blanks.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// Submission is the body of POST /v2/runs as it arrived; see Validate. Durations are in
// seconds.
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

// Job is a valid submission. The key-value store keeps it in this form. Cores, GPUs and
// memory are those of one task; durations are in seconds.
type Job struct {
	ID           string   `cbor:"id"`
	Class        string   `cbor:"cl"` // jobs of one class are alike
	Team         string   `cbor:"tm"`
	Shape        JobShape `cbor:"sh"`
	Priority     int      `cbor:"rk"` // see ParsePriority
	Tasks        int      `cbor:"n"`
	Cores        float64  `cbor:"c"`
	GPUs         float64  `cbor:"g"`
	MemoryGB     float64  `cbor:"m"`
	Image        string   `cbor:"im"`
	ImageGB      float64  `cbor:"ig"`
	MachineTypes []string `cbor:"ty"` // the only ones allowed; none: any
	Zone         string   `cbor:"z"`  // the only one allowed; "": any
	SingleZone   bool     `cbor:"oz"` // all tasks must be in the same zone
	SpreadZones  bool     `cbor:"sp"` // at most half of the tasks, rounded up, may be in one zone
	AllowSpot    bool     `cbor:"st"` // may run on spot machines
	// Estimate is its owner's guess of a task's run time, which is often wrong.
	Estimate float64 `cbor:"es"`
	// CheckpointInterval is the progress after which a running task saves a checkpoint;
	// 0: tasks have no checkpoints.
	CheckpointInterval float64 `cbor:"ck"`
	CheckpointDuration float64 `cbor:"sv"` // what saving takes when a task is stopped
	Deadline           float64 `cbor:"dl"` // after the submission; 0: none
	// Dependencies are the jobs that must be done before any of its tasks starts.
	Dependencies []string `cbor:"nd,omitempty"`
}

// JobState answers users.
type JobState struct {
	ID      string    `cbor:"id"`
	Status  JobStatus `cbor:"status"`
	Done    *int      `cbor:"done,omitempty"`    // tasks
	Running *int      `cbor:"running,omitempty"` // tasks
	// Remote lists what runs, or is queued, at partner clusters. It is not in PROTOCOL,
	// by which users ignore unknown fields; nor are the next two.
	Remote []RemoteTasks `cbor:"elsewhere,omitempty"`
	// PendingDependencies are the jobs that it still waits for.
	PendingDependencies []string `cbor:"awaits,omitempty"`
	// CancelledBy is the job whose cancellation cancelled this one.
	CancelledBy string `cbor:"cause,omitempty"`
}

// RemoteTasks says why some of a job's tasks are at a partner cluster.
type RemoteTasks struct {
	Cluster   string `cbor:"cluster" json:"cluster"`
	FirstTask int    `cbor:"first" json:"first"`
	Tasks     int    `cbor:"tasks" json:"tasks"`
	Reason    string `cbor:"why" json:"why"`
}
