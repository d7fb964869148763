package part

import (
	"sort"
	"time"

	"curlewspool/internal/loan"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
)

// JobRecord is what the ledger keeps of a live job, under JobKey.
type JobRecord struct {
	W     string   `cbor:"w"`
	Job   wire.Job `cbor:"j"`
	At    float64  `cbor:"at"` // time of day of acceptance, seconds
	Rank  int      `cbor:"r"`  // the leader's margin rank
	Chunk int      `cbor:"ch"` // tasks of a chunk
	Parts []int    `cbor:"p"`  // part of each chunk; Lent: at a partner

	// Anywhere: it may be on any machine of its part, from its acceptance on; no
	// record names them. See Work.anywhere.
	Anywhere bool `cbor:"an,omitempty"`

	// SubmittedAt, of a job that waited for others, is the time of day of its acceptance;
	// At is that of its release then, and Job.Deadline counts from there.
	SubmittedAt float64 `cbor:"sa,omitempty"`

	Away   []Away   `cbor:"aw,omitempty"` // the chunks that are lent
	LoanNo uint64   `cbor:"ln,omitempty"` // of the latest loan; only grows
	Done   [][2]int `cbor:"dn,omitempty"` // tasks known done when a chunk was lent or came back
	Loan   *Loan    `cbor:"lo,omitempty"` // borrowed: whose it is
}

// Waits tells whether the job waits for others: no part has it yet, so that none can start
// any of it, whatever version its owner is of.
func (r *JobRecord) Waits() bool { return len(r.Parts) == 0 && len(r.Job.Needs) > 0 }

// Release gives a job that has waited its parts, at a time of day. Its age begins anew;
// its deadline goes on counting from its submission, and is over if that has passed.
func (r *JobRecord) Release(at float64) *JobRecord {
	out := *r
	out.SubmittedAt, out.At = r.At, at
	if r.Job.Deadline > 0 {
		out.Job.Deadline = max(r.Job.Deadline-(at-r.At), Overdue)
	}
	return &out
}

// Overdue is a deadline that is over from the start; 0 would be none.
const Overdue = 0.001

// Lent is the part of a chunk that is at a partner: nobody's here.
const Lent = -1

// Away says where a chunk is. While it stands, the partner may run its tasks.
type Away struct {
	Chunk int     `cbor:"c"`
	First int     `cbor:"f"` // its first task
	To    string  `cbor:"to"`
	No    uint64  `cbor:"n"`
	By    uint64  `cbor:"by"` // the leadership that ordered it
	At    float64 `cbor:"at"` // time of day, seconds
	Offer uint64  `cbor:"of"`
	Why   string  `cbor:"y"`
	// The figures under which it was lent; settings may change meanwhile.
	TermMs  int64 `cbor:"tm"`
	LeaseMs int64 `cbor:"lm"`
}

// Loan is what the host of a borrowed job keeps of it.
type Loan struct {
	Home   string `cbor:"h"`
	Job    string `cbor:"j"` // as home calls it
	First  int    `cbor:"f"`
	No     uint64 `cbor:"n"`
	TermMs int64  `cbor:"tm"`
	Ending bool   `cbor:"e"` // to be stopped and given back
	Recall bool   `cbor:"r"` // to be given back if none of it is on a machine
}

// Progress is what a part's owner keeps of a job, under ProgressKey. One
// write says for all machines of the part where the job may be: a write for
// each machine would use up a minute of the state's budget at the start of one
// large array.
type Progress struct {
	W       string   `cbor:"w"`
	Done    [][2]int `cbor:"d"` // ranges of finished tasks, ends included
	Running int      `cbor:"r"`
	On      []string `cbor:"o"`           // machines of the part that it may be on
	All     bool     `cbor:"a"`           // it may be on any of them
	Against float64  `cbor:"x,omitempty"` // that it is mistaken, as log odds of this part's failures
}

// MachineRecord is what the ledger keeps of a machine, in a Roster.
type MachineRecord struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Part    int
	Address string
	Type    string
	Zone    string
	Spot    bool
	Own     bool // was there before any rental of ours
}

// Size is about what the record takes in the form that limits are counted in.
func (r *MachineRecord) Size() int {
	return len(r.ID) + len(r.Address) + len(r.Type) + len(r.Zone) + 32
}

// Roster is a group of machines kept under one key.
type Roster struct {
	W        string          `cbor:"w"`
	Machines []MachineRecord `cbor:"m"`
}

