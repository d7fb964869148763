package simulator

import (
	"math"
	"math/rand/v2"
	"time"

	"curlewspool/internal/controller"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/settings"

	"google.golang.org/protobuf/proto"
)

// ControllerProcess runs one controller; a crash drops all its callbacks.
type ControllerProcess struct {
	cluster           *Cluster
	name              string
	settings          *settings.Settings
	incarnation       int
	running           bool
	startedAt         time.Duration
	ClockRate         float64 // of its steady clock; 0: exact
	ClockOffset       float64 // how far its time of day is ahead, in seconds
	Controller        *controller.Controller
	SocketsExhausted  bool // it has no socket left for users and workers
	ReportsOldVersion bool // it says that it is of the version before

	paused        bool
	holdsOutgoing bool     // what it was sending when it froze leaves when it goes on
	deferred      []func() // what is to happen in it when it goes on
}

// orOne of a steady clock.
func orOne(r float64) float64 {
	if r == 0 {
		return 1
	}
	return r
}

// Start starts the controller's process.
func (p *ControllerProcess) Start() {
	p.incarnation++
	p.running, p.paused, p.deferred, p.startedAt = true, false, nil, p.cluster.now
	p.Controller = controller.New(&controllerEnvironment{p, p.incarnation}, p.settings)
	p.Controller.EnableFederation(&controllerEnvironment{p, p.incarnation})
	p.Controller.Start()
}

// Crash ends it without warning.
func (p *ControllerProcess) Crash() {
	p.cluster.Trace("%s crashes", p.cluster.address(p.name))
	p.running, p.paused, p.deferred = false, false, nil
	p.incarnation++
}

// Pause makes the process stand still for a while; its clocks run on. When it
// goes on, all that came meanwhile (answers, requests, timers) is there at
// once, in no order. holds: so is what it was just sending; otherwise that has
// left before.
func (p *ControllerProcess) Pause(duration time.Duration, holds bool) {
	if p.paused || !p.running {
		return
	}
	p.cluster.Trace("%s stands still", p.cluster.address(p.name))
	p.paused, p.holdsOutgoing = true, holds
	life := p.incarnation
	p.cluster.after(duration, func() {
		if !p.running || p.incarnation != life {
			return
		}
		p.cluster.Trace("%s goes on", p.cluster.address(p.name))
		p.paused = false
		stuck := p.deferred
		p.deferred = nil
		p.cluster.random.Shuffle(len(stuck), func(i, k int) { stuck[i], stuck[k] = stuck[k], stuck[i] })
		for _, f := range stuck {
			f()
		}
	})
}

// execute does f in the process that was started as life, unless that has ended;
// in a frozen one when it goes on.
func (p *ControllerProcess) execute(life int, f func()) {
	switch {
	case !p.running || p.incarnation != life:
	case p.paused:
		p.deferred = append(p.deferred, func() { p.execute(life, f) })
	default:
		f()
	}
}

type controllerEnvironment struct {
	process     *ControllerProcess
	incarnation int
}

func (e *controllerEnvironment) Now() time.Duration {
	return time.Duration(float64(e.process.cluster.now-e.process.startedAt)*orOne(e.process.ClockRate)) + time.Second
}

func (e *controllerEnvironment) Wall() time.Time {
	return time.Unix(1_700_000_000, 0).Add(e.process.cluster.now + time.Duration(e.process.ClockOffset*float64(time.Second)))
}

func (e *controllerEnvironment) Rand() *rand.Rand { return e.process.cluster.random }

func (e *controllerEnvironment) After(duration time.Duration, f func()) {
	// Rounded up: what waits for a moment of its own clock must not find that
	// it is still to come, again and again.
	e.process.cluster.after(time.Duration(math.Ceil(float64(duration)/orOne(e.process.ClockRate))), func() { e.process.execute(e.incarnation, f) })
}

func (e *controllerEnvironment) Call(addr, method, path string, in, out any, timeout time.Duration, done func(int)) {
	e.process.cluster.request(e.process.cluster.address(e.process.name), addr, method, path, in, out, timeout, func(status int) {
		e.process.execute(e.incarnation, func() { done(status) })
	})
}

// CallPartner is the line between clusters.
func (e *controllerEnvironment) CallPartner(_, addr, path string, in, out any, timeout time.Duration, done func(int)) {
	e.Call(addr, "POST", "/"+e.process.cluster.Name+path, in, out, timeout, done)
}

func (w *controllerEnvironment) Send(member string, e *peermsg.Envelope) {
	e.From = w.process.name
	if st := e.GetStatus(); st != nil && w.process.ReportsOldVersion {
		st.Version = 0
	}
	b, err := proto.Marshal(e)
	if err != nil {
		panic(err)
	}
	cluster := w.process.cluster
	cluster.notifyTraffic(cluster.address(w.process.name), cluster.address(member), "peer", "", 0, b)
	if cluster.cuts[cluster.address(w.process.name)+"|"+cluster.address(member)] {
		return // a mesh connection gives up after a while
	}
	cluster.after(cluster.latency(), func() {
		to := cluster.Controllers[member]
		c := &peermsg.Envelope{}
		if proto.Unmarshal(b, c) == nil && !(cluster.DropCancellationNotices && c.GetJobNotice().GetCancelled()) {
			to.execute(to.incarnation, func() { to.Controller.HandlePeerMessage(c) })
		}
	})
}
