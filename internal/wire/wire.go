// Package wire holds the words of the outer protocol: the CBOR bodies that
// users, workers, the cloud and the state service exchange with a controller.
// Nothing else in the program spells these words; inside, the field's usual
// terms are used (job, task, gang, lease, token, zone, spot).
package wire

import (
	"math"
	"regexp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the size limit of a request body and of responses to workers
// and users.
const MaxBody = 64 << 10

// Job shapes.
const (
	Array   = "batch"
	Gang    = "ensemble"
	Service = "daemon"
)

// Job states told to users.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Withdrawn = "withdrawn"
)

// Task states told by workers (Running is shared with jobs).
const (
	Pulling  = "pulling"
	Waiting  = "waiting"
	Flushing = "flushing"
	Ended    = "ended"
)

// Causes of an ended task (Done is shared with jobs).
const (
	Halted     = "halted"
	MatesGone  = "mates_gone"
	Incomplete = "incomplete"
	Failed     = "error"
	Full       = "full"
	Busy       = "busy"
	Unknown    = "unknown"
)

// Verbs of commands to workers.
const (
	Launch = "launch"
	Halt   = "halt"
	Reap   = "reap"
)

// Machine states in the cloud's list.
const (
	Starting    = "starting"
	MachineUp   = "running"
	MachineDead = "failed"
)

// Ranks in rising order of who may preempt whom.
var ranks = map[string]int{"best_effort": 0, "standard": 1, "high": 2, "prod": 3}

// RankOf gives the order of a rank; false when the word is unknown.
func RankOf(s string) (int, bool) { r, ok := ranks[s]; return r, ok }

var jobID = regexp.MustCompile(`^wk-[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$`)

// ValidJobID tells whether s has the form of a job id. Slashes would blur
// task names and state keys, blanks are refused by the state service.
func ValidJobID(s string) bool { return jobID.MatchString(s) }

// Submission is the body of POST /v2/runs as it came; see Check.
type Submission struct {
	ID       *string  `cbor:"id"`
	Trade    *string  `cbor:"trade"`
	Crew     *string  `cbor:"crew"`
	Shape    *string  `cbor:"shape"`
	Rank     *string  `cbor:"rank"`
	Pieces   *uint64  `cbor:"pieces"`
	Cores    *float64 `cbor:"cores"`
	GPUs     *float64 `cbor:"accelerators"`
	Memory   *float64 `cbor:"memoryGb"`
	Kit      *string  `cbor:"kit"`
	PullGb   *float64 `cbor:"pullGb"`
	Builds   []string `cbor:"builds"`
	Yard     *string  `cbor:"yard"`
	Together *bool    `cbor:"together"`
	Apart    *bool    `cbor:"apart"`
	Loaners  *bool    `cbor:"loaners"`
	Reckon   *float64 `cbor:"reckonS"`
	Mark     *float64 `cbor:"markS"`
	Stow     *float64 `cbor:"stowS"`
	Due      *float64 `cbor:"dueS"`
	Awaits   []string `cbor:"awaits,omitempty"`
}

// Job is a checked submission. It is kept in the state service in this form.
type Job struct {
	ID       string   `cbor:"id"`
	Class    string   `cbor:"cl"`
	Team     string   `cbor:"tm"`
	Shape    string   `cbor:"sh"`
	Rank     int      `cbor:"rk"`
	Tasks    int      `cbor:"n"`
	Cores    float64  `cbor:"c"`
	GPUs     float64  `cbor:"g"`
	Memory   float64  `cbor:"m"`
	Image    string   `cbor:"im"`
	ImageGb  float64  `cbor:"ig"`
	Types    []string `cbor:"ty"`
	Zone     string   `cbor:"z"`
	OneZone  bool     `cbor:"oz"`
	Spread   bool     `cbor:"sp"`
	Spot     bool     `cbor:"st"`
	Estimate float64  `cbor:"es"`
	Mark     float64  `cbor:"ck"`
	Save     float64  `cbor:"sv"`
	Deadline float64  `cbor:"dl"` // seconds after submission; 0: none
	// Needs are the jobs that must be done before any of its tasks starts.
	Needs []string `cbor:"nd,omitempty"`
}

// MaxTasks is the most tasks a job may have.
const MaxTasks = 100_000

func amount(f *float64) bool {
	return f != nil && *f >= 0 && !math.IsInf(*f, 0) && !math.IsNaN(*f)
}

