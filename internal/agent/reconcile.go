package agent

import (
	"time"

	"curlewspool/internal/protocol"
)

// Event is a change of one attempt that follows from a report or from the end of a lease.
type Event struct {
	Attempt *Attempt
	Kind    EventKind
}

// EventKind says what happened to an attempt.
type EventKind int

// The kinds of events.
const (
	AttemptDiscovered EventKind = iota // listed in a report, but unknown to this controller before
	AttemptStarted                     // reported as running for the first time
	AttemptEnded                       // ended on the machine, see Attempt.Cause
	AttemptLost                        // provably not on the machine any more, but no outcome was reported
)

// ReportOrigin says why the agent sent a report. The agent makes a posted report only after it
// has processed or dropped the answer to its previous posted report. Therefore, only a posted
// report can show that a launch in an answer was not executed.
type ReportOrigin bool

// The origins of reports.
const (
	Requested ReportOrigin = false // the answer to direct commands or to GET /status
	Posted    ReportOrigin = true  // sent by the agent without a request, with POST /v1/report
)

// reportEvidence holds what a report shows about the messages sent to the agent.
type reportEvidence struct {
	origin            ReportOrigin
	newIncarnation    bool // the previous report was of another incarnation, or there was none
	commandTookEffect bool // the agent executed a command of this controller
	launchMissing     bool // a launch was not executed and can no longer be executed
}

// ApplyReport reconciles the known attempts with a report and returns the changes as events.
// It returns false, and ignores the contents, if the report is not newer than the newest one
// received.
func (m *Machine) ApplyReport(report *protocol.Report, now time.Duration, origin ReportOrigin) ([]Event, bool) {
	if origin == Requested {
		m.confirmReachable()
	}
	if !m.isNewer(report) {
		return nil, false
	}
	evidence := &reportEvidence{origin: origin, newIncarnation: report.Incarnation != m.Incarnation}
	m.adoptReport(report, evidence, now)
	events, listed := m.reconcileListed(report, evidence, now)
	events = append(events, m.reconcileUnlisted(report, listed, evidence)...)
	m.updateReachability(report, evidence, now)
	if m.Reconciled {
		m.restarted = false
	}
	if len(events) > 0 {
		m.MarkChanged()
	}
	return events, true
}

// isNewer reports whether a report is newer than all reports received before.
//
// The token in an agent's reports never decreases while the agent runs. A report with a lower token
// than an earlier one is therefore a delayed copy, or comes from an agent that was started anew.
//
// The first report with a token of this owner is newer than all reports received before it,
// whatever their sequence numbers. There are two reasons: a new owner knows no sequence number and
// may have accepted a delayed copy as the first report, and a restarted agent counts its reports
// from the beginning.
func (m *Machine) isNewer(report *protocol.Report) bool {
	highest := m.reachability.highestToken
	if report.FencingToken < highest {
		return false
	}
	if highest < m.BaseToken && report.FencingToken >= m.BaseToken {
		return true
	}
	return report.IsNewerThan(m.Incarnation, m.Sequence)
}

// adoptReport stores what the report says about the machine and the agent.
func (m *Machine) adoptReport(report *protocol.Report, evidence *reportEvidence, now time.Duration) {
	if evidence.newIncarnation {
		m.incarnationSince = now
	}
	m.Incarnation = report.Incarnation
	m.Sequence = report.Sequence
	m.Address = report.Address
	m.Type = report.Type
	m.Zone = report.Zone
	m.Spot = report.Spot
	m.LastContact = now
	if evidence.origin == Posted {
		m.LastHeartbeat = now
	}
	m.PreemptionNoticed = report.PreemptionNotice != nil
	if m.PreemptionNoticed {
		m.PreemptionTime = now + time.Duration(*report.PreemptionNotice*float64(time.Second))
	}
	if report.FencingToken > m.uncertainToken {
		// The agent rejects the unanswered commands from now on, as their token is lower. If it
		// has executed them already, this report shows the result.
		m.uncertainToken = 0
	}
	if report.FencingToken >= m.BaseToken {
		m.Reconciled = true
	}
}

