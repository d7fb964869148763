package simulator

import (
	"net/http"
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

// Paths of machines' reports and of watches on the store, which injected faults single out.
const (
	pathReport  = "/v1/report"
	pathChanges = "/changes"
)

// noAnswer is the status of a request that received no answer.
const noAnswer = 0

// watchRetryDelay is the delay before a blocked answer to a watch is sent again.
const watchRetryDelay = 10 * time.Millisecond

// exchange is one request on the simulated network and its answer.
type exchange struct {
	network      *Network
	from, to     string
	method, path string
	body         []byte
	out          any // destination of the decoded answer body; nil: the body is ignored
	done         func(status int)

	finished   bool // done has been called
	answerLost bool
}

// request makes one request with a CBOR body (in may be nil), decodes the body of the answer
// into out (may be nil) and calls done once, with the status of the answer or with noAnswer
// after the timeout.
func (n *Network) request(from, to, method, path string, in, out any, timeout time.Duration, done func(int)) {
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	if n.live != nil {
		n.requestLive(to, method, path, body, out, timeout, done)
		return
	}
	if n.OnRequest != nil {
		n.OnRequest(from, method, path)
	}
	n.notifyTraffic(Traffic{From: from, To: to, Method: method, Path: path, Body: body})
	if len(body) > protocol.MaxBodyBytes {
		n.reportViolation(RuleMessageSize, "%s sends %d bytes to %s%s", from, len(body), to, path)
	}
	x := &exchange{network: n, from: from, to: to, method: method, path: path, body: body, out: out, done: done}
	n.after(timeout, func() { x.finish(noAnswer) })
	x.send()
}

// requestLive makes one request over real sockets.
func (n *Network) requestLive(to, method, path string, body []byte, out any, timeout time.Duration, done func(int)) {
	n.live.request(to, method, path, body, timeout, func(status int, answer []byte) {
		if out != nil && len(answer) > 0 && protocol.Decode(answer, out) != nil {
			status = noAnswer
		}
		done(status)
	})
}

// send sends the request over the network, subject to the injected faults.
func (x *exchange) send() {
	n := x.network
	for _, requestDelay := range n.RequestDelays {
		if delay, delayed := requestDelay(x.from, x.path, x.body); delayed {
			x.answerLost = true
			n.after(delay, x.arrive)
			return
		}
	}
	n.deliver(x.from, x.to, x.arrive)
	if n.DuplicateReports != nil && x.path == pathReport {
		for _, delay := range n.DuplicateReports() {
			n.after(delay, x.arriveDuplicate)
		}
	}
	if n.DuplicateRequest != nil {
		if delay := n.DuplicateRequest(x.to); delay > 0 {
			n.after(delay, x.arrive)
		}
	}
}

// arrive passes the request to the server at its destination. A host without a server does
// not answer, like one that is switched off.
func (x *exchange) arrive() {
	handler := x.network.handlers[x.to]
	if handler == nil {
		return
	}
	if x.isRefused() {
		x.answer(http.StatusServiceUnavailable, nil)
		return
	}
	handler(x.method, x.path, x.body, x.answer)
}

// arriveDuplicate passes a copy of the request to the server and discards the answer.
func (x *exchange) arriveDuplicate() {
	if handler := x.network.handlers[x.to]; handler != nil {
		handler(x.method, x.path, x.body, func(int, any) {})
	}
}

func (x *exchange) isRefused() bool { return x.network.refusals[link{x.from, x.to}] }

// answer sends the answer to the host that made the request. The answer to an open watch is delayed
// for as long as the service refuses requests from that host or has an outage.
func (x *exchange) answer(status int, answer any) {
	n := x.network
	isWatch := strings.HasPrefix(x.path, pathChanges) && status == http.StatusOK
	if isWatch && (x.isRefused() || n.outages[x.to]) {
		n.after(watchRetryDelay, func() { x.answer(status, answer) })
		return
	}
	var body []byte
	if answer != nil {
		body = protocol.Encode(answer)
	}
	n.notifyTraffic(Traffic{From: x.to, To: x.from, Method: x.method, Path: x.path, Status: status, Body: body})
	n.deliver(x.to, x.from, func() { x.receive(status, body) })
}

// receive handles the arrival of the answer at the host that made the request.
func (x *exchange) receive(status int, body []byte) {
	if x.finished || x.answerLost {
		return
	}
	if x.out != nil && len(body) > 0 {
		if err := protocol.Decode(body, x.out); err != nil {
			x.network.reportViolation(RuleAnswerDecodable, "answer of %s%s: %v", x.to, x.path, err)
		}
	}
	if x.network.OnResponse != nil {
		x.network.OnResponse(x.method, x.path, status)
	}
	x.finish(status)
}

// finish calls done, unless it has been called before.
func (x *exchange) finish(status int) {
	if x.finished {
		return
	}
	x.finished = true
	x.done(status)
}
