// Package worker follows one machine: what its reports prove about the tasks
// on it, what it is to be told, when its lease is surely over.
//
// The rule it guards is "never twice": a task is called gone only after a
// report newer than its launch that does not list it, or when the lease has
// provably ended. Silence and lists prove nothing.
package agent

import (
	"iter"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
)

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// String writes "job/3".
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads "job/3".
func ParseTaskID(s string) (TaskID, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return TaskID{}, false
	}
	n, err := strconv.Atoi(s[i+1:])
	return TaskID{s[:i], n}, err == nil && n >= 0
}

// AttemptID tells one start of a task from another.
type AttemptID struct {
	TaskID
	Number uint64
}

// Attempt is one attempt of a task that is, or may be, or is about to be on the
// machine.
type Attempt struct {
	AttemptID
	State        string // as last reported; "" while not seen there
	Cause        string
	Checkpointed bool

	AwaitingRecord bool // not to be launched before the ledger knows
	Acknowledge    bool // its end is recorded: the worker may forget it
	StopRequested  bool
	GraceSeconds   float64
	PlacedAt       time.Duration
	StartedAt      time.Duration       // first seen running; 0 before
	Orphaned       bool                // of no job that is ours to run: being removed
	Permit         *remotelease.Permit // of a borrowed job: until when it may go on; nil: ours

	stopSentAt                                  time.Duration // when it was last told to halt; 0: never
	launchSent                                  bool
	launchedDirectly                            bool   // the launch went to /orders, not into an answer
	launchToken                                 uint64 // under this token
	launchIncarnation, launchSequence           uint64 // newest report when the launch was sent
	acknowledgeSent                             bool
	acknowledgeIncarnation, acknowledgeSequence uint64
}

// MayExist tells whether the task could be on the machine.
func (a *Attempt) MayExist() bool { return a.launchSent || a.State != "" }

// permitExpired: its home has not said of late that it may go on.
func (a *Attempt) permitExpired(now time.Duration) bool {
	return a.Permit != nil && !a.Permit.IsValid(now)
}

// needsStop: it is to be told to stop.
func (a *Attempt) needsStop() bool { return a.StopRequested && !a.HasEnded() && a.MayExist() }

// HasEnded tells whether the run has ended there.
func (a *Attempt) HasEnded() bool { return a.State == protocol.TaskEnded }

// Machine is one machine of a part.
type Machine struct {
	ID, Address, Type, Zone string
	Spot                    bool

	FencingToken      uint64 // what we answer with; only grows
	BaseToken         uint64 // reports with at least this token were made after our takeover
	Incarnation       uint64
	Sequence          uint64
	Reconciled        bool // its report after our takeover is known, or its lease is over
	PreemptionTime    time.Duration
	PreemptionNoticed bool

	LastContact time.Duration
	// LastHeartbeat is when a report came that the worker sent by itself. An answer to
	// what we sent shows that it lives, not that it can keep its lease.
	LastHeartbeat time.Duration
	// LastPossibleRenewal is the latest moment at which its lease may have been renewed, or
	// a launch ordered that its session of that time may carry out: what is there
	// is gone a lease after that.
	LastPossibleRenewal time.Duration
	incarnationSince    time.Duration // when its session was first seen
	reachability        reachability
	lastStatusProbe     time.Duration // how it is

	Attempts map[AttemptID]*Attempt
	Version  uint64 // grows with every change of the runs that are not over

	restarted           bool   // back under its name: see Reborn
	uncertainToken      uint64 // token of direct orders whose fate is unknown; 0: none
	commandsInFlight    bool   // direct orders are in flight
	commandsPausedUntil time.Duration
}

// New makes a machine whose lease may have been renewed up to lastAnswer by
// an earlier owner.
func New(id string, base uint64, lastAnswer time.Duration) *Machine {
	return &Machine{ID: id, FencingToken: base, BaseToken: base, LastPossibleRenewal: lastAnswer, LastContact: lastAnswer, LastHeartbeat: lastAnswer, Attempts: map[AttemptID]*Attempt{}, Version: 1}
}

// Event is what a report changed.
type Event struct {
	Attempt *Attempt
	Kind    EventKind
}

// EventKind tells events apart.
type EventKind int

// Events of a run.
const (
	AttemptDiscovered EventKind = iota // listed, but not launched by us
	AttemptStarted                     // runs now
	AttemptEnded                       // ended, see Cause
	AttemptLost                        // surely not there any more, without an end
)

