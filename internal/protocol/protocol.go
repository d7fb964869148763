// Package wire holds the words of the outer protocol: the CBOR bodies that
// users, workers, the cloud and the state service exchange with a controller.
// Nothing else in the program spells these words; inside, the field's usual
// terms are used (job, task, gang, lease, token, zone, spot).
package protocol

import (
	"math"
	"regexp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxBodyBytes is the size limit of a request body and of responses to workers
// and users.
const MaxBodyBytes = 64 << 10

// Job shapes.
const (
	ShapeArray   = "batch"
	ShapeGang    = "ensemble"
	ShapeService = "daemon"
)

// Job states told to users.
const (
	JobPending   = "pending"
	TaskRunning  = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
)

// Task states told by workers (Running is shared with jobs).
const (
	TaskPullingImage   = "pulling"
	TaskWaitingForGang = "waiting"
	TaskCheckpointing  = "flushing"
	TaskEnded          = "ended"
)

// Causes of an ended task (Done is shared with jobs).
const (
	CauseStopped             = "halted"
	CauseGangMemberLost      = "mates_gone"
	CauseGangIncomplete      = "incomplete"
	CauseError               = "error"
	CauseMachineFull         = "full"
	CauseOtherAttemptPresent = "busy"
	CauseUnknownTask         = "unknown"
)

// Verbs of commands to workers.
const (
	CommandLaunch      = "launch"
	CommandStop        = "halt"
	CommandAcknowledge = "reap"
)

// Machine states in the cloud's list.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// Ranks in rising order of who may preempt whom.
var priorities = map[string]int{"best_effort": 0, "standard": 1, "high": 2, "prod": 3}

// ParsePriority gives the order of a rank; false when the word is unknown.
func ParsePriority(s string) (int, bool) { r, ok := priorities[s]; return r, ok }

var jobIDPattern = regexp.MustCompile(`^wk-[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$`)

// ValidJobID tells whether s has the form of a job id. Slashes would blur
// task names and state keys, blanks are refused by the state service.
func ValidJobID(s string) bool { return jobIDPattern.MatchString(s) }

// Submission is the body of POST /v2/runs as it came; see Check.
type Submission struct {
	ID                 *string  `cbor:"id"`
	Class              *string  `cbor:"trade"`
	Team               *string  `cbor:"crew"`
	Shape              *string  `cbor:"shape"`
	Priority           *string  `cbor:"rank"`
	Tasks              *uint64  `cbor:"pieces"`
	Cores              *float64 `cbor:"cores"`
	GPUs               *float64 `cbor:"accelerators"`
	MemoryGB           *float64 `cbor:"memoryGb"`
	Image              *string  `cbor:"kit"`
	ImageGB            *float64 `cbor:"pullGb"`
	MachineTypes       []string `cbor:"builds"`
	Zone               *string  `cbor:"yard"`
	SingleZone         *bool    `cbor:"together"`
	SpreadZones        *bool    `cbor:"apart"`
	AllowSpot          *bool    `cbor:"loaners"`
	Estimate           *float64 `cbor:"reckonS"`
	CheckpointInterval *float64 `cbor:"markS"`
	CheckpointDuration *float64 `cbor:"stowS"`
	Deadline           *float64 `cbor:"dueS"`
	Dependencies       []string `cbor:"awaits,omitempty"`
}

// Job is a checked submission. It is kept in the state service in this form.
type Job struct {
	ID                 string   `cbor:"id"`
	Class              string   `cbor:"cl"`
	Team               string   `cbor:"tm"`
	Shape              string   `cbor:"sh"`
	Priority           int      `cbor:"rk"`
	Tasks              int      `cbor:"n"`
	Cores              float64  `cbor:"c"`
	GPUs               float64  `cbor:"g"`
	MemoryGB           float64  `cbor:"m"`
	Image              string   `cbor:"im"`
	ImageGB            float64  `cbor:"ig"`
	MachineTypes       []string `cbor:"ty"`
	Zone               string   `cbor:"z"`
	SingleZone         bool     `cbor:"oz"`
	SpreadZones        bool     `cbor:"sp"`
	AllowSpot          bool     `cbor:"st"`
	Estimate           float64  `cbor:"es"`
	CheckpointInterval float64  `cbor:"ck"`
	CheckpointDuration float64  `cbor:"sv"`
	Deadline           float64  `cbor:"dl"` // seconds after submission; 0: none
	// Dependencies are the jobs that must be done before any of its tasks starts.
	Dependencies []string `cbor:"nd,omitempty"`
}

// MaxTasks is the most tasks a job may have.
const MaxTasks = 100_000

func isAmount(f *float64) bool {
	return f != nil && *f >= 0 && !math.IsInf(*f, 0) && !math.IsNaN(*f)
}

// Validate turns a submission into a job, or says which field is wrong.
func (s *Submission) Validate() (*Job, string) {
	switch {
	case s.ID == nil || !ValidJobID(*s.ID):
		return nil, "id"
	case s.Class == nil || *s.Class == "":
		return nil, "trade"
	case s.Team == nil:
		return nil, "crew"
	case s.Shape == nil || (*s.Shape != ShapeArray && *s.Shape != ShapeGang && *s.Shape != ShapeService):
		return nil, "shape"
	case s.Priority == nil:
		return nil, "rank"
	case s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasks:
		return nil, "pieces"
	case !isAmount(s.Cores):
		return nil, "cores"
	case !isAmount(s.GPUs):
		return nil, "accelerators"
	case !isAmount(s.MemoryGB):
		return nil, "memoryGb"
	case s.Image == nil || *s.Image == "":
		return nil, "kit"
	case !isAmount(s.ImageGB):
		return nil, "pullGb"
	case s.Zone != nil && *s.Zone == "": // null is any zone
		return nil, "yard"
	case s.SingleZone == nil:
		return nil, "together"
	case s.SpreadZones == nil:
		return nil, "apart"
	case s.AllowSpot == nil:
		return nil, "loaners"
	case !isAmount(s.Estimate):
		return nil, "reckonS"
	case !isAmount(s.CheckpointInterval):
		return nil, "markS"
	case !isAmount(s.CheckpointDuration):
		return nil, "stowS"
	case s.Deadline != nil && !isAmount(s.Deadline):
		return nil, "dueS"
	}
	rank, ok := ParsePriority(*s.Priority)
	if !ok {
		return nil, "rank"
	}
	j := &Job{ID: *s.ID, Class: *s.Class, Team: *s.Team, Shape: *s.Shape, Priority: rank, Tasks: int(*s.Tasks),
		Cores: *s.Cores, GPUs: *s.GPUs, MemoryGB: *s.MemoryGB, Image: *s.Image, ImageGB: *s.ImageGB,
		MachineTypes: s.MachineTypes, SingleZone: *s.SingleZone, SpreadZones: *s.SpreadZones, AllowSpot: *s.AllowSpot,
		Estimate: *s.Estimate, CheckpointInterval: *s.CheckpointInterval, CheckpointDuration: *s.CheckpointDuration}
	if s.Zone != nil {
		j.Zone = *s.Zone
	}
	if s.Deadline != nil {
		j.Deadline = *s.Deadline
	}
	for _, need := range s.Dependencies {
		if !ValidJobID(need) {
			return nil, "awaits"
		}
		if !slices.Contains(j.Dependencies, need) {
			j.Dependencies = append(j.Dependencies, need)
		}
	}
	return j, ""
}

// JobState answers users.
type JobState struct {
	ID      string `cbor:"id"`
	Status  string `cbor:"status"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
	// Remote is not in PROTOCOL (unknown fields are ignored): what runs, or
	// waits, at partner clusters.
	Remote []RemoteTasks `cbor:"elsewhere,omitempty"`
	// PendingDependencies lists what the job still waits for, Cause the job with whose cancellation it
	// was withdrawn. Neither is in PROTOCOL's answers.
	PendingDependencies []string `cbor:"awaits,omitempty"`
	CancelledBy         string   `cbor:"cause,omitempty"`
}

// RemoteTasks says why some of a job's tasks are at another cluster.
type RemoteTasks struct {
	Cluster   string `cbor:"cluster" json:"cluster"`
	FirstTask int    `cbor:"first" json:"first"`
	Tasks     int    `cbor:"tasks" json:"tasks"`
	Reason    string `cbor:"why" json:"why"`
}

// ErrorResponse is the body of a refusal.
type ErrorResponse struct {
	Error string `cbor:"error"`
	Owner string `cbor:"foreman,omitempty"`
}

// TaskReport is one task on a machine.
type TaskReport struct {
	Task         string `cbor:"piece"`
	Attempt      uint64 `cbor:"try"`
	State        string `cbor:"status"`
	Cause        string `cbor:"cause"`
	Checkpointed bool   `cbor:"kept"`
}

// Report is what a worker tells.
type Report struct {
	Machine          string       `cbor:"kiln"`
	Address          string       `cbor:"address"`
	Type             string       `cbor:"build"`
	Zone             string       `cbor:"yard"`
	Spot             bool         `cbor:"loaners"`
	Incarnation      uint64       `cbor:"shift"`
	Sequence         uint64       `cbor:"tally"`
	FencingToken     uint64       `cbor:"baton"`
	PreemptionNotice *float64     `cbor:"warningS"`
	Tasks            []TaskReport `cbor:"pieces"`
}

// A worker waits so long for the answer to its report, and goes to the next
// controller so long after that.
const (
	ReportTimeout       = 4 * time.Second
	NextControllerDelay = time.Second
)

// Validate says what is not of the protocol's form; "" if all is.
func (r *Report) Validate() string {
	switch {
	case r.Machine == "":
		return "no machine"
	case r.Address == "" || r.Type == "" || r.Zone == "":
		return "no address, type or zone"
	case r.Incarnation == 0:
		return "no session"
	case r.PreemptionNotice != nil && !(*r.PreemptionNotice >= 0 && *r.PreemptionNotice < 1e9): // NaN, too
		return "warningS is not a time"
	}
	return ""
}

// IsNewerThan tells whether r was made after (session, seq).
func (r *Report) IsNewerThan(incarnation, sequence uint64) bool {
	return r.Incarnation > incarnation || r.Incarnation == incarnation && r.Sequence > sequence
}

// Command is one order to a worker.
type Command struct {
	Verb         string   `cbor:"verb"`
	Task         string   `cbor:"piece"`
	Attempt      uint64   `cbor:"try"`
	GraceSeconds *float64 `cbor:"leewayS,omitempty"`
}

// CommandBatch answers a report, and is the body of POST /orders (with Session).
type CommandBatch struct {
	FencingToken uint64    `cbor:"baton"`
	Incarnation  uint64    `cbor:"shift,omitempty"`
	Commands     []Command `cbor:"orders"`
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name             string   `cbor:"label"`
	Cores            float64  `cbor:"cores"`
	GPUs             float64  `cbor:"accelerators"`
	MemoryGB         float64  `cbor:"memoryGb"`
	CacheGB          float64  `cbor:"localGb"`
	FetchGBPerSecond float64  `cbor:"fetchGbPerS"`
	OnDemandPrice    float64  `cbor:"rate"`
	SpotPrice        float64  `cbor:"spotPrice"`
	BootSeconds      float64  `cbor:"bootS"`
	Zones            []string `cbor:"yards"`
}

// HourlyPrice is its price an hour, as a spot machine or an ordinary one.
func (t *MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// TasksThatFit counts how many of n tasks of a job an empty machine holds.
func (t *MachineType) TasksThatFit(j *Job, n int) int {
	const eps = 1e-9
	k := float64(n)
	if j.Cores > 0 {
		k = min(k, math.Floor(t.Cores/j.Cores+eps))
	}
	if j.GPUs > 0 {
		k = min(k, math.Floor(t.GPUs/j.GPUs+eps))
	}
	if j.MemoryGB > 0 {
		k = min(k, math.Floor(t.MemoryGB/j.MemoryGB+eps))
	}
	return int(k)
}

// MachinesNeeded is how many empty machines all tasks of a job take.
func (t *MachineType) MachinesNeeded(j *Job) int {
	k := max(1, t.TasksThatFit(j, j.Tasks))
	return (j.Tasks + k - 1) / k
}

// Catalog answers GET /catalog.
type Catalog struct {
	MachineTypes []MachineType `cbor:"builds"`
}

// RentalRequest is the body of POST /rentals.
type RentalRequest struct {
	RequestID string `cbor:"hire"`
	Type      string `cbor:"build"`
	Zone      string `cbor:"yard"`
	Spot      bool   `cbor:"loaners"`
	Count     int    `cbor:"howMany"`
}

// MachineIDList answers a rental and is the body of a deletion.
type MachineIDList struct {
	Machines []string `cbor:"kilns"`
}

// ListedMachine is an entry of the cloud's list.
type ListedMachine struct {
	ID         string  `cbor:"id"`
	Address    string  `cbor:"address"`
	Type       string  `cbor:"build"`
	Zone       string  `cbor:"yard"`
	Spot       bool    `cbor:"loaners"`
	Status     string  `cbor:"status"`
	AgeSeconds float64 `cbor:"heldS"`
}

// MachineList answers GET /rentals.
type MachineList struct {
	Machines  []ListedMachine `cbor:"kilns"`
	Truncated bool            `cbor:"truncated"`
}

// Entry is a key of the state service.
type Entry struct {
	Key           string          `cbor:"k"`
	Value         cbor.RawMessage `cbor:"value"`
	Revision      uint64          `cbor:"stamp"`
	Lease         uint64          `cbor:"permit"`
	StoreRevision uint64          `cbor:"ledger"` // when the key is missing
}

// EntryList answers GET /store?under=.
type EntryList struct {
	Entries       []Entry `cbor:"entries"`
	Truncated     bool    `cbor:"truncated"`
	StoreRevision uint64  `cbor:"ledger"`
}

// Change is one event of GET /changes.
type Change struct {
	Put      string          `cbor:"put"`
	Delete   string          `cbor:"delete"`
	Value    cbor.RawMessage `cbor:"value"`
	Revision uint64          `cbor:"stamp"`
}

// ChangeLog answers GET /changes.
type ChangeLog struct {
	StoreRevision uint64   `cbor:"ledger"`
	Changes       []Change `cbor:"log"`
}

// Condition is a condition of a transaction.
type Condition struct {
	Key      string `cbor:"k"`
	Revision uint64 `cbor:"stamp"`
}

// Mutation is a put or delete of a transaction.
type Mutation struct {
	Put    string          `cbor:"put,omitempty"`
	Delete string          `cbor:"delete,omitempty"`
	Value  cbor.RawMessage `cbor:"value,omitempty"`
	Lease  uint64          `cbor:"permit,omitempty"`
}

// Transaction is the body of POST /multi.
type Transaction struct {
	Conditions []Condition `cbor:"when"`
	Mutations  []Mutation  `cbor:"apply,omitempty"`
}

// TransactionResult answers it.
type TransactionResult struct {
	StoreRevision uint64   `cbor:"ledger"`
	FailedKeys    []string `cbor:"failed"`
	Error         string   `cbor:"error"`
}

// LeaseRequest and Grant are for POST /grants.
type LeaseRequest struct {
	TTLMillis uint64 `cbor:"lifeMs"`
}

// LeaseGrant answers it.
type LeaseGrant struct {
	Lease uint64 `cbor:"permit"`
}

var (
	encodeMode = func() cbor.EncMode {
		m, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
	decodeMode = func() cbor.DecMode {
		m, err := cbor.DecOptions{FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
			MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 17}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

// Encode gives v's CBOR form. Only our own types come here, so a failure is
// a mistake in the program.
func Encode(v any) []byte {
	b, err := encodeMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads CBOR into v.
func Decode(b []byte, v any) error { return decodeMode.Unmarshal(b, v) }

// IsMap tells whether b starts as a CBOR map: fxamacker would also fill a
// struct from null.
func IsMap(b []byte) bool { return len(b) > 0 && b[0]>>5 == 5 }
