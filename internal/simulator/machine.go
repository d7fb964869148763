package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// Machine simulates a machine and the agent on it.
type Machine struct {
	// Hung suspends the machine. Reports, steps of tasks and answers to controllers that come due in
	// the meantime are carried out once Hung is false again.
	Hung bool
	// Faulty makes every task that starts on the machine fail.
	Faulty bool
	// ClockRate is the rate of the machine's monotonic clock relative to simulated time. 0 means 1.
	ClockRate float64

	cluster     *Cluster
	id          string
	address     string
	machineType protocol.MachineType
	zone        string
	spot        bool
	rentedAt    time.Duration
	running     bool
	deleted     bool
	reboots     int // number of reboots; answers to reports from before the last one are ignored

	incarnation  uint64 // the agent's incarnation; a new one begins when the lease expires
	sequence     uint64 // sequence number of the incarnation's last report
	fencingToken uint64 // highest fencing token seen

	leaseStart         time.Duration // when the incarnation began or the last answered report was sent, whichever is later
	preemptionAt       time.Duration
	preemptionNotified bool
	controllerIndex    int // index of the controller to which the machine reports
	reportPending      bool
	reportTimerID      int // number of the timer for the next report; earlier timers are ignored
	lastReportAt       time.Duration
	attempts           []*taskAttempt
}

// Delays and intervals of a machine's timers.
const (
	firstReportDelay     = 10 * time.Millisecond
	firstLeaseCheckDelay = time.Second
	leaseCheckInterval   = 100 * time.Millisecond
	hungRetryInterval    = time.Second
)

// Values of Observation.Event for the attempts on a machine that is lost or whose lease expires.
const (
	observedMachineLost = "machine gone"
	observedKilled      = "killed"
)

// AddMachine adds a running machine of the given type in a zone.
func (c *Cluster) AddMachine(typeName, zone string, spot bool) *Machine {
	c.Cloud.machineCount++
	machine := &Machine{
		cluster:     c,
		id:          c.address(fmt.Sprintf("i-%03d", c.Cloud.machineCount)),
		zone:        zone,
		spot:        spot,
		rentedAt:    c.now,
		running:     true,
		incarnation: 1,
		leaseStart:  c.now,
	}
	for _, machineType := range c.Cloud.Types {
		if machineType.Name == typeName {
			machine.machineType = machineType
		}
	}
	c.Machines[machine.id] = machine
	machine.address = c.listen("w-"+machine.id, machine.serve)
	c.after(firstReportDelay, machine.sendReport)
	c.after(firstLeaseCheckDelay, machine.checkLease)
	return machine
}

// ID returns the machine's id.
func (m *Machine) ID() string { return m.id }

// Address returns the machine's network address.
func (m *Machine) Address() string { return m.address }

// machineIDs returns the ids of all machines, including deleted ones, in sorted order.
func (c *Cluster) machineIDs() []string {
	return slices.Sorted(maps.Keys(c.Machines))
}

// remove deletes the machine and all its attempts.
func (m *Machine) remove() {
	m.observeLoss(observedMachineLost)
	m.deleted = true
	m.running = false
	m.attempts = nil
	m.cluster.closeListener(m.address)
}

// Terminate deletes the machine without notice.
func (m *Machine) Terminate() {
	m.cluster.Trace("%s dies", m.id)
	m.remove()
}

// Reboot stops the machine and starts it again, with the same id, after a downtime. The
// machine then has no tasks and no fencing token, and its incarnation and sequence numbers
// start over.
func (m *Machine) Reboot(downtime time.Duration) {
	if m.deleted {
		return
	}
	m.cluster.Trace("%s reboots", m.id)
	m.observeLoss(observedMachineLost)
	m.reboots++
	m.running = false
	m.attempts = nil
	m.reportTimerID++
	m.cluster.after(downtime, func() {
		if m.deleted || m.running {
			return
		}
		m.running = true
		m.reportPending = false
		m.incarnation = 1
		m.sequence = 0
		m.fencingToken = 0
		m.leaseStart = m.cluster.now
		m.sendReport()
	})
}

// AnnouncePreemption announces the preemption of a spot machine and deletes the machine after
// the notice period.
func (m *Machine) AnnouncePreemption(notice time.Duration) {
	m.cluster.Trace("%s gets a spot notice", m.id)
	m.preemptionNotified = true
	m.preemptionAt = m.cluster.now + notice
	m.reportSoon()
	m.cluster.after(notice, func() {
		if m.deleted {
			return
		}
		m.cluster.Trace("%s is evicted", m.id)
		m.remove()
	})
}

// checkLease kills all tasks if no report was answered for the duration of the machine lease. It
// checks a hung machine too: when that resumes after the lease has expired, its tasks must not
// continue.
func (m *Machine) checkLease() {
	if m.deleted {
		return
	}
	elapsed := time.Duration(float64(m.cluster.now-m.leaseStart) * factorOrOne(m.ClockRate))
	if m.running && elapsed > env.Seconds(m.cluster.Settings.Deployment.Workers.Lease) {
		m.handleLeaseExpiry()
	}
	m.cluster.after(leaseCheckInterval, m.checkLease)
}

// handleLeaseExpiry kills all tasks and starts a new incarnation of the agent.
func (m *Machine) handleLeaseExpiry() {
	if len(m.attempts) > 0 {
		m.cluster.Trace("%s lease expired, kills %d", m.id, len(m.attempts))
	}
	m.observeLoss(observedKilled)
	m.attempts = nil
	m.incarnation++
	m.leaseStart = m.cluster.now
	m.sequence = 0
}
