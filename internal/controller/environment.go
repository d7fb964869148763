package controller

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"curlewspool/internal/env"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
)

const (
	// dialTimeout bounds the set-up of one TCP connection.
	dialTimeout = 2 * time.Second
	// minConcurrentCalls is the number of outgoing requests that may always be in flight,
	// even if the limit on sockets is low.
	minConcurrentCalls = 16
)

// processEnvironment is the env.Environment of a real process: system clocks, HTTP
// requests and the transport between controllers. Every callback runs on the goroutine of the
// event loop.
type processEnvironment struct {
	loop      *eventLoop
	startedAt time.Time
	random    *rand.Rand // may be used on the event loop's goroutine only
	client    *fasthttp.Client
	transport *peermsg.Transport // set before the loop runs
	callSlots chan struct{}      // holds one entry for each request in flight
}

func newProcessEnvironment(loop *eventLoop, maxSockets int) *processEnvironment {
	return &processEnvironment{
		loop:      loop,
		startedAt: time.Now(),
		random:    rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64())),
		client:    newServiceClient(),
		callSlots: make(chan struct{}, max(minConcurrentCalls, maxSockets/4)),
	}
}

// newServiceClient creates the HTTP client for agents and for the platform's services.
func newServiceClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial: dialTCP,
		// The client must not retry by itself: the second copy of a command batch or of a
		// transaction could be executed late.
		MaxIdemponentCallAttempts:     1,
		MaxConnsPerHost:               32,
		MaxIdleConnDuration:           20 * time.Second,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		ReadBufferSize:                8 << 10,
		WriteBufferSize:               4 << 10,
		DisableHeaderNamesNormalizing: true,
	}
}

func dialTCP(address string) (net.Conn, error) {
	return net.DialTimeout("tcp4", address, dialTimeout)
}

// Now returns the monotonic time since the start of the process.
func (e *processEnvironment) Now() time.Duration { return time.Since(e.startedAt) }

// Wall returns the time of day.
func (e *processEnvironment) Wall() time.Time { return time.Now() }

// Rand returns the source of randomness, which only the event loop's goroutine may use.
func (e *processEnvironment) Rand() *rand.Rand { return e.random }

// After runs f on the event loop's goroutine, no earlier than after delay.
func (e *processEnvironment) After(delay time.Duration, f func()) {
	// If the queue is too full for trySubmit, a timer submits f from another goroutine even without
	// a delay. After is called on the event loop's goroutine, which must not block on its own
	// queue.
	kind := timerCommand(f)
	if delay <= 0 && e.loop.trySubmit(kind, f) {
		return
	}
	time.AfterFunc(max(delay, 0), func() { e.loop.submit(kind, f) })
}

// Send adds a message for another controller to the transport's queue. The transport may drop the
// message.
func (e *processEnvironment) Send(member string, envelope *peermsg.Envelope) {
	e.transport.Send(member, envelope)
}

// Call sends a request over HTTP. It runs done on the event loop's goroutine, with
// env.NoAnswer if there is no answer in time.
func (e *processEnvironment) Call(address, method, path string, in, out any, timeout time.Duration, done func(status int)) {
	select {
	case e.callSlots <- struct{}{}:
	default:
		// All call slots are in use, so the request is not sent. As if the request had timed out,
		// done receives env.NoAnswer after a delay.
		e.After(timeout/2, func() { done(env.NoAnswer) })
		return
	}
	request := outgoingRequest{method: method, url: "http://" + address + path, body: in, timeout: timeout}
	go func() {
		status := request.do(e.client, func(status int, body []byte) int {
			return decodeAnswer(address, path, status, body, out)
		})
		<-e.callSlots
		e.loop.submit(answerCommand(method, path), func() { done(status) })
	}()
}

// decodeAnswer decodes the body of an answer into out and returns the status. It decodes nothing if
// the body is empty or out is nil. If the body of a successful answer cannot be decoded, it returns
// env.NoAnswer, because the outcome of the request is then unknown.
func decodeAnswer(address, path string, status int, body []byte, out any) int {
	if out == nil || len(body) == 0 {
		return status
	}
	err := protocol.Decode(body, out)
	if err == nil {
		return status
	}
	slog.Error("controller: invalid answer", "address", address, "path", path, "status", status, "error", err)
	if status == http.StatusOK {
		return env.NoAnswer
	}
	return status
}

// outgoingRequest is one HTTP request with a CBOR body.
type outgoingRequest struct {
	method  string
	url     string
	body    any // nil if the request has no body
	timeout time.Duration
}

// do sends the request once. It returns the result of read, which gets the status and the body of
// the answer, or env.NoAnswer if there is no answer. The body is valid only while read runs.
func (r *outgoingRequest) do(client *fasthttp.Client, read func(status int, body []byte) int) int {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI(r.url)
	request.Header.SetMethod(r.method)
	if r.body != nil {
		request.Header.SetContentType(cborContentType)
		request.SetBodyRaw(protocol.Encode(r.body))
	}
	if err := client.DoTimeout(request, answer, r.timeout); err != nil {
		slog.Debug("controller: request failed", "url", r.url, "error", err)
		return env.NoAnswer
	}
	return read(answer.StatusCode(), answer.Body())
}