// Fill adds machines as long as they fit into limit, and gives those that do not.
func (r *Roster) Fill(add []*MachineRecord, limit int) []*MachineRecord {
	size := 0
	for i := range r.Machines {
		size += r.Machines[i].Size()
	}
	for len(add) > 0 && size+add[0].Size() <= limit {
		size += add[0].Size()
		r.Machines, add = append(r.Machines, *add[0]), add[1:]
	}
	return add
}

// reach is a set of machines that a job may be on.
type reach struct {
	all bool
	on  map[string]bool
}

func (r *reach) has(id string) bool { return r.all || r.on[id] }

// Final is the end of a job, kept for ever under FinalKey.
type Final struct {
	W      string  `cbor:"w"`
	Status string  `cbor:"s"`
	Tasks  int     `cbor:"n"`
	At     float64 `cbor:"at"`
	// Done lists the tasks of a borrowed job that ended well; all, if it is done.
	Done [][2]int `cbor:"d,omitempty"`
	// Cause is the job with whose cancellation this one, which needed it, was withdrawn.
	Cause string `cbor:"c,omitempty"`
}

// JobKey is where the state service keeps a live job's record.
func JobKey(id string) string { return "a/j/" + id }

// FinalKey is where it keeps a job's end, outside of what controllers cache.
func FinalKey(id string) string { return "d/" + id }

// Chunks is the number of chunks of a job.
func (r *JobRecord) Chunks() int { return len(r.Parts) }

// Span gives the tasks of chunk c.
func (r *JobRecord) Span(c int) (from, to int) {
	from = c * r.Chunk
	to = from + r.Chunk
	if c == len(r.Parts)-1 || to > r.Job.Tasks {
		to = r.Job.Tasks
	}
	return from, to
}

// PartOf gives the part that runs task i.
func (r *JobRecord) PartOf(i int) int {
	if i >= r.Job.Tasks || r.Chunk <= 0 {
		return -1
	}
	return r.Parts[min(i/r.Chunk, len(r.Parts)-1)]
}

// Task states inside a part.
const (
	idle   = iota
	placed // on, or about to be on, a machine
	done   // finished, by any part's word
)

// Work is a job with tasks in this part.
type Work struct {
	Rec    *JobRecord // with what it inherits: see Host.Inherit
	record *JobRecord // as the state service has it
	Stamp  uint64

	state   []uint8 // of all tasks of the job
	mine    int     // tasks in this part
	idle    int     // of them, not started
	nplaced int
	left    int // tasks of the whole job not done
	cursor  int // no idle task of ours is below

	runs      map[worker.Task]*placement
	doneMine  int
	dirty     bool                     // progress to be written
	asked     [3]bool                  // a write of each urgency is queued
	writing   bool                     // one has been built and its fate is not known
	stored    reach                    // machines that the ledger says it may be on
	next      *reach                   // the same in the write that is under way
	held      bool                     // runs may wait for such a write
	ended     []*worker.Run            // done, the ledger does not know it yet
	strays    map[*worker.Run]*Machine // not to be there, being halted
	ending    bool                     // the final record is being written
	moving    bool
	writtenAt time.Duration

	try       uint64 // gang: its attempt
	broken    bool   // gang: the attempt has failed and is being cleared
	halting   bool   // gang: being preempted or drained
	began     time.Duration
	queuedAt  time.Duration
	startedAt time.Duration // when some of it was last started here
	begunTo   time.Duration // late to begin: not stopped before

	failedOn map[string]int           // machines on which a task of it failed
	against  map[int]float64          // what other parts' owners hold against it
	fresh    bool                     // accepted, or moved here, after this owner took the part
	unseen   bool                     // Anywhere, and changes before its record are not all known yet
	mistaken bool                     // likely: one task at a time is tried
	probes   int                      // of them, that failed since
	avoid    map[string]time.Duration // machines not to be used before
	notTo    time.Duration            // start nothing before
	why      string                   // why it waits, for operators
	score    float64
	starts   time.Duration // when it is expected to start, if it is reserved for
	permit   *loan.Permit  // borrowed: until when its home lets it run
	placedAt time.Duration // borrowed: when some of it was last on a machine
	over     bool          // borrowed: its home says that it is over there
}

type placement struct {
	m   *Machine
	run *worker.Run
}

func newWork(rec *JobRecord, stamp uint64, now time.Duration) *Work {
	w := &Work{Rec: rec, Stamp: stamp, state: make([]uint8, rec.Job.Tasks), left: rec.Job.Tasks,
		runs: map[worker.Task]*placement{}, strays: map[*worker.Run]*Machine{}, queuedAt: now, failedOn: map[string]int{}, against: map[int]float64{}, avoid: map[string]time.Duration{}}
	if rec.Loan != nil {
		w.permit, w.placedAt = &loan.Permit{}, now
	}
	return w
}

