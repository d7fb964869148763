// Package standin has test doubles written for this project: a network in
// simulated time with a state service, a cloud, workers and users on it, and
// the rules that none of them may see broken. A run with the same seed gives
// the same trace.
package simulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

// Network is what clusters have in common: the clock, the events to come and the
// network. In simulated time events follow each other at once; driven by the
// real clock (see live.go) the same code serves real sockets.
type Network struct {
	now                time.Duration
	queue              eventQueue
	eventCount         int
	random             *rand.Rand
	handlers           map[string]requestHandler // by address
	cuts               map[string]bool
	inboundPartitioned map[string]bool // addresses that nothing reaches, though they are heard
	refusals           map[string]bool // requests that get 503, by "from|to"; open watches wait
	outages            map[string]bool // services in an outage, by address
	heldMessages       map[string][]func()
	TraceLines         []string
	Violations         []string
	live               *LiveNetwork                  // nil in simulated time
	clusters           map[string]*Cluster           // the clusters, by name
	controllers        map[string]*ControllerProcess // the controllers, by each of their addresses
	DuplicateRequest   func(to string) time.Duration // a request there arrives again after that; 0: once
	// DuplicateReports says how late copies of a worker's report come, if any; their answers
	// reach nobody.
	DuplicateReports func() []time.Duration
	observations     *observationWriter
	// Each of DelayedRequests says of a request whether it gets no answer, and after how long it
	// is carried out all the same.
	DelayedRequests []func(from, path string, body []byte) (after time.Duration, ok bool)
	// OnRequest is told each request as it is made.
	OnRequest func(from, method, path string)
	// OnTraffic is told each message as it leaves its sender.
	OnTraffic func(Traffic)
	// OnResponse is told the status of each answer that a host took.
	OnResponse func(method, path string, status int)
	// DropCancellationNotices: the word of a cancellation does not arrive at other controllers.
	DropCancellationNotices bool
	// ExtraLatency is how much longer than usual a message takes; nil: none does.
	ExtraLatency func(from, to string) time.Duration
}

// Traffic is one message on the simulated network.
type Traffic struct {
	At           time.Duration // simulated time since the start of the day
	From, To     string        // addresses
	Method, Path string        // of a request and of its answer; "peer" and "" between controllers
	Status       int           // of an answer; 0 in requests and between controllers
	Body         []byte
}

// notifyTraffic tells OnTraffic of a message that leaves its sender now.
func (n *Network) notifyTraffic(from, to, method, path string, status int, body []byte) {
	if n.OnTraffic != nil {
		n.OnTraffic(Traffic{At: n.now, From: from, To: to, Method: method, Path: path, Status: status, Body: body})
	}
}

func newNetwork(seed uint64) *Network {
	return &Network{refusals: map[string]bool{}, outages: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 1)), handlers: map[string]requestHandler{}, cuts: map[string]bool{}, inboundPartitioned: map[string]bool{},
		heldMessages: map[string][]func(){}, clusters: map[string]*Cluster{}, controllers: map[string]*ControllerProcess{}}
}

// listen puts a server at an address; driven by the real clock, at a free
// port of the loopback, whose address it gives.
func (n *Network) listen(addr string, srv requestHandler) string {
	if n.live != nil {
		return n.live.listen(srv)
	}
	n.handlers[addr] = srv
	return addr
}

// unlisten takes it away.
func (n *Network) unlisten(addr string) {
	delete(n.handlers, addr)
	if n.live != nil {
		n.live.unlisten(addr)
	}
}

// requestHandler answers a request, now or later.
type requestHandler func(method, path string, body []byte, reply func(status int, body any))

// Trace notes something for people to read.
func (n *Network) Trace(format string, a ...any) {
	line := fmt.Sprintf("%8.2f ", n.now.Seconds()) + fmt.Sprintf(format, a...)
	if n.live != nil && n.live.Log != nil {
		fmt.Fprintln(n.live.Log, line)
		return
	}
	n.TraceLines = append(n.TraceLines, line)
}

func (n *Network) latency() time.Duration {
	return time.Millisecond + time.Duration(n.random.IntN(2000))*time.Microsecond
}

// deliver carries one message.
func (n *Network) deliver(from, to string, f func()) {
	if n.inboundPartitioned[to] {
		return
	}
	if key := from + "|" + to; n.cuts[key] {
		n.heldMessages[key] = append(n.heldMessages[key], f)
		return
	}
	process, takes := n.controllers[from], n.latency()
	if n.ExtraLatency != nil {
		takes += n.ExtraLatency(from, to)
	}
	if process == nil {
		n.after(takes, f)
		return
	}
	life := process.incarnation
	n.after(takes, func() {
		if process.paused && process.holdsOutgoing { // it had not left the process yet
			process.deferred = append(process.deferred, func() { process.execute(life, f) })
			return
		}
		f()
	})
}

// request is one request and its answer; done is called once, with 0 at the time-out.
func (n *Network) request(from, to, method, path string, in, out any, timeout time.Duration, done func(int)) {
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	if n.live != nil {
		n.live.request(to, method, path, body, timeout, func(status int, b []byte) {
			if out != nil && len(b) > 0 && protocol.Decode(b, out) != nil {
				status = 0
			}
			done(status)
		})
		return
	}
	if n.OnRequest != nil {
		n.OnRequest(from, method, path)
	}
	n.notifyTraffic(from, to, method, path, 0, body)
	over, mute := false, false
	n.after(timeout, func() {
		if !over {
			over = true
			done(0)
		}
	})
	arrive := func() {
		srv := n.handlers[to]
		if srv == nil {
			return // silent, like a machine without power
		}
		if n.refusals[from+"|"+to] {
			srv = func(_, _ string, _ []byte, reply func(int, any)) { reply(503, nil) }
		}
		var answered func(status int, answer any)
		answered = func(status int, answer any) {
			if strings.HasPrefix(path, "/changes") && status == 200 && (n.refusals[from+"|"+to] || n.outages[to]) {
				n.after(10*time.Millisecond, func() { answered(status, answer) })
				return
			}
			var b []byte
			if answer != nil {
				b = protocol.Encode(answer)
			}
			n.notifyTraffic(to, from, method, path, status, b)
			n.deliver(to, from, func() {
				if over || mute {
					return
				}
				over = true
				if out != nil && len(b) > 0 {
					if err := protocol.Decode(b, out); err != nil {
						n.reportViolation("answer of %s%s not understood: %v", to, path, err)
					}
				}
				if n.OnResponse != nil {
					n.OnResponse(method, path, status)
				}
				done(status)
			})
		}
		srv(method, path, body, answered)
	}
	for _, late := range n.DelayedRequests {
		if duration, ok := late(from, path, body); ok {
			mute = true
			n.after(duration, arrive)
			return
		}
	}
	n.deliver(from, to, arrive)
	if n.DuplicateReports != nil && path == "/v1/report" {
		for _, duration := range n.DuplicateReports() {
			n.after(duration, func() {
				if srv := n.handlers[to]; srv != nil {
					srv(method, path, body, func(int, any) {})
				}
			})
		}
	}
	if n.DuplicateRequest != nil {
		if duration := n.DuplicateRequest(to); duration > 0 {
			n.after(duration, arrive)
		}
	}
}

// TraceText is the whole trace.
func (n *Network) TraceText() string { return strings.Join(n.TraceLines, "\n") + "\n" }
