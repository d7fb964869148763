package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// Machine is a stand-in for a machine and its worker.
type Machine struct {
	cluster     *Cluster
	id          string
	address     string
	machineType protocol.MachineType
	zone        string
	spot        bool
	rentedAt    time.Duration
	running     bool
	deleted     bool
	Hung        bool
	ClockRate   float64 // of its steady clock; 0: exact
	Faulty      bool

	session, sequence, token uint64
	leaseStart               time.Duration // of the session, or sent time of the last answered report
	evictionAt               time.Duration
	evictionAnnounced        bool
	controllerIndex          int
	reporting                bool
	timerGeneration          int
	lastSent                 time.Duration
	attempts                 []*attempt
	incarnation              int
}

type attempt struct {
	agent.TaskID
	number          uint64
	state           protocol.TaskState
	cause           protocol.TerminationCause
	saved           bool
	present         bool // has its image and has not exited
	resultExisted   bool // its result was there already
	progress        time.Duration
	since           time.Duration
	timerGeneration int
}

// AddMachine puts a running machine there.
func (c *Cluster) AddMachine(typ, zone string, spot bool) *Machine {
	c.Cloud.machineCount++
	id := c.address(fmt.Sprintf("i-%03d", c.Cloud.machineCount))
	machine := &Machine{cluster: c, id: id, zone: zone, spot: spot, rentedAt: c.now, running: true, session: 1, leaseStart: c.now}
	for _, t := range c.Cloud.Types {
		if t.Name == typ {
			machine.machineType = t
		}
	}
	c.Machines[id] = machine
	machine.address = c.listen("w-"+id, machine.serve)
	c.after(10*time.Millisecond, machine.sendReport)
	c.after(time.Second, machine.checkLease)
	return machine
}

// ID is the machine's name.
func (m *Machine) ID() string { return m.id }

// Address is its address, for cuts.
func (m *Machine) Address() string { return m.address }

func (c *Cluster) machineIDs() []string {
	return slices.Sorted(maps.Keys(c.Machines))
}

func (m *Machine) remove() {
	m.observeLoss("machine gone")
	m.deleted, m.running, m.attempts = true, false, nil
	m.cluster.unlisten(m.address)
}

// Die takes the machine away without a word.
func (m *Machine) Die() {
	m.cluster.Trace("%s dies", m.id)
	m.remove()
}

// Reboot ends the machine and has it back under its name after a while: with no
// tasks, no token, and numbers from the beginning.
func (m *Machine) Reboot(duration time.Duration) {
	if m.deleted {
		return
	}
	m.cluster.Trace("%s ends and will be back", m.id)
	m.observeLoss("machine gone")
	m.incarnation++
	m.running, m.attempts = false, nil
	m.timerGeneration++
	m.cluster.after(duration, func() {
		if m.deleted || m.running {
			return
		}
		m.running, m.reporting, m.session, m.sequence, m.token, m.leaseStart = true, false, 1, 0, 0, m.cluster.now
		m.sendReport()
	})
}

// AnnounceEviction announces that the machine will be taken, and takes it.
func (m *Machine) AnnounceEviction(duration time.Duration) {
	m.cluster.Trace("%s gets a spot notice", m.id)
	m.evictionAnnounced, m.evictionAt = true, m.cluster.now+duration
	m.reportSoon()
	m.cluster.after(duration, func() {
		if !m.deleted {
			m.cluster.Trace("%s is taken", m.id)
			m.remove()
		}
	})
}

