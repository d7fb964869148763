package simulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Network holds what clusters share: the clock, the event queue and the links between hosts. In
// simulated time, events run one after the other without waiting. In real time (see LiveNetwork),
// the same code serves real sockets.
type Network struct {
	now        time.Duration
	queue      eventQueue
	eventCount int
	random     *rand.Rand

	handlers           map[string]requestHandler // by address
	cuts               map[link]bool
	inboundPartitioned map[string]bool   // addresses that no message reaches, while their own messages arrive
	refusals           map[link]bool     // links on which requests are answered with 503 and answers to open watches are delayed
	outages            map[string]bool   // services in an outage, by address
	heldMessages       map[link][]func() // deliveries that wait until a cut link heals

	live        *LiveNetwork                  // nil in simulated time
	clusters    map[string]*Cluster           // by name
	controllers map[string]*ControllerProcess // by each of a controller's addresses

	observations *observationWriter // nil if observations are not written

	// TraceLines are the lines that Trace recorded, unless they were written to LiveNetwork.Log.
	TraceLines []string
	// Violations are the violations of invariants, each with the rule and details.
	Violations []string

	// DuplicateRequest returns the delay after which a request to a host arrives a second
	// time. If it returns 0 or is nil, the request is not duplicated.
	DuplicateRequest func(to string) time.Duration
	// DuplicateReports returns the delays after which copies of a machine's report arrive; it may
	// be nil. The answers to copies are dropped.
	DuplicateReports func() []time.Duration
	// RequestDelays are functions that select requests which arrive late and whose answers are
	// lost. Each returns whether it selects a request, and the delay after which the request arrives.
	RequestDelays []func(from, path string, body []byte) (delay time.Duration, delayed bool)
	// DropCancellationNotices makes controllers lose the cancellation notices of other controllers.
	DropCancellationNotices bool
	// ExtraLatency returns a latency that is added to that of a message; it may be nil.
	ExtraLatency func(from, to string) time.Duration

	// OnRequest is called for each request when it is made.
	OnRequest func(from, method, path string)
	// OnTraffic is called for each message when it leaves its sender.
	OnTraffic func(Traffic)
	// OnResponse is called with the status of each answer that its recipient accepts.
	OnResponse func(method, path string, status int)
}

// Traffic describes one message on the simulated network.
type Traffic struct {
	At           time.Duration // simulated time since the start of the run
	From, To     string        // addresses
	Method, Path string        // those of the request, in the request and in its answer; peerMethod and "" in messages between controllers
	Status       int           // HTTP status of an answer; 0 in requests and in messages between controllers
	Body         []byte
}

// link is the directed connection from one address to another.
type link struct{ from, to string }

// requestHandler answers a request, now or later.
type requestHandler func(method, path string, body []byte, reply func(status int, body any))

func newNetwork(seed uint64) *Network {
	return &Network{
		random:             rand.New(rand.NewPCG(seed, 1)),
		handlers:           map[string]requestHandler{},
		cuts:               map[link]bool{},
		inboundPartitioned: map[string]bool{},
		refusals:           map[link]bool{},
		outages:            map[string]bool{},
		heldMessages:       map[link][]func(){},
		clusters:           map[string]*Cluster{},
		controllers:        map[string]*ControllerProcess{},
	}
}

// notifyTraffic calls OnTraffic, if it is set, for a message that leaves its sender now.
func (n *Network) notifyTraffic(message Traffic) {
	if n.OnTraffic == nil {
		return
	}
	message.At = n.now
	n.OnTraffic(message)
}

// listen registers a server at an address and returns the address. In real time it ignores
// the address and uses a free loopback port.
func (n *Network) listen(address string, handler requestHandler) string {
	if n.live != nil {
		return n.live.listen(handler)
	}
	n.handlers[address] = handler
	return address
}

// closeListener removes the server at an address.
func (n *Network) closeListener(address string) {
	delete(n.handlers, address)
	if n.live != nil {
		n.live.closeListener(address)
	}
}

// latency returns the random latency of one message, 1 to 3 ms.
func (n *Network) latency() time.Duration {
	return time.Millisecond + time.Duration(n.random.IntN(2000))*time.Microsecond
}

// deliver transmits one message and calls arrive when it reaches its destination. The message
// is lost if the destination is behind an inbound partition, and held until the link heals if
// the link is cut.
func (n *Network) deliver(from, to string, arrive func()) {
	if n.inboundPartitioned[to] {
		return
	}
	if route := (link{from, to}); n.cuts[route] {
		n.heldMessages[route] = append(n.heldMessages[route], arrive)
		return
	}
	delay := n.latency()
	if n.ExtraLatency != nil {
		delay += n.ExtraLatency(from, to)
	}
	sender := n.controllers[from]
	if sender == nil {
		n.after(delay, arrive)
		return
	}
	incarnation := sender.incarnation
	n.after(delay, func() {
		if sender.paused && sender.holdsOutgoing { // the message has not left the process yet
			sender.deferred = append(sender.deferred, func() { sender.execute(incarnation, arrive) })
			return
		}
		arrive()
	})
}

// Trace records a line with the current time. In real time it writes the line to the log.
func (n *Network) Trace(format string, args ...any) {
	line := fmt.Sprintf("%8.2f ", n.now.Seconds()) + fmt.Sprintf(format, args...)
	if n.live != nil && n.live.Log != nil {
		_, _ = fmt.Fprintln(n.live.Log, line) // a failed log write must not stop the run
		return
	}
	n.TraceLines = append(n.TraceLines, line)
}

// TraceText returns the whole trace.
func (n *Network) TraceText() string { return strings.Join(n.TraceLines, "\n") + "\n" }