// Check turns a submission into a job, or says which field is wrong.
func (s *Submission) Check() (*Job, string) {
	switch {
	case s.ID == nil || !ValidJobID(*s.ID):
		return nil, "id"
	case s.Trade == nil || *s.Trade == "":
		return nil, "trade"
	case s.Crew == nil:
		return nil, "crew"
	case s.Shape == nil || (*s.Shape != Array && *s.Shape != Gang && *s.Shape != Service):
		return nil, "shape"
	case s.Rank == nil:
		return nil, "rank"
	case s.Pieces == nil || *s.Pieces < 1 || *s.Pieces > MaxTasks:
		return nil, "pieces"
	case !amount(s.Cores):
		return nil, "cores"
	case !amount(s.GPUs):
		return nil, "accelerators"
	case !amount(s.Memory):
		return nil, "memoryGb"
	case s.Kit == nil || *s.Kit == "":
		return nil, "kit"
	case !amount(s.PullGb):
		return nil, "pullGb"
	case s.Yard != nil && *s.Yard == "": // null is any zone
		return nil, "yard"
	case s.Together == nil:
		return nil, "together"
	case s.Apart == nil:
		return nil, "apart"
	case s.Loaners == nil:
		return nil, "loaners"
	case !amount(s.Reckon):
		return nil, "reckonS"
	case !amount(s.Mark):
		return nil, "markS"
	case !amount(s.Stow):
		return nil, "stowS"
	case s.Due != nil && !amount(s.Due):
		return nil, "dueS"
	}
	rank, ok := RankOf(*s.Rank)
	if !ok {
		return nil, "rank"
	}
	j := &Job{ID: *s.ID, Class: *s.Trade, Team: *s.Crew, Shape: *s.Shape, Rank: rank, Tasks: int(*s.Pieces),
		Cores: *s.Cores, GPUs: *s.GPUs, Memory: *s.Memory, Image: *s.Kit, ImageGb: *s.PullGb,
		Types: s.Builds, OneZone: *s.Together, Spread: *s.Apart, Spot: *s.Loaners,
		Estimate: *s.Reckon, Mark: *s.Mark, Save: *s.Stow}
	if s.Yard != nil {
		j.Zone = *s.Yard
	}
	if s.Due != nil {
		j.Deadline = *s.Due
	}
	for _, need := range s.Awaits {
		if !ValidJobID(need) {
			return nil, "awaits"
		}
		if !slices.Contains(j.Needs, need) {
			j.Needs = append(j.Needs, need)
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
	// Elsewhere is not in PROTOCOL (unknown fields are ignored): what runs, or
	// waits, at partner clusters.
	Elsewhere []Elsewhere `cbor:"elsewhere,omitempty"`
	// Awaits lists what the job still waits for, Cause the job with whose cancellation it
	// was withdrawn. Neither is in PROTOCOL's answers.
	Awaits []string `cbor:"awaits,omitempty"`
	Cause  string   `cbor:"cause,omitempty"`
}

// Elsewhere says why some of a job's tasks are at another cluster.
type Elsewhere struct {
	Cluster string `cbor:"cluster" json:"cluster"`
	First   int    `cbor:"first" json:"first"`
	Tasks   int    `cbor:"tasks" json:"tasks"`
	Why     string `cbor:"why" json:"why"`
}

// Problem is the body of a refusal.
type Problem struct {
	Error string `cbor:"error"`
	Owner string `cbor:"foreman,omitempty"`
}

// TaskReport is one task on a machine.
type TaskReport struct {
	Task  string `cbor:"piece"`
	Try   uint64 `cbor:"try"`
	State string `cbor:"status"`
	Cause string `cbor:"cause"`
	Saved bool   `cbor:"kept"`
}

// Report is what a worker tells.
type Report struct {
	Machine string       `cbor:"kiln"`
	Address string       `cbor:"address"`
	Type    string       `cbor:"build"`
	Zone    string       `cbor:"yard"`
	Spot    bool         `cbor:"loaners"`
	Session uint64       `cbor:"shift"`
	Seq     uint64       `cbor:"tally"`
	Token   uint64       `cbor:"baton"`
	Notice  *float64     `cbor:"warningS"`
	Tasks   []TaskReport `cbor:"pieces"`
}

// A worker waits so long for the answer to its report, and goes to the next
// controller so long after that.
const (
	AnswerWithin = 4 * time.Second
	NextAfter    = time.Second
)

// Check says what is not of the protocol's form; "" if all is.
func (r *Report) Check() string {
	switch {
	case r.Machine == "":
		return "no machine"
	case r.Address == "" || r.Type == "" || r.Zone == "":
		return "no address, type or zone"
	case r.Session == 0:
		return "no session"
	case r.Notice != nil && !(*r.Notice >= 0 && *r.Notice < 1e9): // NaN, too
		return "warningS is not a time"
	}
	return ""
}

// Newer tells whether r was made after (session, seq).
func (r *Report) Newer(session, seq uint64) bool {
	return r.Session > session || r.Session == session && r.Seq > seq
}

// Command is one order to a worker.
type Command struct {
	Verb  string   `cbor:"verb"`
	Task  string   `cbor:"piece"`
	Try   uint64   `cbor:"try"`
	Grace *float64 `cbor:"leewayS,omitempty"`
}

// Commands answers a report, and is the body of POST /orders (with Session).
type Commands struct {
	Token   uint64    `cbor:"baton"`
	Session uint64    `cbor:"shift,omitempty"`
	Orders  []Command `cbor:"orders"`
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name    string   `cbor:"label"`
	Cores   float64  `cbor:"cores"`
	GPUs    float64  `cbor:"accelerators"`
	Memory  float64  `cbor:"memoryGb"`
	CacheGb float64  `cbor:"localGb"`
	Fetch   float64  `cbor:"fetchGbPerS"`
	Price   float64  `cbor:"rate"`
	Spot    float64  `cbor:"spotPrice"`
	Boot    float64  `cbor:"bootS"`
	Zones   []string `cbor:"yards"`
}

// Rate is its price an hour, as a spot machine or an ordinary one.
func (t *MachineType) Rate(spot bool) float64 {
	if spot {
		return t.Spot
	}
	return t.Price
}

// Fits counts how many of n tasks of a job an empty machine holds.
func (t *MachineType) Fits(j *Job, n int) int {
	const eps = 1e-9
	k := float64(n)
	if j.Cores > 0 {
		k = min(k, math.Floor(t.Cores/j.Cores+eps))
	}
	if j.GPUs > 0 {
		k = min(k, math.Floor(t.GPUs/j.GPUs+eps))
	}
	if j.Memory > 0 {
		k = min(k, math.Floor(t.Memory/j.Memory+eps))
	}
	return int(k)
}

// Machines is how many empty machines all tasks of a job take.
func (t *MachineType) Machines(j *Job) int {
	k := max(1, t.Fits(j, j.Tasks))
	return (j.Tasks + k - 1) / k
}

// Catalog answers GET /catalog.
type Catalog struct {
	Types []MachineType `cbor:"builds"`
}

// Rental is the body of POST /rentals.
type Rental struct {
	Request string `cbor:"hire"`
	Type    string `cbor:"build"`
	Zone    string `cbor:"yard"`
	Spot    bool   `cbor:"loaners"`
	Count   int    `cbor:"howMany"`
}

// MachineNames answers a rental and is the body of a deletion.
type MachineNames struct {
	Machines []string `cbor:"kilns"`
}

// ListedMachine is an entry of the cloud's list.
type ListedMachine struct {
	ID      string  `cbor:"id"`
	Address string  `cbor:"address"`
	Type    string  `cbor:"build"`
	Zone    string  `cbor:"yard"`
	Spot    bool    `cbor:"loaners"`
	State   string  `cbor:"status"`
	Age     float64 `cbor:"heldS"`
}

// MachineList answers GET /rentals.
type MachineList struct {
	Machines []ListedMachine `cbor:"kilns"`
	More     bool            `cbor:"truncated"`
}

// Entry is a key of the state service.
type Entry struct {
	Key    string          `cbor:"k"`
	Value  cbor.RawMessage `cbor:"value"`
	Stamp  uint64          `cbor:"stamp"`
	Lease  uint64          `cbor:"permit"`
	Ledger uint64          `cbor:"ledger"` // when the key is missing
}

// EntryList answers GET /store?under=.
type EntryList struct {
	Entries []Entry `cbor:"entries"`
	More    bool    `cbor:"truncated"`
	Ledger  uint64  `cbor:"ledger"`
}

// Change is one event of GET /changes.
type Change struct {
	Put    string          `cbor:"put"`
	Delete string          `cbor:"delete"`
	Value  cbor.RawMessage `cbor:"value"`
	Stamp  uint64          `cbor:"stamp"`
}

// Changes answers GET /changes.
type Changes struct {
	Ledger uint64   `cbor:"ledger"`
	Log    []Change `cbor:"log"`
}

// Cond is a condition of a transaction.
type Cond struct {
	Key   string `cbor:"k"`
	Stamp uint64 `cbor:"stamp"`
}

// Op is a put or delete of a transaction.
type Op struct {
	Put    string          `cbor:"put,omitempty"`
	Delete string          `cbor:"delete,omitempty"`
	Value  cbor.RawMessage `cbor:"value,omitempty"`
	Lease  uint64          `cbor:"permit,omitempty"`
}

// Txn is the body of POST /multi.
type Txn struct {
	When  []Cond `cbor:"when"`
	Apply []Op   `cbor:"apply,omitempty"`
}

// TxnResult answers it.
type TxnResult struct {
	Ledger uint64   `cbor:"ledger"`
	Failed []string `cbor:"failed"`
	Error  string   `cbor:"error"`
}

// GrantRequest and Grant are for POST /grants.
type GrantRequest struct {
	LifeMs uint64 `cbor:"lifeMs"`
}

// Grant answers it.
type Grant struct {
	Lease uint64 `cbor:"permit"`
}

var (
	enc = func() cbor.EncMode {
		m, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
	dec = func() cbor.DecMode {
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
	b, err := enc.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads CBOR into v.
func Decode(b []byte, v any) error { return dec.Unmarshal(b, v) }

// IsMap tells whether b starts as a CBOR map: fxamacker would also fill a
// struct from null.
func IsMap(b []byte) bool { return len(b) > 0 && b[0]>>5 == 5 }
