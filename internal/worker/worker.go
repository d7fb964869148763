// Package worker follows one machine: what its reports prove about the tasks
// on it, what it is to be told, when its lease is surely over.
//
// The rule it guards is "never twice": a task is called gone only after a
// report newer than its launch that does not list it, or when the lease has
// provably ended. Silence and lists prove nothing.
package worker

import (
	"iter"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/loan"
	"curlewspool/internal/wire"
)

// Task names one task of a job.
type Task struct {
	Job   string
	Index int
}

// String writes "job/3".
func (t Task) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTask reads "job/3".
func ParseTask(s string) (Task, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return Task{}, false
	}
	n, err := strconv.Atoi(s[i+1:])
	return Task{s[:i], n}, err == nil && n >= 0
}

// RunKey tells one start of a task from another.
type RunKey struct {
	Task
	Try uint64
}

// Run is one attempt of a task that is, or may be, or is about to be on the
// machine.
type Run struct {
	RunKey
	State string // as last reported; "" while not seen there
	Cause string
	Saved bool

	Hold    bool // not to be launched before the ledger knows
	Reap    bool // its end is recorded: the worker may forget it
	Halt    bool
	Grace   float64
	Placed  time.Duration
	Began   time.Duration // first seen running; 0 before
	Foreign bool          // of no job that is ours to run: being removed
	Permit  *loan.Permit  // of a borrowed job: until when it may go on; nil: ours

	told           time.Duration // when it was last told to halt; 0: never
	sent           bool
	direct         bool   // the launch went to /orders, not into an answer
	token          uint64 // under this token
	session, seq   uint64 // newest report when the launch was sent
	reapSent       bool
	reapS, reapSeq uint64
}

// MayBeThere tells whether the task could be on the machine.
func (r *Run) MayBeThere() bool { return r.sent || r.State != "" }

// lapsed: its home has not said of late that it may go on.
func (r *Run) lapsed(now time.Duration) bool { return r.Permit != nil && !r.Permit.Good(now) }

// halting: it is to be told to stop.
func (r *Run) halting() bool { return r.Halt && !r.Over() && r.MayBeThere() }

// Over tells whether the run has ended there.
func (r *Run) Over() bool { return r.State == wire.Ended }

// Machine is one machine of a part.
type Machine struct {
	ID, Address, Type, Zone string
	Spot                    bool

	Token    uint64 // what we answer with; only grows
	Base     uint64 // reports with at least this token were made after our takeover
	Session  uint64
	Seq      uint64
	Resolved bool // its report after our takeover is known, or its lease is over
	Notice   time.Duration
	Noticed  bool

	LastHeard time.Duration
	// LastReport is when a report came that the worker sent by itself. An answer to
	// what we sent shows that it lives, not that it can keep its lease.
	LastReport time.Duration
	// LastAnswer is the latest moment at which its lease may have been renewed, or
	// a launch ordered that its session of that time may carry out: what is there
	// is gone a lease after that.
	LastAnswer time.Duration
	begun      time.Duration // when its session was first seen
	hearing    hearing
	askedAt    time.Duration // how it is

	Runs    map[RunKey]*Run
	Version uint64 // grows with every change of the runs that are not over

	reborn  bool   // back under its name: see Reborn
	doubt   uint64 // token of direct orders whose fate is unknown; 0: none
	ordered bool   // direct orders are in flight
	pause   time.Duration
}

// New makes a machine whose lease may have been renewed up to lastAnswer by
// an earlier owner.
func New(id string, base uint64, lastAnswer time.Duration) *Machine {
	return &Machine{ID: id, Token: base, Base: base, LastAnswer: lastAnswer, LastHeard: lastAnswer, LastReport: lastAnswer, Runs: map[RunKey]*Run{}, Version: 1}
}

// Event is what a report changed.
type Event struct {
	Run  *Run
	Kind EventKind
}

// EventKind tells events apart.
type EventKind int