// anywhere: a single task of a rush of such, of which the ledger says from the start
// that it may be on any machine of its part: no record is written before its launch
// and none while it runs. Two changes less of five for each: in a rush of eight a
// second they took the whole budget of 30, and arrays' launches waited for theirs.
//
// After a takeover such a job waits until every machine of the part has answered,
// unless it is fresh: its record is newer than the owner's key, so no owner before
// can have launched it. (One that does not know yet that its key was taken has not
// seen what was stored later either: changes are told in their order.)
func (w *Work) anywhere() bool { return w.Rec.Anywhere }

// covers: the ledger says, and whatever is under way will say, that the job
// may be on the machine.
func (w *Work) covers(id string) bool {
	return w.stored.has(id) && (w.next == nil || w.next.has(id))
}

func (w *Work) gang() bool    { return w.Rec.Job.Shape == wire.Gang }
func (w *Work) service() bool { return w.Rec.Job.Shape == wire.Service }

// recount works out the counters after the chunks of the part changed.
func (w *Work) recount(part int) {
	w.mine, w.idle, w.doneMine, w.cursor = 0, 0, 0, 0
	for c, p := range w.Rec.Parts {
		if p != part {
			continue
		}
		from, to := w.Rec.Span(c)
		for i := from; i < to; i++ {
			w.mine++
			switch w.state[i] {
			case idle:
				w.idle++
			case done:
				w.doneMine++
			}
		}
	}
}

// set moves a task of ours to another state.
func (w *Work) set(i int, to uint8) {
	from := w.state[i]
	if from == to {
		return
	}
	switch from {
	case idle:
		w.idle--
	case placed:
		w.nplaced--
	case done:
		return // for ever
	}
	switch to {
	case idle:
		w.idle++
		w.cursor = min(w.cursor, i)
	case placed:
		w.nplaced++
	case done:
		w.left--
		w.doneMine++
	}
	w.state[i] = to
}

// chunk counts the idle tasks of a chunk, unless one of it is placed.
func (w *Work) chunk(c int) (waiting int, on bool) {
	from, to := w.Rec.Span(c)
	for i := from; i < to; i++ {
		switch w.state[i] {
		case placed:
			return 0, true
		case idle:
			waiting++
		}
	}
	return waiting, false
}

// nextIdle lists up to n idle tasks of the part.
func (w *Work) nextIdle(part, n int) []int {
	var out []int
	for i := w.cursor; i < len(w.state) && len(out) < n; i++ {
		if w.state[i] == idle && w.Rec.PartOf(i) == part {
			if len(out) == 0 {
				w.cursor = i
			}
			out = append(out, i)
		}
	}
	return out
}

// absorb takes what another owner, or an earlier one, recorded as done.
func (w *Work) absorb(p *Progress, part int) {
	for _, r := range p.Done {
		for i := max(r[0], 0); i <= r[1] && i < len(w.state); i++ {
			if w.state[i] == done {
				continue
			}
			if w.Rec.PartOf(i) == part {
				w.set(i, done)
			} else {
				w.state[i] = done
				w.left--
			}
		}
	}
}

// ranges lists the done tasks of the part's chunks, as many ranges as fit
// into limit bytes, longest first: a task that is left out is only run again
// by a later owner, and then ends at once.
func (w *Work) ranges(part, limit int) [][2]int {
	var out [][2]int
	for c, p := range w.Rec.Parts {
		if p != part {
			continue
		}
		from, to := w.Rec.Span(c)
		for i := from; i < to; i++ {
			if w.state[i] != done {
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

// Finals are ends of jobs kept in memory: the newest, so many at most. The
// ledger has them all.
type Finals struct {
	most int
	byID map[string]Final
	ring []string
	at   int
}

// NewFinals makes an empty memory of so many ends.
func NewFinals(most int) *Finals { return &Finals{most: max(1, most), byID: map[string]Final{}} }

// Get gives a job's end, if it is remembered.
func (f *Finals) Get(id string) (Final, bool) { x, ok := f.byID[id]; return x, ok }

// Len is how many are remembered.
func (f *Finals) Len() int { return len(f.byID) }

// Add remembers a job's end, which the ledger has.
func (f *Finals) Add(id string, x Final) {
	if _, ok := f.byID[id]; ok {
		return
	}
	f.byID[id] = x
	if len(f.ring) < f.most {
		f.ring = append(f.ring, id)
		return
	}
	delete(f.byID, f.ring[f.at])
	f.ring[f.at] = id
	f.at = (f.at + 1) % f.most
}
