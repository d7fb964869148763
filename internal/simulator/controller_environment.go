package simulator

import (
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewspool/internal/env"
	"curlewspool/internal/peermsg"
)

// peerMethod stands for the method of messages between controllers in Traffic.
const peerMethod = "peer"

// wallClockStart is the time of day, in seconds since 1970, at which each day begins.
const wallClockStart = 1_700_000_000

// controllerEnvironment gives one incarnation of a controller its clocks, randomness and
// connections; see env.Environment.
type controllerEnvironment struct {
	process     *ControllerProcess
	incarnation int
}

// Now is the steady clock, at the controller's rate; it begins at one second.
func (e *controllerEnvironment) Now() time.Duration {
	elapsed := e.process.cluster.now - e.process.startedAt
	return time.Duration(float64(elapsed)*factorOrOne(e.process.ClockRate)) + time.Second
}

// Wall is the time of day, with the controller's offset.
func (e *controllerEnvironment) Wall() time.Time {
	return time.Unix(wallClockStart, 0).Add(e.process.cluster.now + env.Seconds(e.process.ClockOffset))
}

// Rand is the network's source of random numbers.
func (e *controllerEnvironment) Rand() *rand.Rand { return e.process.cluster.random }

// After runs f when a delay has passed by the controller's steady clock. The delay is
// rounded up: what waits for a moment of its own clock must not find that this is still
// to come, again and again.
func (e *controllerEnvironment) After(delay time.Duration, f func()) {
	trueDelay := math.Ceil(float64(delay) / factorOrOne(e.process.ClockRate))
	e.process.cluster.after(time.Duration(trueDelay), func() { e.process.execute(e.incarnation, f) })
}

// Call makes one request; its answer is dropped if the incarnation has ended.
func (e *controllerEnvironment) Call(address, method, path string, in, out any, timeout time.Duration, done func(int)) {
	from := e.process.cluster.address(e.process.name)
	e.process.cluster.request(from, address, method, path, in, out, timeout, func(status int) {
		e.process.execute(e.incarnation, func() { done(status) })
	})
}

// CallPartner makes one request to another cluster. The path begins with the caller's
// cluster, which its certificate names on real connections.
func (e *controllerEnvironment) CallPartner(_, address, path string, in, out any, timeout time.Duration, done func(int)) {
	e.Call(address, http.MethodPost, "/"+e.process.cluster.Name+path, in, out, timeout, done)
}

// Send sends a message to another controller. On a link that is cut it is lost: a
// connection between controllers gives up after a while.
func (e *controllerEnvironment) Send(member string, envelope *peermsg.Envelope) {
	envelope.From = e.process.name
	if status := envelope.GetStatus(); status != nil && e.process.ReportsOldVersion {
		status.Version = 0
	}
	message, err := proto.Marshal(envelope)
	if err != nil {
		panic(err) // only our own messages come here
	}
	cluster := e.process.cluster
	way := link{from: cluster.address(e.process.name), to: cluster.address(member)}
	cluster.notifyTraffic(Traffic{From: way.from, To: way.to, Method: peerMethod, Body: message})
	if cluster.cuts[way] {
		return
	}
	cluster.after(cluster.latency(), func() { cluster.Controllers[member].receive(message) })
}

// receive is the arrival of a message from another controller.
func (p *ControllerProcess) receive(message []byte) {
	envelope := &peermsg.Envelope{}
	if err := proto.Unmarshal(message, envelope); err != nil {
		return
	}
	if p.cluster.DropCancellationNotices && envelope.GetJobNotice().GetCancelled() {
		return
	}
	p.execute(p.incarnation, func() { p.Controller.HandlePeerMessage(envelope) })
}