// Events of a run.
const (
	Appeared EventKind = iota // listed, but not launched by us
	Started                   // runs now
	Finished                  // ended, see Cause
	Vanished                  // surely not there any more, without an end
)

// Report takes a worker's report; false if it is older than what is known.
// posted tells a report that the worker sent by itself from one that answers
// /orders: only the former is made after the last answer was taken or
// dropped, so only the former disproves a launch in an answer.
func (m *Machine) Report(r *wire.Report, now time.Duration, posted bool) ([]Event, bool) {
	if !posted {
		m.heard() // it answers what we sent
	}
	if !m.newer(r) {
		return nil, false
	}
	fresh := r.Session != m.Session
	if fresh {
		m.begun = now
	}
	m.Session, m.Seq = r.Session, r.Seq
	m.Address, m.Type, m.Zone, m.Spot = r.Address, r.Type, r.Zone, r.Spot
	m.LastHeard = now
	if posted {
		m.LastReport = now
	}
	m.Noticed = r.Notice != nil
	if m.Noticed {
		m.Notice = now + time.Duration(*r.Notice*float64(time.Second))
	}
	if m.doubt != 0 && r.Token > m.doubt {
		// Orders with the old token can no longer be executed; if they were,
		// this report shows it.
		m.doubt = 0
	}
	if r.Token >= m.Base {
		m.Resolved = true
	}
	var events []Event
	showed, missing := false, false
	listed := map[RunKey]bool{}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		task, ok := ParseTask(t.Task)
		if !ok {
			continue
		}
		key := RunKey{task, t.Try}
		listed[key] = true
		run := m.Runs[key]
		if run == nil {
			run = &Run{RunKey: key, Placed: now}
			m.Runs[key] = run
			run.State = t.State
			run.Cause, run.Saved = t.Cause, t.Saved
			if t.State == wire.Running {
				run.Began = now
			}
			events = append(events, Event{run, Appeared})
			continue
		}
		was := run.State
		showed = showed || was == "" && run.sent
		run.State, run.Cause, run.Saved = t.State, t.Cause, t.Saved
		if was == wire.Ended {
			continue
		}
		switch {
		case t.State == wire.Ended:
			events = append(events, Event{run, Finished})
		case t.State == wire.Running && run.Began == 0:
			run.Began = now
			events = append(events, Event{run, Started})
		}
	}
	for run := range m.All() {
		if listed[run.RunKey] || !run.sent && run.State == "" {
			continue
		}
		if r.Token < m.Base && m.reborn {
			continue // orders from before its return may be on their way to it
		}
		if run.reapSent && r.Newer(run.reapS, run.reapSeq) {
			delete(m.Runs, run.RunKey)
			showed = showed || !fresh
			continue
		}
		if run.State == "" && r.Session == run.session && !m.disproves(r, run, posted) {
			continue // the launch may be executed yet
		}
		if run.State == "" && !run.Halt && r.Session == run.session {
			run.sent, missing = false, true // the answer with the launch was dropped: say it again
			continue
		}
		delete(m.Runs, run.RunKey)
		if !run.Over() {
			events = append(events, Event{run, Vanished})
		}
	}
	m.listen(r.Seq, r.Token, posted, fresh, showed, missing, now)
	if m.Resolved {
		m.reborn = false
	}
	if len(events) > 0 {
		m.Touch()
	}
	return events, true
}

// Touch notes that what is on the machine is to be worked out anew.
func (m *Machine) Touch() { m.Version++ }

// Drop forgets a run.
func (m *Machine) Drop(run *Run) {
	delete(m.Runs, run.RunKey)
	m.Touch()
}

// disproves tells whether a report that does not list run shows that its
// launch was not, and can no longer be, executed.
func (m *Machine) disproves(r *wire.Report, run *Run, posted bool) bool {
	if run.direct {
		return !m.ordered && m.doubt == 0
	}
	return posted && r.Newer(run.session, run.seq)
}

