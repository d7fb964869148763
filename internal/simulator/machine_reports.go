package simulator

import (
	"net/http"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// Timing of a machine's reports.
const (
	minReportInterval = 500 * time.Millisecond
	reportTimeout     = 4 * time.Second
	redirectDelay     = 100 * time.Millisecond // delay of the next report after an answer that names another controller as the machine's owner
	failoverDelay     = time.Second            // delay of the report to the next controller after a failed report
)

// reportAnswer is a controller's answer to a report.
type reportAnswer struct {
	FencingToken uint64             `cbor:"baton"`
	Commands     []protocol.Command `cbor:"orders"`
	Owner        string             `cbor:"foreman"`
}

// buildReport returns the next report of the agent's incarnation.
func (m *Machine) buildReport() *protocol.Report {
	m.sequence++
	report := &protocol.Report{
		Machine:      m.id,
		Address:      m.address,
		Type:         m.machineType.Name,
		Zone:         m.zone,
		Spot:         m.spot,
		Incarnation:  m.incarnation,
		Sequence:     m.sequence,
		FencingToken: m.fencingToken,
		Tasks:        []protocol.TaskReport{},
	}
	if m.preemptionNotified {
		secondsLeft := max(0, (m.preemptionAt - m.cluster.now).Seconds())
		report.PreemptionNotice = &secondsLeft
	}
	for _, attempt := range m.attempts {
		report.Tasks = append(report.Tasks, protocol.TaskReport{
			Task:         attempt.String(),
			Attempt:      attempt.number,
			State:        attempt.state,
			Cause:        attempt.cause,
			Checkpointed: attempt.checkpointed,
		})
	}
	return report
}

// reportSoon sends a report as soon as minReportInterval has passed since the last one.
func (m *Machine) reportSoon() {
	m.reportAfter(m.lastReportAt + minReportInterval - m.cluster.now)
}

// reportAfter schedules the next report after a delay. It replaces a report that was scheduled
// before.
func (m *Machine) reportAfter(delay time.Duration) {
	m.reportTimerID++
	timer := m.reportTimerID
	m.cluster.after(delay, func() {
		if timer == m.reportTimerID {
			m.sendReport()
		}
	})
}

// sendReport sends a report, unless the machine is not running or an earlier report is still
// unanswered. A hung machine tries again later.
func (m *Machine) sendReport() {
	if m.deleted || !m.running || m.reportPending {
		return
	}
	if m.Hung {
		m.reportAfter(hungRetryInterval)
		return
	}
	names := m.cluster.controllerNames
	controller := names[m.controllerIndex%len(names)]
	m.reportPending = true
	m.lastReportAt = m.cluster.now
	sent, incarnation, reboots := m.cluster.now, m.incarnation, m.reboots
	report := m.buildReport()
	answer := &reportAnswer{}
	m.cluster.request(m.address, m.cluster.apiAddress(controller), http.MethodPost, pathReport, report, answer, reportTimeout, func(status int) {
		if m.deleted || reboots != m.reboots {
			return
		}
		m.reportPending = false
		switch {
		case status == http.StatusOK && incarnation == m.incarnation:
			m.handleReportAnswer(answer, sent)
		case status == http.StatusOK:
			m.reportAfter(m.reportInterval())
		case status == http.StatusMisdirectedRequest && answer.Owner != "" && answer.Owner != controller:
			m.followOwner(answer.Owner)
		default:
			m.controllerIndex++
			m.reportAfter(failoverDelay)
		}
	})
}

func (m *Machine) reportInterval() time.Duration {
	return env.Seconds(m.cluster.Settings.Deployment.Workers.Report)
}

// handleReportAnswer renews the machine lease and executes the commands of an answer, unless the
// fencing token of the answer is outdated. If a command launched or stopped an attempt or the token
// is higher than before, the next report is sent soon, so that the controller learns of the change.
func (m *Machine) handleReportAnswer(answer *reportAnswer, sent time.Duration) {
	m.reportAfter(m.reportInterval())
	if answer.FencingToken < m.fencingToken {
		return
	}
	raised := answer.FencingToken > m.fencingToken
	m.fencingToken = answer.FencingToken
	m.leaseStart = max(m.leaseStart, sent)
	executed := m.executeCommands(answer.Commands)
	if executed || raised {
		m.reportSoon()
	}
}

// followOwner sends the next report to the controller that an answer named as the machine's owner.
func (m *Machine) followOwner(owner string) {
	for i, name := range m.cluster.controllerNames {
		if name == owner {
			m.controllerIndex = i
		}
	}
	m.reportAfter(redirectDelay)
}
