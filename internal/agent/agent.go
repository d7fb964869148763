// Package agent holds a controller's view of one machine and of the agent (called "worker"
// in the protocol) that runs tasks on it: the agent's incarnation and heartbeats, the
// machine's lease, the attempts on the machine, the commands that are due, and whether
// messages reach the agent.
//
// The package enforces the rule that no task runs twice: an attempt is declared lost only
// after a report that is newer than its launch and does not list it, or when the machine's
// lease has provably expired. Missing reports and the machine lists of the cloud provider
// prove nothing.
//
// The package holds state and rules only: callers pass in the time, and send the messages.
// Times are durations on the controller's monotonic clock. Nothing here is safe for
// concurrent use.
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

	FencingToken uint64 // fencing token of messages to the agent; never decreases
	// BaseToken is the lowest token of current reports: a report with this token or a higher
	// one was made after this controller took over the shard and after the last detected
	// restart of the machine.
	BaseToken   uint64
	Incarnation uint64 // incarnation of the agent in its newest report; 0: no report was received
	Sequence    uint64 // sequence number of the newest report of that incarnation

	// Reconciled is set when the attempts on the machine are known: a report with BaseToken or
	// a higher token was received, or the lease has expired since the takeover or restart.
	Reconciled bool

	PreemptionNoticed bool          // the newest report contains a preemption notice of the cloud
	PreemptionTime    time.Duration // when the cloud will reclaim the machine; set with PreemptionNoticed

	LastContact time.Duration // when the newest report of any origin was received
	// LastHeartbeat is when the newest posted report was received (see ReportOrigin). A report
	// in an answer to this controller's commands shows that the agent is alive, but not that the
	// agent can renew its lease.
	LastHeartbeat time.Duration
	// LastPossibleRenewal is the time from which the lease is counted (see LeaseExpired). It is
	// the latest of three times: when the lease may last have been renewed, when a launch was
	// last sent as a direct command, and when a restart of the machine was last detected. If
	// the lease is not renewed again, all attempts that were on the machine at
	// LastPossibleRenewal have terminated one lease duration later.
	LastPossibleRenewal time.Duration

	Attempts map[AttemptID]*Attempt // changed by methods of Machine only
	Version  uint64                 // number of changes, counted by MarkChanged

	attemptsByJob       map[string]int // number of attempts by job; jobs without attempts are left out
	incarnationSince    time.Duration  // when a report first showed the incarnation, or when the last restart was detected
	restarted           bool           // the machine restarted and is not reconciled yet, see ResetIncarnation
	reachability        reachability
	lastStatusProbe     time.Duration // when the status was last requested, see ThrottleStatusProbe; 0: never
	commandsInFlight    bool          // direct commands were sent and have no answer yet
	commandsPausedUntil time.Duration // no direct commands are sent before this time
	uncertainToken      uint64        // highest token of unanswered commands that may still be executed, see CommandsLost; 0: none
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
		attemptsByJob:       map[string]int{},
		Version:             1,
	}
}

// MarkChanged increments the version, so that values computed from the machine's attempts and
// reachability, such as its free capacity, are computed again.
func (m *Machine) MarkChanged() { m.Version++ }

// Place adds an attempt that is to be launched. With awaitingRecord, the launch waits until
// the key-value store has a record of the attempt and the caller resets
// Attempt.AwaitingRecord.
func (m *Machine) Place(task TaskID, number uint64, awaitingRecord bool, now time.Duration) *Attempt {
	attempt := &Attempt{
		AttemptID:      AttemptID{task, number},
		AwaitingRecord: awaitingRecord,
		PlacedAt:       now,
	}
	m.add(attempt)
	m.MarkChanged()
	return attempt
}

func (m *Machine) add(attempt *Attempt) {
	m.Attempts[attempt.AttemptID] = attempt
	m.attemptsByJob[attempt.Job]++
}

// Forget removes an attempt.
func (m *Machine) Forget(attempt *Attempt) {
	if m.Attempts[attempt.AttemptID] != nil {
		delete(m.Attempts, attempt.AttemptID)
		m.attemptsByJob[attempt.Job]--
		if m.attemptsByJob[attempt.Job] == 0 {
			delete(m.attemptsByJob, attempt.Job)
		}
	}
	m.MarkChanged()
}

// HasAttemptsOf reports whether any attempt of a job is in Attempts.
func (m *Machine) HasAttemptsOf(job string) bool { return m.attemptsByJob[job] > 0 }

// RequestStop requests that an attempt be stopped with a grace period in seconds. If the
// attempt was never launched, RequestStop removes it at once and returns true.
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

// MayHaveAttempts reports whether any attempt exists, or may exist, on the machine.
func (m *Machine) MayHaveAttempts() bool {
	for _, attempt := range m.Attempts {
		if attempt.MayExist() {
			return true
		}
	}
	return false
}

// AllAttempts iterates over the attempts in the order of their IDs. The loop may remove attempts,
// which are then skipped: for example, stopping one task of a gang may remove other tasks' attempts.
func (m *Machine) AllAttempts() iter.Seq[*Attempt] {
	return func(yield func(*Attempt) bool) {
		for _, id := range m.AttemptIDs() {
			if attempt := m.Attempts[id]; attempt != nil && !yield(attempt) {
				return
			}
		}
	}
}

// AttemptIDs lists the IDs of all attempts in ascending order.
func (m *Machine) AttemptIDs() []AttemptID {
	// slices.SortedFunc would reallocate its slice as it grows, and a scheduling pass calls
	// this function for each machine.
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