// All gives the runs in a fixed order. One that is no longer there when its turn
// comes is passed over: stopping a task of a gang may take others off.
func (m *Machine) All() iter.Seq[*Run] {
	return func(yield func(*Run) bool) {
		for _, key := range m.Keys() {
			if run := m.Runs[key]; run != nil && !yield(run) {
				return
			}
		}
	}
}

// Keys lists them by name.
func (m *Machine) Keys() []RunKey {
	keys := make([]RunKey, 0, len(m.Runs))
	for k := range m.Runs {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		if a.Job != b.Job {
			return a.Job < b.Job
		}
		if a.Index != b.Index {
			return a.Index < b.Index
		}
		return a.Try < b.Try
	})
	return keys
}

// maxOrders keeps an answer below the protocol's 64 KiB.
const maxOrders = 400

// Orders lists what the worker is to do now. They answer the newest report,
// or are sent directly; either way the newest report is what a launch must
// be outdated by. They go out under m.Token as it is after the call. Without
// launch nothing is started: a halt must not wait for what only a launch needs.
func (m *Machine) Orders(direct, launch bool, now time.Duration) []wire.Command {
	var halts, launches, reaps []wire.Command
	var begun []*Run
	for run := range m.All() { // first: nothing else may take their room
		// Home reckons that an answer given after the permit's end, which
		// renews the machine's lease, stops all that is there of the loan.
		// (Direct orders renew nothing.)
		if !direct && run.lapsed(now) && !run.Over() && run.MayBeThere() {
			run.Halt, run.Grace = true, 0
		}
		if run.halting() && (len(halts) < maxOrders || !direct && run.lapsed(now)) {
			g := run.Grace
			run.told = max(now, 1)
			halts = append(halts, wire.Command{Verb: wire.Halt, Task: run.String(), Try: run.Try, Grace: &g})
		}
	}
	for run := range m.All() {
		if len(halts)+len(launches)+len(reaps) >= maxOrders {
			break
		}
		switch {
		case run.Over():
			// A delayed copy of the launch, executed after the reap, would
			// start the task again.
			if run.Reap && m.doubt == 0 && !m.ordered {
				// So would a copy of orders that were carried out: the message that
				// brings the reap brings a higher token than they had. (Two copies of
				// a launch, one of them after the task had been stopped, reaped and
				// begun elsewhere: it ran twice.)
				if run.direct && m.Token <= run.token {
					m.Token = run.token + 1
				}
				reaps = append(reaps, wire.Command{Verb: wire.Reap, Task: run.String(), Try: run.Try})
				run.reapSent, run.reapS, run.reapSeq = true, m.Session, m.Seq
			}
		// Direct orders may be executed minutes later, so nothing borrowed is
		// started by them: an answer is taken within seconds or dropped.
		case launch && !run.Halt && run.State == "" && !run.sent && !run.Hold && m.Resolved && m.Hears() && (run.Permit == nil || !direct && !run.lapsed(now)):
			launches = append(launches, wire.Command{Verb: wire.Launch, Task: run.String(), Try: run.Try})
			run.sent, run.direct, run.session, run.seq = true, direct, m.Session, m.Seq
			begun = append(begun, run)
			if direct { // its session may carry it out, and lasts for a lease at most
				m.LastAnswer = max(m.LastAnswer, now)
			}
		}
	}
	for _, run := range begun {
		run.token = m.Token
	}
	return append(append(halts, reaps...), launches...)
}

// Crowded tells whether more is to be halted than one answer holds. It would renew
// the lease of tasks whose halt it leaves out; direct orders renew nothing.
func (m *Machine) Crowded(now time.Duration) bool {
	n := 0
	for _, run := range m.Runs {
		if run.halting() && !run.lapsed(now) { // those all go into an answer
			n++
		}
	}
	return n > maxOrders
}

// repeat spaces direct halts of a task that does not go.
const repeat = time.Second

