package simulator

import (
	"time"

	"curlewspool/internal/controller"
	"curlewspool/internal/settings"
)

// ControllerProcess is the process of one controller.
type ControllerProcess struct {
	Controller *controller.Controller
	// ClockRate is the rate of its steady clock; 0: exact.
	ClockRate float64
	// ClockOffset is how far its time of day is ahead, in seconds.
	ClockOffset float64
	// SocketsExhausted: it accepts no connection of users and machines.
	SocketsExhausted bool
	// ReportsOldVersion: it tells its peers that it is of the version before.
	ReportsOldVersion bool

	cluster     *Cluster
	name        string
	settings    *settings.Settings
	incarnation int // counts starts and crashes: callbacks of earlier ones are dropped
	running     bool
	startedAt   time.Duration

	paused        bool
	holdsOutgoing bool     // what it was sending when it was paused leaves when it resumes
	deferred      []func() // what happens in it when it resumes
}

// factorOrOne is a factor whose zero value means one.
func factorOrOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}

// Start starts the controller's process.
func (p *ControllerProcess) Start() {
	p.incarnation++
	p.running = true
	p.paused = false
	p.deferred = nil
	p.startedAt = p.cluster.now
	p.Controller = controller.New(&controllerEnvironment{p, p.incarnation}, p.settings)
	p.Controller.EnableFederation(&controllerEnvironment{p, p.incarnation})
	p.Controller.Start()
}

// Crash ends the process without warning; its callbacks are dropped.
func (p *ControllerProcess) Crash() {
	p.cluster.Trace("%s crashes", p.cluster.address(p.name))
	p.running = false
	p.paused = false
	p.deferred = nil
	p.incarnation++
}

// Pause stops the process for a while, as a long pause of its host does; its clocks run
// on. When it resumes, all that came meanwhile (answers, requests, timers) is there at
// once, in no order. With holdsOutgoing so is what it was just sending; otherwise that
// has left before.
func (p *ControllerProcess) Pause(duration time.Duration, holdsOutgoing bool) {
	if p.paused || !p.running {
		return
	}
	p.cluster.Trace("%s is paused", p.cluster.address(p.name))
	p.paused = true
	p.holdsOutgoing = holdsOutgoing
	incarnation := p.incarnation
	p.cluster.after(duration, func() {
		if p.running && p.incarnation == incarnation {
			p.resume()
		}
	})
}

// resume runs what was deferred in a pause, in random order.
func (p *ControllerProcess) resume() {
	p.cluster.Trace("%s resumes", p.cluster.address(p.name))
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	p.cluster.random.Shuffle(len(deferred), func(i, k int) { deferred[i], deferred[k] = deferred[k], deferred[i] })
	for _, f := range deferred {
		f()
	}
}

// execute runs f in an incarnation of the process: never if that has ended, and when it
// resumes if it is paused.
func (p *ControllerProcess) execute(incarnation int, f func()) {
	switch {
	case !p.running || p.incarnation != incarnation:
	case p.paused:
		p.deferred = append(p.deferred, func() { p.execute(incarnation, f) })
	default:
		f()
	}
}
