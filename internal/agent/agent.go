// Package agent is the controller's view of one machine and of the agent (the protocol's
// worker) that runs tasks on it: its incarnation and heartbeats, its lease, the attempts
// on it, the commands it is to be sent, and whether messages reach it.
//
// The package guards the rule that no task runs twice: an attempt is called lost only
// after a report newer than its launch that does not list it, or when the machine's lease
// has provably expired. Missing reports, and the machine lists of the cloud, prove nothing.
//
// It holds state and rules only: clocks are passed in and nothing is sent. Times are
// durations on the controller's steady clock. It is not safe for concurrent use.
package agent

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// Machine is one machine of a shard.
type Machine struct {
	ID, Address, Type, Zone string
	Spot                    bool

	FencingToken uint64 // of the messages to the agent; only grows
	BaseToken    uint64 // a report with at least this token was made after our takeover
	Incarnation  uint64 // of the agent, by its newest report; 0: none was received
	Sequence     uint64 // number of the newest report of that incarnation

	// Reconciled means that the attempts on the machine are known: a report made after
	// our takeover was received, or the lease has expired since.
	Reconciled bool

	PreemptionNoticed bool          // the newest report holds a notice of the cloud
	PreemptionTime    time.Duration // when the cloud takes the machine away, if so

	LastContact time.Duration // newest message of any kind
	// LastHeartbeat is when the newest report came that the agent sent by itself. An
	// answer to our commands shows that it lives, not that it can renew its lease.
	LastHeartbeat time.Duration
	// LastPossibleRenewal is the latest moment at which the lease may have been renewed,
	// or at which a launch was sent that the incarnation of that time may execute. All
	// attempts of that time are gone one lease later.
	LastPossibleRenewal time.Duration

	Attempts map[AttemptID]*Attempt
	Version  uint64 // grows with each change of the attempts that have not ended

	incarnationSince    time.Duration // when the incarnation was first seen
	restarted           bool          // see ResetIncarnation
	reachability        reachability
	lastStatusProbe     time.Duration // see ThrottleStatusProbe; 0: never
	commandsInFlight    bool          // direct commands have no answer yet
	commandsPausedUntil time.Duration
	uncertainToken      uint64 // highest token of direct commands that may yet be executed; 0: none
}

// New returns a machine whose lease an earlier owner may have renewed up to lastRenewal.
// baseToken is the first fencing token of the new owner.
func New(id string, baseToken uint64, lastRenewal time.Duration) *Machine {
	return &Machine{
		ID:                  id,
		FencingToken:        baseToken,
		BaseToken:           baseToken,
		LastContact:         lastRenewal,
		LastHeartbeat:       lastRenewal,
		LastPossibleRenewal: lastRenewal,
		Attempts:            map[AttemptID]*Attempt{},
		Version:             1,
	}
}

// MarkChanged invalidates what was derived from the attempts on the machine.
func (m *Machine) MarkChanged() { m.Version++ }

// Place adds an attempt that is to be launched. awaitingRecord holds the launch back until
// Attempt.AwaitingRecord is reset, once the key-value store has the attempt.
func (m *Machine) Place(task TaskID, number uint64, awaitingRecord bool, now time.Duration) *Attempt {
	attempt := &Attempt{
		AttemptID:      AttemptID{task, number},
		AwaitingRecord: awaitingRecord,
		PlacedAt:       now,
	}
	m.Attempts[attempt.AttemptID] = attempt
	m.MarkChanged()
	return attempt
}

// Forget removes an attempt.
func (m *Machine) Forget(attempt *Attempt) {
	delete(m.Attempts, attempt.AttemptID)
	m.MarkChanged()
}

// RequestStop asks for the end of an attempt, with a grace period in seconds. It reports
// whether the attempt was never launched and is therefore forgotten at once.
func (m *Machine) RequestStop(attempt *Attempt, graceSeconds float64) bool {
	if !attempt.MayExist() {
		m.Forget(attempt)
		return true
	}
	if !attempt.StopRequested || graceSeconds < attempt.GraceSeconds {
		attempt.StopRequested = true
		attempt.GraceSeconds = graceSeconds
		attempt.stopSentAt = 0
	}
	return false
}

// MayHaveAttempts reports whether an attempt is, or may be, on the machine.
func (m *Machine) MayHaveAttempts() bool {
	for _, attempt := range m.Attempts {
		if attempt.MayExist() {
			return true
		}
	}
	return false
}

// AllAttempts iterates over the attempts in the order of their IDs. An attempt that is
// removed before its turn is skipped: stopping one task of a gang may remove others.
func (m *Machine) AllAttempts() iter.Seq[*Attempt] {
	return func(yield func(*Attempt) bool) {
		for _, id := range m.AttemptIDs() {
			if attempt := m.Attempts[id]; attempt != nil && !yield(attempt) {
				return
			}
		}
	}
}

// AttemptIDs lists the IDs of all attempts in rising order.
func (m *Machine) AttemptIDs() []AttemptID {
	// Not slices.SortedFunc, which grows its slice: a scheduling pass calls this for each
	// machine.
	ids := make([]AttemptID, 0, len(m.Attempts))
	for id := range m.Attempts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareAttemptIDs)
	return ids
}

func compareAttemptIDs(a, b AttemptID) int {
	if byJob := cmp.Compare(a.Job, b.Job); byJob != 0 {
		return byJob
	}
	if byIndex := cmp.Compare(a.Index, b.Index); byIndex != 0 {
		return byIndex
	}
	return cmp.Compare(a.Number, b.Number)
}
