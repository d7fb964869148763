package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

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
