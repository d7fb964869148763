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

// peerMethod is the value of Traffic.Method in messages between controllers.
const peerMethod = "peer"

// wallClockStart is the wall-clock time at which each run begins, in seconds since 1970.
const wallClockStart = 1_700_000_000

// controllerEnvironment provides one incarnation of a controller process with clocks, random
// numbers and connections. It implements env.Environment and federation.PartnerClient.
type controllerEnvironment struct {
	process     *ControllerProcess
	incarnation int
}

// Now returns the time of the controller's monotonic clock, which runs at ClockRate and starts at
// one second.
func (e *controllerEnvironment) Now() time.Duration {
	elapsed := e.process.cluster.now - e.process.startedAt
	return time.Duration(float64(elapsed)*factorOrOne(e.process.ClockRate)) + time.Second
}

// Wall returns the wall-clock time, which is off by the controller's ClockOffset.
func (e *controllerEnvironment) Wall() time.Time {
	return time.Unix(wallClockStart, 0).Add(e.process.cluster.now + env.Seconds(e.process.ClockOffset))
}

// Rand returns the network's source of random numbers.
func (e *controllerEnvironment) Rand() *rand.Rand { return e.process.cluster.random }

// After runs f after a delay on the controller's monotonic clock. The delay is rounded up:
// otherwise a timer could fire before its deadline on that clock and be set again and again.
func (e *controllerEnvironment) After(delay time.Duration, f func()) {
	trueDelay := math.Ceil(float64(delay) / factorOrOne(e.process.ClockRate))
	e.process.cluster.after(time.Duration(trueDelay), func() { e.process.execute(e.incarnation, f) })
}

// Call makes one request. The answer is dropped if the incarnation has ended.
func (e *controllerEnvironment) Call(address, method, path string, in, out any, timeout time.Duration, done func(int)) {
	from := e.process.cluster.address(e.process.name)
	e.process.cluster.request(from, address, method, path, in, out, timeout, func(status int) {
		e.process.execute(e.incarnation, func() { done(status) })
	})
}

// CallPartner makes one request to another cluster. The path is prefixed with the name of
// the caller's cluster, which the client certificate proves on real connections.
func (e *controllerEnvironment) CallPartner(_, address, path string, in, out any, timeout time.Duration, done func(int)) {
	e.Call(address, http.MethodPost, "/"+e.process.cluster.Name+path, in, out, timeout, done)
}

// Send sends a message to another controller. A message on a cut link is lost, not held
// until the link heals, because real connections between controllers time out.
func (e *controllerEnvironment) Send(member string, envelope *peermsg.Envelope) {
	envelope.From = e.process.name
	if status := envelope.GetStatus(); status != nil && e.process.ReportsOldVersion {
		status.Version = 0
	}
	message, err := proto.Marshal(envelope)
	if err != nil {
		panic(err) // can't happen: the controller built the message itself
	}
	cluster := e.process.cluster
	route := link{from: cluster.address(e.process.name), to: cluster.address(member)}
	cluster.notifyTraffic(Traffic{From: route.from, To: route.to, Method: peerMethod, Body: message})
	if cluster.cuts[route] {
		return
	}
	cluster.after(cluster.latency(), func() { cluster.Controllers[member].receive(message) })
}

// receive handles the arrival of a message from another controller.
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