// ApplyReport takes a worker's report; false if it is older than what is known.
// posted tells a report that the worker sent by itself from one that answers
// /orders: only the former is made after the last answer was taken or
// dropped, so only the former disproves a launch in an answer.
func (m *Machine) ApplyReport(report *protocol.Report, now time.Duration, posted bool) ([]Event, bool) {
	if !posted {
		m.confirmReachable() // it answers what we sent
	}
	if !m.isNewer(report) {
		return nil, false
	}
	newIncarnation := report.Incarnation != m.Incarnation
	if newIncarnation {
		m.incarnationSince = now
	}
	m.Incarnation, m.Sequence = report.Incarnation, report.Sequence
	m.Address, m.Type, m.Zone, m.Spot = report.Address, report.Type, report.Zone, report.Spot
	m.LastContact = now
	if posted {
		m.LastHeartbeat = now
	}
	m.PreemptionNoticed = report.PreemptionNotice != nil
	if m.PreemptionNoticed {
		m.PreemptionTime = now + time.Duration(*report.PreemptionNotice*float64(time.Second))
	}
	if m.uncertainToken != 0 && report.FencingToken > m.uncertainToken {
		// Orders with the old token can no longer be executed; if they were,
		// this report shows it.
		m.uncertainToken = 0
	}
	if report.FencingToken >= m.BaseToken {
		m.Reconciled = true
	}
	var events []Event
	showed, missing := false, false
	listed := map[AttemptID]bool{}
	for i := range report.Tasks {
		taskReport := &report.Tasks[i]
		task, ok := ParseTaskID(taskReport.Task)
		if !ok {
			continue
		}
		key := AttemptID{task, taskReport.Attempt}
		listed[key] = true
		attempt := m.Attempts[key]
		if attempt == nil {
			attempt = &Attempt{AttemptID: key, PlacedAt: now}
			m.Attempts[key] = attempt
			attempt.State = taskReport.State
			attempt.Cause, attempt.Checkpointed = taskReport.Cause, taskReport.Checkpointed
			if taskReport.State == protocol.TaskRunning {
				attempt.StartedAt = now
			}
			events = append(events, Event{attempt, AttemptDiscovered})
			continue
		}
		was := attempt.State
		showed = showed || was == "" && attempt.launchSent
		attempt.State, attempt.Cause, attempt.Checkpointed = taskReport.State, taskReport.Cause, taskReport.Checkpointed
		if was == protocol.TaskEnded {
			continue
		}
		switch {
		case taskReport.State == protocol.TaskEnded:
			events = append(events, Event{attempt, AttemptEnded})
		case taskReport.State == protocol.TaskRunning && attempt.StartedAt == 0:
			attempt.StartedAt = now
			events = append(events, Event{attempt, AttemptStarted})
		}
	}
	for attempt := range m.AllAttempts() {
		if listed[attempt.AttemptID] || !attempt.launchSent && attempt.State == "" {
			continue
		}
		if report.FencingToken < m.BaseToken && m.restarted {
			continue // orders from before its return may be on their way to it
		}
		if attempt.acknowledgeSent && report.IsNewerThan(attempt.acknowledgeIncarnation, attempt.acknowledgeSequence) {
			delete(m.Attempts, attempt.AttemptID)
			showed = showed || !newIncarnation
			continue
		}
		if attempt.State == "" && report.Incarnation == attempt.launchIncarnation && !m.disprovesLaunch(report, attempt, posted) {
			continue // the launch may be executed yet
		}
		if attempt.State == "" && !attempt.StopRequested && report.Incarnation == attempt.launchIncarnation {
			attempt.launchSent, missing = false, true // the answer with the launch was dropped: say it again
			continue
		}
		delete(m.Attempts, attempt.AttemptID)
		if !attempt.HasEnded() {
			events = append(events, Event{attempt, AttemptLost})
		}
	}
	m.updateReachability(report.Sequence, report.FencingToken, posted, newIncarnation, showed, missing, now)
	if m.Reconciled {
		m.restarted = false
	}
	if len(events) > 0 {
		m.MarkChanged()
	}
	return events, true
}

// MarkChanged notes that what is on the machine is to be worked out anew.
func (m *Machine) MarkChanged() { m.Version++ }

// Forget forgets a run.
func (m *Machine) Forget(attempt *Attempt) {
	delete(m.Attempts, attempt.AttemptID)
	m.MarkChanged()
}

// disprovesLaunch tells whether a report that does not list run shows that its
// launch was not, and can no longer be, executed.
func (m *Machine) disprovesLaunch(report *protocol.Report, attempt *Attempt, posted bool) bool {
	if attempt.launchedDirectly {
		return !m.commandsInFlight && m.uncertainToken == 0
	}
	return posted && report.IsNewerThan(attempt.launchIncarnation, attempt.launchSequence)
}

// AllAttempts gives the runs in a fixed order. One that is no longer there when its turn
// comes is passed over: stopping a task of a gang may take others off.
func (m *Machine) AllAttempts() iter.Seq[*Attempt] {
	return func(yield func(*Attempt) bool) {
		for _, key := range m.AttemptIDs() {
			if attempt := m.Attempts[key]; attempt != nil && !yield(attempt) {
				return
			}
		}
	}
}

