package simulator

import (
	"time"

	"curlewspool/internal/protocol"
)

type reportAnswer struct {
	Token  uint64             `cbor:"baton"`
	Orders []protocol.Command `cbor:"orders"`
	Owner  string             `cbor:"foreman"`
}

func (m *Machine) buildReport() *protocol.Report {
	m.sequence++
	report := &protocol.Report{Machine: m.id, Address: m.address, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot, Incarnation: m.session, Sequence: m.sequence, FencingToken: m.token,
		Tasks: []protocol.TaskReport{}}
	if m.evictionAnnounced {
		left := max(0, (m.evictionAt - m.cluster.now).Seconds())
		report.PreemptionNotice = &left
	}
	for _, t := range m.attempts {
		report.Tasks = append(report.Tasks, protocol.TaskReport{Task: t.String(), Attempt: t.number, State: t.state, Cause: t.cause, Checkpointed: t.saved})
	}
	return report
}

// reportSoon reports soon, at most every half second.
func (m *Machine) reportSoon() {
	m.timerGeneration++
	n := m.timerGeneration
	m.cluster.after(max(0, m.lastSent+500*time.Millisecond-m.cluster.now), func() {
		if n == m.timerGeneration {
			m.sendReport()
		}
	})
}

func (m *Machine) reportAfter(duration time.Duration) {
	m.timerGeneration++
	n := m.timerGeneration
	m.cluster.after(duration, func() {
		if n == m.timerGeneration {
			m.sendReport()
		}
	})
}

func (m *Machine) sendReport() {
	if m.deleted || !m.running || m.reporting {
		return
	}
	if m.Hung {
		m.reportAfter(time.Second)
		return
	}
	names := m.cluster.controllerNames
	to := names[m.controllerIndex%len(names)]
	m.reporting = true
	sent, session, life := m.cluster.now, m.session, m.incarnation
	m.lastSent = sent
	report := m.buildReport()
	out := &reportAnswer{}
	period := time.Duration(m.cluster.Settings.Deployment.Workers.Report * float64(time.Second))
	m.cluster.request(m.address, m.cluster.apiAddress(to), "POST", "/v1/report", report, out, 4*time.Second, func(status int) {
		if m.deleted || life != m.incarnation {
			return
		}
		m.reporting = false
		switch {
		case status == 200:
			if out.Token < m.token || session != m.session {
				m.reportAfter(period)
				return
			}
			raised := out.Token > m.token
			m.token = out.Token
			m.leaseStart = max(m.leaseStart, sent)
			m.reportAfter(period)
			if m.executeCommands(out.Orders) || raised {
				m.reportSoon()
			}
		case status == 421 && out.Owner != "" && out.Owner != to:
			for i, name := range names {
				if name == out.Owner {
					m.controllerIndex = i
				}
			}
			m.reportAfter(100 * time.Millisecond)
		default:
			m.controllerIndex++
			m.reportAfter(time.Second)
		}
	})
}