// reconcileListed updates the attempts that the report lists. It returns the changes and the
// IDs of the listed attempts.
func (m *Machine) reconcileListed(report *protocol.Report, evidence *reportEvidence, now time.Duration) ([]Event, map[AttemptID]bool) {
	var events []Event
	listed := map[AttemptID]bool{}
	for i := range report.Tasks {
		taskReport := &report.Tasks[i]
		task, ok := ParseTaskID(taskReport.Task)
		if !ok {
			continue
		}
		id := AttemptID{task, taskReport.Attempt}
		listed[id] = true
		attempt := m.Attempts[id]
		if attempt == nil {
			events = append(events, Event{m.discover(id, taskReport, now), AttemptDiscovered})
			continue
		}
		if attempt.State == "" && attempt.launch.sent {
			evidence.commandTookEffect = true
		}
		if kind, changed := attempt.update(taskReport, now); changed {
			events = append(events, Event{attempt, kind})
		}
	}
	return events, listed
}

// discover adds an attempt that a report lists and that was unknown to this controller.
func (m *Machine) discover(id AttemptID, taskReport *protocol.TaskReport, now time.Duration) *Attempt {
	attempt := &Attempt{AttemptID: id, PlacedAt: now}
	attempt.update(taskReport, now)
	m.add(attempt)
	return attempt
}

// update stores what a report says about the attempt. It returns the kind of the event, or
// false if there is none.
func (a *Attempt) update(taskReport *protocol.TaskReport, now time.Duration) (EventKind, bool) {
	hadEnded := a.HasEnded()
	a.State = taskReport.State
	a.Cause = taskReport.Cause
	a.Checkpointed = taskReport.Checkpointed
	switch {
	case hadEnded:
		return 0, false
	case a.HasEnded():
		return AttemptEnded, true
	case a.State == protocol.TaskRunning && a.StartedAt == 0:
		a.StartedAt = now
		return AttemptStarted, true
	}
	return 0, false
}

// reconcileUnlisted updates or removes the attempts that the report does not list. It returns an
// event for each attempt that is found to be lost.
func (m *Machine) reconcileUnlisted(report *protocol.Report, listed map[AttemptID]bool, evidence *reportEvidence) []Event {
	if report.FencingToken < m.BaseToken && m.restarted {
		return nil // the restarted agent may still execute launches that were sent before the restart, so an unlisted attempt may still start
	}
	var events []Event
	for attempt := range m.AllAttempts() {
		if listed[attempt.AttemptID] || !attempt.MayExist() {
			continue
		}
		switch m.absenceReasonOf(attempt, report, evidence.origin) {
		case absentAcknowledged:
			m.Forget(attempt)
			if !evidence.newIncarnation {
				evidence.commandTookEffect = true
			}
		case absentMayStart:
		case absentNotLaunched:
			attempt.launch.sent = false
			evidence.launchMissing = true
		case absentTerminated:
			m.Forget(attempt)
			if !attempt.HasEnded() {
				events = append(events, Event{attempt, AttemptLost})
			}
		}
	}
	return events
}

// absenceReason says why a report does not list an attempt that may exist.
type absenceReason int

const (
	absentAcknowledged absenceReason = iota // the agent forgot it after this controller's acknowledgement
	absentMayStart                          // its launch may still be executed
	absentNotLaunched                       // its launch was not executed and can no longer be executed, so the launch is sent again
	absentTerminated                        // it has terminated, or its launch was not executed and a stop is requested
)

// absenceReasonOf returns why the report does not list the attempt.
func (m *Machine) absenceReasonOf(attempt *Attempt, report *protocol.Report, origin ReportOrigin) absenceReason {
	if attempt.acknowledgement.sent && attempt.acknowledgement.predates(report) {
		return absentAcknowledged
	}
	if attempt.State != "" || report.Incarnation != attempt.launch.incarnation {
		return absentTerminated
	}
	if !m.disprovesLaunch(attempt, report, origin) {
		return absentMayStart
	}
	if attempt.StopRequested {
		return absentTerminated
	}
	return absentNotLaunched
}

// disprovesLaunch reports whether a report that does not list the attempt proves that the launch
// was not executed and can no longer be executed.
func (m *Machine) disprovesLaunch(attempt *Attempt, report *protocol.Report, origin ReportOrigin) bool {
	if attempt.launch.delivery == Direct {
		return !m.CommandsUncertain()
	}
	return origin == Posted && attempt.launch.predates(report)
}