// AttemptIDs lists them by name.
func (m *Machine) AttemptIDs() []AttemptID {
	keys := make([]AttemptID, 0, len(m.Attempts))
	for k := range m.Attempts {
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
		return a.Number < b.Number
	})
	return keys
}

// maxCommands keeps an answer below the protocol's 64 KiB.
const maxCommands = 400

// NextCommands lists what the worker is to do now. They answer the newest report,
// or are sent directly; either way the newest report is what a launch must
// be outdated by. They go out under m.Token as it is after the call. Without
// launch nothing is started: a halt must not wait for what only a launch needs.
func (m *Machine) NextCommands(direct, allowLaunch bool, now time.Duration) []protocol.Command {
	var stops, launches, acknowledgements []protocol.Command
	var launched []*Attempt
	for attempt := range m.AllAttempts() { // first: nothing else may take their room
		// Home reckons that an answer given after the permit's end, which
		// renews the machine's lease, stops all that is there of the loan.
		// (Direct orders renew nothing.)
		if !direct && attempt.permitExpired(now) && !attempt.HasEnded() && attempt.MayExist() {
			attempt.StopRequested, attempt.GraceSeconds = true, 0
		}
		if attempt.needsStop() && (len(stops) < maxCommands || !direct && attempt.permitExpired(now)) {
			g := attempt.GraceSeconds
			attempt.stopSentAt = max(now, 1)
			stops = append(stops, protocol.Command{Verb: protocol.CommandStop, Task: attempt.String(), Attempt: attempt.Number, GraceSeconds: &g})
		}
	}
	for attempt := range m.AllAttempts() {
		if len(stops)+len(launches)+len(acknowledgements) >= maxCommands {
			break
		}
		switch {
		case attempt.HasEnded():
			// A delayed copy of the launch, executed after the reap, would
			// start the task again.
			if attempt.Acknowledge && m.uncertainToken == 0 && !m.commandsInFlight {
				// So would a copy of orders that were carried out: the message that
				// brings the reap brings a higher token than they had. (Two copies of
				// a launch, one of them after the task had been stopped, reaped and
				// begun elsewhere: it ran twice.)
				if attempt.launchedDirectly && m.FencingToken <= attempt.launchToken {
					m.FencingToken = attempt.launchToken + 1
				}
				acknowledgements = append(acknowledgements, protocol.Command{Verb: protocol.CommandAcknowledge, Task: attempt.String(), Attempt: attempt.Number})
				attempt.acknowledgeSent, attempt.acknowledgeIncarnation, attempt.acknowledgeSequence = true, m.Incarnation, m.Sequence
			}
		// Direct orders may be executed minutes later, so nothing borrowed is
		// started by them: an answer is taken within seconds or dropped.
		case allowLaunch && !attempt.StopRequested && attempt.State == "" && !attempt.launchSent && !attempt.AwaitingRecord && m.Reconciled && m.IsReachable() && (attempt.Permit == nil || !direct && !attempt.permitExpired(now)):
			launches = append(launches, protocol.Command{Verb: protocol.CommandLaunch, Task: attempt.String(), Attempt: attempt.Number})
			attempt.launchSent, attempt.launchedDirectly, attempt.launchIncarnation, attempt.launchSequence = true, direct, m.Incarnation, m.Sequence
			launched = append(launched, attempt)
			if direct { // its session may carry it out, and lasts for a lease at most
				m.LastPossibleRenewal = max(m.LastPossibleRenewal, now)
			}
		}
	}
	for _, attempt := range launched {
		attempt.launchToken = m.FencingToken
	}
	return append(append(stops, acknowledgements...), launches...)
}

// StopsExceedAnswer tells whether more is to be halted than one answer holds. It would renew
// the lease of tasks whose halt it leaves out; direct orders renew nothing.
func (m *Machine) StopsExceedAnswer(now time.Duration) bool {
	n := 0
	for _, attempt := range m.Attempts {
		if attempt.needsStop() && !attempt.permitExpired(now) { // those all go into an answer
			n++
		}
	}
	return n > maxCommands
}

// stopRepeatInterval spaces direct halts of a task that does not go.
const stopRepeatInterval = time.Second

