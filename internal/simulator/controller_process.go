package simulator

import (
	"time"

	"curlewspool/internal/controller"
	"curlewspool/internal/settings"
)

// ControllerProcess simulates the process in which one controller runs.
type ControllerProcess struct {
	Controller *controller.Controller
	// ClockRate is the rate of the process's monotonic clock relative to simulated time. 0 means 1.
	ClockRate float64
	// ClockOffset is how far the wall clock of the process is ahead, in seconds.
	ClockOffset float64
	// SocketsExhausted makes the process refuse connections of users and machines.
	SocketsExhausted bool
	// ReportsOldVersion makes the process report the previous protocol version to its peers.
	ReportsOldVersion bool

	cluster     *Cluster
	name        string
	settings    *settings.Settings
	incarnation int // number of starts and crashes; callbacks of earlier incarnations are dropped
	running     bool
	startedAt   time.Duration

	paused        bool
	holdsOutgoing bool     // messages that are being sent at the start of a pause leave at its end
	deferred      []func() // callbacks to run at the end of the pause
}

// factorOrOne returns factor, or 1 if it is 0.
func factorOrOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}

// Start starts the process with a new controller.
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

// Crash ends the process without a shutdown and drops its callbacks.
func (p *ControllerProcess) Crash() {
	p.cluster.Trace("%s crashes", p.cluster.address(p.name))
	p.running = false
	p.paused = false
	p.deferred = nil
	p.incarnation++
}

// Pause suspends the process for a duration, like a long stall of its host, while its clocks
// keep running. When it resumes, it handles all answers and requests that arrived and all timers
// that came due in the meantime, at once and in random order. With holdsOutgoing, messages that
// were being sent when the pause began leave only when it resumes; otherwise they leave despite the
// pause.
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

// resume runs the callbacks that were deferred during a pause, in random order.
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

// execute runs f on behalf of an incarnation of the process. It drops f if that incarnation
// has ended, and defers f if the process is paused.
func (p *ControllerProcess) execute(incarnation int, f func()) {
	switch {
	case !p.running || p.incarnation != incarnation:
	case p.paused:
		p.deferred = append(p.deferred, func() { p.execute(incarnation, f) })
	default:
		f()
	}
}