func (m *Machine) checkLease() {
	if m.deleted {
		return
	}
	// A machine that hangs may resume only within its lease.
	if m.running && time.Duration(float64(m.cluster.now-m.leaseStart)*orOne(m.ClockRate)) > time.Duration(m.cluster.Settings.Deployment.Workers.Lease*float64(time.Second)) {
		if len(m.attempts) > 0 {
			m.cluster.Trace("%s lease over, kills %d", m.id, len(m.attempts))
		}
		m.observeLoss("killed")
		m.attempts = nil
		m.session++
		m.leaseStart = m.cluster.now
		m.sequence = 0
	}
	m.cluster.after(100*time.Millisecond, m.checkLease)
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

type reportAnswer struct {
	Token  uint64             `cbor:"baton"`
	Orders []protocol.Command `cbor:"orders"`
	Owner  string             `cbor:"foreman"`
}

func (m *Machine) serve(method, path string, body []byte, reply func(int, any)) {
	if m.deleted || !m.running {
		return
	}
	if m.Hung {
		m.cluster.after(time.Second, func() { m.serve(method, path, body, reply) })
		return
	}
	if path == "/status" {
		reply(200, m.buildReport())
		return
	}
	var c protocol.CommandBatch
	if protocol.Decode(body, &c) != nil || c.FencingToken == 0 || c.Incarnation == 0 {
		reply(400, nil)
		return
	}
	if c.FencingToken < m.token || c.Incarnation != m.session {
		reply(409, m.buildReport())
		return
	}
	m.token = c.FencingToken
	m.executeCommands(c.Commands)
	reply(200, m.buildReport())
}

func (m *Machine) findAttempt(piece string, try uint64) *attempt {
	for _, t := range m.attempts {
		if t.String() == piece && t.number == try {
			return t
		}
	}
	return nil
}

func (m *Machine) executeCommands(orders []protocol.Command) bool {
	did := false
	for _, command := range orders {
		t := m.findAttempt(command.Task, command.Attempt)
		switch command.Verb {
		case protocol.CommandLaunch:
			if t == nil {
				m.launch(command)
				did = true
			}
		case protocol.CommandStop:
			if t != nil && t.state != protocol.TaskEnded {
				m.stopTask(t, command.GraceSeconds)
				did = true
			}
		case protocol.CommandAcknowledge:
			if t != nil && t.state == protocol.TaskEnded {
				for i := range m.attempts {
					if m.attempts[i] == t {
						m.attempts = append(m.attempts[:i:i], m.attempts[i+1:]...)
						break
					}
				}
			}
		}
	}
	return did
}

func (m *Machine) launch(command protocol.Command) {
	key, _ := agent.ParseTaskID(command.Task)
	t := &attempt{TaskID: key, number: command.Attempt}
	m.attempts = append(m.attempts, t)
	if home, whose := m.cluster.origin(key); home.cancelledAt[whose.Job] > 1 {
		home.histories.job(whose.Job).launchesAfterCancellation++
	}
	job := m.cluster.jobByID(key.Job)
	refuse := func(cause protocol.TerminationCause) { t.state, t.cause = protocol.TaskEnded, cause }
	if job == nil || key.Index >= job.Tasks {
		refuse(protocol.CauseUnknownTask)
		return
	}
	cores, mem, gpus := m.machineType.Cores, m.machineType.MemoryGB, m.machineType.GPUs
	for _, x := range m.attempts {
		if job := m.cluster.jobByID(x.Job); x != t && x.state != protocol.TaskEnded && job != nil {
			if x.TaskID == key {
				refuse(protocol.CauseOtherAttemptPresent)
				return
			}
			cores, mem, gpus = cores-job.Cores, mem-job.MemoryGB, gpus-job.GPUs
		}
	}
	if cores < job.Cores-1e-9 || mem < job.MemoryGB-1e-9 || gpus < job.GPUs-1e-9 {
		refuse(protocol.CauseMachineFull)
		return
	}
	t.state = protocol.TaskPullingImage
	m.scheduleStep(t, time.Duration(job.ImageGB/m.machineType.FetchGBPerSecond*float64(time.Second)), func() {
		if m.Faulty || m.cluster.FailingJobs[key.Job] {
			m.cluster.FailedStarts = append(m.cluster.FailedStarts, key)
			m.endAttempt(t, protocol.CauseError)
			return
		}
		t.present = true
		m.observe(t, "start")
		m.cluster.recordStart(m, t, job)
		if job.Shape == protocol.ShapeGang {
			t.state = protocol.TaskWaitingForGang
			m.scheduleStep(t, time.Duration(m.cluster.Settings.Deployment.Workers.GangWait*float64(time.Second)), func() { m.endAttempt(t, protocol.CauseGangIncomplete) })
			m.reportSoon()
			m.cluster.startGang(job, t.number)
			return
		}
		m.runTask(t, job)
	})
}

// scheduleStep does f later unless the task has moved on or the machine is gone; a
// hung machine goes on when it resumes.
func (m *Machine) scheduleStep(t *attempt, duration time.Duration, f func()) {
	t.timerGeneration++
	n := t.timerGeneration
	var try func()
	try = func() {
		if m.deleted || t.timerGeneration != n || m.findAttempt(t.String(), t.number) != t {
			return
		}
		if m.Hung {
			m.cluster.after(time.Second, try)
			return
		}
		f()
	}
	m.cluster.after(duration, try)
}

// ActualRuntime is how long a task really takes: a little off its estimate.
func ActualRuntime(job *protocol.Job, index int) time.Duration {
	return time.Duration(job.Estimate * (0.9 + 0.05*float64(index%5)) * float64(time.Second))
}

func (m *Machine) runTask(t *attempt, job *protocol.Job) {
	t.state, t.since = protocol.TaskRunning, m.cluster.now
	m.reportSoon()
	if job.Shape == protocol.ShapeService {
		return
	}
	left := time.Duration(float64(ActualRuntime(job, t.Index))*orOne(m.cluster.RuntimeFactors[job.Class])*(1+m.cluster.RuntimeSpread[job.Class]*float64(t.Index))) - t.progress
	if home, whose := m.cluster.origin(t.TaskID); home.completedTasks[whose] {
		left, t.resultExisted = 0, true // its result is there from before
	}
	m.scheduleStep(t, left, func() { m.endAttempt(t, protocol.CauseDone) })
}

func (m *Machine) endAttempt(t *attempt, cause protocol.TerminationCause) {
	t.timerGeneration++
	switch {
	case t.resultExisted && cause == protocol.CauseDone:
		m.observe(t, "kept")
	case t.present:
		m.observe(t, string(cause))
	}
	t.state, t.cause, t.present = protocol.TaskEnded, cause, false
	if cause == protocol.CauseDone {
		m.cluster.recordCompletion(t.TaskID, m)
	}
	m.reportSoon()
}

func (m *Machine) stopTask(t *attempt, grace *float64) {
	job := m.cluster.jobByID(t.Job)
	if t.state == protocol.TaskRunning && job.CheckpointInterval > 0 && grace != nil && *grace >= job.CheckpointDuration {
		t.state = protocol.TaskCheckpointing
		m.scheduleStep(t, time.Duration(job.CheckpointDuration*float64(time.Second)), func() { t.saved = true; m.endAttempt(t, protocol.CauseStopped) })
		return
	}
	if t.state == protocol.TaskCheckpointing && grace != nil && *grace > 0 {
		return
	}
	m.endAttempt(t, protocol.CauseStopped)
}