// NeedsDirectCommands tells whether there is something to say that should not wait for
// the next report; launch: starting something is.
func (m *Machine) NeedsDirectCommands(allowLaunch bool, now time.Duration) bool {
	if m.commandsInFlight || m.Address == "" || now < m.commandsPausedUntil {
		return false
	}
	if !m.Reconciled || m.reachability.probeNeeded {
		return true
	}
	for _, attempt := range m.Attempts {
		if attempt.HasEnded() {
			continue
		}
		if attempt.needsStop() && (attempt.stopSentAt == 0 || attempt.State != protocol.TaskCheckpointing && now-attempt.stopSentAt > stopRepeatInterval) ||
			allowLaunch && m.IsReachable() && !attempt.StopRequested && attempt.State == "" && !attempt.AwaitingRecord && !attempt.launchSent && attempt.Permit == nil {
			return true
		}
	}
	return false
}

// HasExpiredPermit tells whether a borrowed task is there that an answer would have
// to stop.
func (m *Machine) HasExpiredPermit(now time.Duration) bool {
	for _, attempt := range m.Attempts {
		if attempt.permitExpired(now) && !attempt.StopRequested && !attempt.HasEnded() && attempt.MayExist() {
			return true
		}
	}
	return false
}

// ReportAnswered notes that its newest report is answered with 200 now.
func (m *Machine) ReportAnswered(now time.Duration) {
	if now > m.LastPossibleRenewal {
		m.LastPossibleRenewal = now
	}
	m.reachability.precedingSequence, m.reachability.answeredSequence = m.Sequence, m.Sequence
}

// CommandsUncertain tells whether orders are on their way or may yet be executed.
func (m *Machine) CommandsUncertain() bool { return m.commandsInFlight || m.uncertainToken != 0 }

// CommandsSent notes that direct orders are on their way.
func (m *Machine) CommandsSent() { m.commandsInFlight, m.reachability.probeNeeded = true, false }

// PauseCommands holds direct orders back for a while after they failed.
func (m *Machine) PauseCommands(until time.Duration) { m.commandsPausedUntil = until }

// CommandsInFlight tells whether direct orders are on their way.
func (m *Machine) CommandsInFlight() bool { return m.commandsInFlight }

// CommandsLost notes that direct orders with the given token got no answer:
// they may be executed at any later time, until the worker has seen a higher
// token, which it is therefore given.
func (m *Machine) CommandsLost(token uint64) {
	m.commandsInFlight = false
	m.uncertainToken = max(m.uncertainToken, token)
	m.FencingToken = max(m.FencingToken, token+1)
	m.reachability.unansweredCommands++
}

// UnansweredCommands is how many orders in a row got no answer.
func (m *Machine) UnansweredCommands() int { return m.reachability.unansweredCommands }

// CommandsAnswered notes that they were executed or refused.
func (m *Machine) CommandsAnswered() { m.commandsInFlight = false }

// LeaseExpired tells whether everything that was on the machine is surely gone.
func (m *Machine) LeaseExpired(now, lease time.Duration, drift float64) bool {
	return now > m.LastPossibleRenewal+time.Duration(float64(lease)*(1+3*drift))+lease/100
}

// ExpireLease records that the lease is over: every run that may have been there
// is gone, and later messages of that session count for nothing.
func (m *Machine) ExpireLease(now time.Duration) []Event {
	m.Reconciled, m.restarted = true, false
	m.uncertainToken = 0
	if m.incarnationSince <= m.LastPossibleRenewal { // else it is of a session of which we answered nothing
		m.Sequence = math.MaxUint64
	}
	m.suspectUnreachable(now, false)
	m.reachability.probeNeeded, m.reachability.precedingSequence = false, 0
	m.MarkChanged()
	var events []Event
	for attempt := range m.AllAttempts() {
		if !attempt.MayExist() && !attempt.StopRequested {
			continue
		}
		delete(m.Attempts, attempt.AttemptID)
		if !attempt.HasEnded() {
			events = append(events, Event{attempt, AttemptLost})
		}
	}
	return events
}

// MayHaveAttempts tells whether something is, or may be, there.
func (m *Machine) MayHaveAttempts() bool {
	for _, attempt := range m.Attempts {
		if attempt.MayExist() {
			return true
		}
	}
	return false
}

// Place adds a run that is to be launched.
func (m *Machine) Place(task TaskID, number uint64, awaitingRecord bool, now time.Duration) *Attempt {
	attempt := &Attempt{AttemptID: AttemptID{task, number}, AwaitingRecord: awaitingRecord, PlacedAt: now}
	m.Attempts[attempt.AttemptID] = attempt
	m.MarkChanged()
	return attempt
}

// RequestStop asks for a run's end; true if it never was there and is dropped.
func (m *Machine) RequestStop(attempt *Attempt, graceSeconds float64) bool {
	if !attempt.MayExist() {
		m.Forget(attempt)
		return true
	}
	if !attempt.StopRequested || graceSeconds < attempt.GraceSeconds {
		attempt.StopRequested, attempt.GraceSeconds, attempt.stopSentAt = true, graceSeconds, 0
	}
	return false
}