// Pressing tells whether there is something to say that should not wait for
// the next report; launch: starting something is.
func (m *Machine) Pressing(launch bool, now time.Duration) bool {
	if m.ordered || m.Address == "" || now < m.pause {
		return false
	}
	if !m.Resolved || m.hearing.ask {
		return true
	}
	for _, run := range m.Runs {
		if run.Over() {
			continue
		}
		if run.halting() && (run.told == 0 || run.State != wire.Flushing && now-run.told > repeat) ||
			launch && m.Hears() && !run.Halt && run.State == "" && !run.Hold && !run.sent && run.Permit == nil {
			return true
		}
	}
	return false
}

// Unpermitted tells whether a borrowed task is there that an answer would have
// to stop.
func (m *Machine) Unpermitted(now time.Duration) bool {
	for _, run := range m.Runs {
		if run.lapsed(now) && !run.Halt && !run.Over() && run.MayBeThere() {
			return true
		}
	}
	return false
}

// Answered notes that its newest report is answered with 200 now.
func (m *Machine) Answered(now time.Duration) {
	if now > m.LastAnswer {
		m.LastAnswer = now
	}
	m.hearing.follows, m.hearing.answered = m.Seq, m.Seq
}

// Doubtful tells whether orders are on their way or may yet be executed.
func (m *Machine) Doubtful() bool { return m.ordered || m.doubt != 0 }

// OrdersSent notes that direct orders are on their way.
func (m *Machine) OrdersSent() { m.ordered, m.hearing.ask = true, false }

// Pause holds direct orders back for a while after they failed.
func (m *Machine) Pause(until time.Duration) { m.pause = until }

// Ordered tells whether direct orders are on their way.
func (m *Machine) Ordered() bool { return m.ordered }

// OrdersLost notes that direct orders with the given token got no answer:
// they may be executed at any later time, until the worker has seen a higher
// token, which it is therefore given.
func (m *Machine) OrdersLost(token uint64) {
	m.ordered = false
	m.doubt = max(m.doubt, token)
	m.Token = max(m.Token, token+1)
	m.hearing.misses++
}

// Misses is how many orders in a row got no answer.
func (m *Machine) Misses() int { return m.hearing.misses }

// OrdersAnswered notes that they were executed or refused.
func (m *Machine) OrdersAnswered() { m.ordered = false }

// LeaseOver tells whether everything that was on the machine is surely gone.
func (m *Machine) LeaseOver(now, lease time.Duration, drift float64) bool {
	return now > m.LastAnswer+time.Duration(float64(lease)*(1+3*drift))+lease/100
}

// Expire records that the lease is over: every run that may have been there
// is gone, and later messages of that session count for nothing.
func (m *Machine) Expire(now time.Duration) []Event {
	m.Resolved, m.reborn = true, false
	m.doubt = 0
	if m.begun <= m.LastAnswer { // else it is of a session of which we answered nothing
		m.Seq = math.MaxUint64
	}
	m.unheard(now, false)
	m.hearing.ask, m.hearing.follows = false, 0
	m.Touch()
	var events []Event
	for run := range m.All() {
		if !run.MayBeThere() && !run.Halt {
			continue
		}
		delete(m.Runs, run.RunKey)
		if !run.Over() {
			events = append(events, Event{run, Vanished})
		}
	}
	return events
}

// MayHold tells whether something is, or may be, there.
func (m *Machine) MayHold() bool {
	for _, run := range m.Runs {
		if run.MayBeThere() {
			return true
		}
	}
	return false
}

// Place adds a run that is to be launched.
func (m *Machine) Place(t Task, try uint64, hold bool, now time.Duration) *Run {
	run := &Run{RunKey: RunKey{t, try}, Hold: hold, Placed: now}
	m.Runs[run.RunKey] = run
	m.Touch()
	return run
}

// Stop asks for a run's end; true if it never was there and is dropped.
func (m *Machine) Stop(run *Run, grace float64) bool {
	if !run.MayBeThere() {
		m.Drop(run)
		return true
	}
	if !run.Halt || grace < run.Grace {
		run.Halt, run.Grace, run.told = true, grace, 0
	}
	return false
}
