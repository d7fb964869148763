package controller

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// Loop is the real world: one goroutine owns all state and runs commands from
// a queue in batches; all others only translate between the wire and
// commands.
type Loop struct {
	commands   chan func()
	startedAt  time.Time
	random     *rand.Rand
	client     *fasthttp.Client
	transport  *peermsg.Transport
	controller *Controller
	callSlots  chan struct{} // bounds the requests under way
}

// maxQueuedCommands bounds the queue of commands; beyond half of it requests are
// refused, so that answers to what is under way still find room.
const maxQueuedCommands = 1024

// Run starts a controller and does not return.
func Run(cfg *settings.Settings) error {
	sockets := cfg.Deployment.Limits.Sockets
	loop := &Loop{commands: make(chan func(), maxQueuedCommands), startedAt: time.Now(),
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64())), callSlots: make(chan struct{}, max(16, sockets/4))}
	loop.client = &fasthttp.Client{
		Dial: func(addr string) (net.Conn, error) {
			return net.DialTimeout("tcp4", addr, 2*time.Second)
		},
		// A request is never sent twice behind our back: the second copy of
		// an order or a transaction could be executed late.
		MaxIdemponentCallAttempts:     1,
		MaxConnsPerHost:               32,
		MaxIdleConnDuration:           20 * time.Second,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		ReadBufferSize:                8 << 10,
		WriteBufferSize:               4 << 10,
		DisableHeaderNamesNormalizing: true,
	}
	listener, err := net.Listen("tcp4", cfg.API)
	if err != nil {
		return err
	}
	members := map[string]string{}
	for _, m := range cfg.Members {
		members[m.Name] = m.Address
	}
	loop.controller = New(loop, cfg)
	if cfg.Federation != nil {
		partners, err := openPartnerTransport(loop, cfg)
		if err != nil {
			return err
		}
		loop.controller.EnableFederation(partners)
	}
	loop.transport, err = peermsg.Listen(cfg.Mesh, cfg.Name, members, time.Duration(cfg.Deployment.Workers.Lease/20*float64(time.Second)),
		func(e *peermsg.Envelope) { loop.commands <- func() { loop.controller.HandlePeerMessage(e) } })
	if err != nil {
		return err
	}
	slog.Info("curlewspool runs", "host", cfg.Name, "api", cfg.API, "mesh", cfg.Mesh)
	go loop.runCommands()
	return loop.serve(listener, sockets)
}

// runCommands is the one owner's goroutine.
func (l *Loop) runCommands() {
	l.controller.Start()
	for command := range l.commands {
		command()
		for i := len(l.commands); i > 0; i-- { // the rest of the batch
			(<-l.commands)()
		}
	}
}

// Now is the steady clock, from the start of the process on.
func (l *Loop) Now() time.Duration { return time.Since(l.startedAt) }

// Wall is the time of day.
func (l *Loop) Wall() time.Time { return time.Now() }

// Rand is the owner's source of randomness.
func (l *Loop) Rand() *rand.Rand { return l.random }

// After runs f on the owner's goroutine, no sooner than after d.
func (l *Loop) After(d time.Duration, f func()) {
	if d <= 0 && len(l.commands) < maxQueuedCommands/2 {
		// Called on the owner's goroutine: there is room for sure.
		select {
		case l.commands <- f:
			return
		default:
		}
	}
	time.AfterFunc(max(d, 0), func() { l.commands <- f })
}

// Send gives a message for another controller to the mesh, which may drop it.
func (l *Loop) Send(member string, e *peermsg.Envelope) { l.transport.Send(member, e) }

// Call makes a request over HTTP; done runs on the owner's goroutine, with status 0
// if there is no answer in time.
func (l *Loop) Call(address, method, path string, in, out any, timeout time.Duration, done func(int)) {
	select {
	case l.callSlots <- struct{}{}:
	default:
		// No socket to spare: it was not sent, which the caller learns as an
		// unknown outcome, after a pause.
		l.After(timeout/2, func() { done(0) })
		return
	}
	go func() {
		status := doRequest(l.client, method, "http://"+address+path, in, timeout, func(status int, body []byte) int {
			if out != nil && len(body) > 0 {
				if err := protocol.Decode(body, out); err != nil {
					slog.Error("call: answer not understood", "addr", address, "path", path, "status", status, "err", err)
					if status == 200 {
						return 0
					}
				}
			}
			return status
		})
		<-l.callSlots
		l.commands <- func() { done(status) }
	}()
}

// doRequest makes one request with a CBOR body (in may be nil) and gives its
// status, or what read makes of it and of the answer's body, which is read's
// only while it runs; 0: there was no answer.
func doRequest(client *fasthttp.Client, method, url string, in any, timeout time.Duration, read func(status int, body []byte) int) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	if in != nil {
		req.Header.SetContentType("application/cbor")
		req.SetBodyRaw(protocol.Encode(in))
	}
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		slog.Debug("call failed", "url", url, "err", err)
		return 0
	}
	return read(resp.StatusCode(), resp.Body())
}

type response struct {
	status           int
	body             any
	retryAfter       int
	closesConnection bool // the connection is closed after it
}

// serve answers users and workers.
func (l *Loop) serve(ln net.Listener, sockets int) error {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             2 * protocol.MaxBodyBytes, // what is over MaxBody gets a proper 400
		Concurrency:           max(64, sockets*3/4),
		ReadTimeout:           30 * time.Second,
		WriteTimeout:          5 * time.Second,
		IdleTimeout:           60 * time.Second,
		ReadBufferSize:        4 << 10,
		WriteBufferSize:       4 << 10,
		ReduceMemoryUsage:     false,
		DisableDefaultDate:    true,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			status := fiber.StatusInternalServerError
			if e, ok := err.(*fiber.Error); ok {
				status = e.Code
			}
			if status == fiber.StatusRequestEntityTooLarge {
				status = fiber.StatusBadRequest
			}
			return writeResponse(c, response{status: status, body: &protocol.ErrorResponse{Error: err.Error()}})
		},
	})
	app.Get("/up", func(c *fiber.Ctx) error {
		return l.runCommand(c, func(r func(response)) {
			if l.controller.IsHealthy() {
				r(response{status: 200, body: map[string]string{"status": "up"}})
			} else {
				r(response{status: 503, body: &protocol.ErrorResponse{Error: "not ready"}, retryAfter: 1})
			}
		})
	})
	app.Post("/v1/report", func(c *fiber.Ctx) error {
		rep := &protocol.Report{}
		if err := protocol.Decode(c.Body(), rep); err != nil {
			return writeResponse(c, response{status: 400, body: &protocol.ErrorResponse{Error: "not a report"}})
		}
		return l.runCommand(c, func(r func(response)) {
			l.controller.HandleHeartbeat(rep, func(status int, body any) { r(response{status: status, body: body}) })
		})
	})
	app.Post("/v2/runs", func(c *fiber.Ctx) error {
		body := append([]byte(nil), c.Body()...)
		came := time.Now()
		return l.runCommand(c, func(r func(response)) { l.controller.Submit(body, time.Since(came), l.userReplier(r)) })
	})
	app.Get("/v2/runs/:id", func(c *fiber.Ctx) error {
		id := string(append([]byte(nil), c.Params("id")...))
		return l.runCommand(c, func(r func(response)) { l.controller.Poll(id, l.userReplier(r)) })
	})
	app.Post("/v2/runs/:id/abort", func(c *fiber.Ctx) error {
		id := string(append([]byte(nil), c.Params("id")...))
		return l.runCommand(c, func(r func(response)) { l.controller.Cancel(id, l.userReplier(r)) })
	})
	app.Get("/debug/state", func(c *fiber.Ctx) error {
		return l.runCommand(c, func(r func(response)) { r(response{status: 200, body: l.controller.DebugState()}) })
	})
	return app.Listener(ln)
}

// userReplier is a replier for users. Their connections are not moved by the load
// balancer: one that cannot serve them closes them, so that what is tried again
// reaches another controller.
func (l *Loop) userReplier(r func(response)) func(int, any, int) {
	return func(status int, body any, retry int) {
		r(response{status: status, body: body, retryAfter: retry, closesConnection: status == fiber.StatusServiceUnavailable && !l.controller.IsHealthy()})
	}
}

func replier(r func(response)) func(int, any, int) {
	return func(status int, body any, retry int) { r(response{status: status, body: body, retryAfter: retry}) }
}

// runCommand runs a command on the owner's goroutine and waits for its answer.
func (l *Loop) runCommand(c *fiber.Ctx, f func(r func(response))) error {
	if len(l.commands) > maxQueuedCommands/2 {
		return writeResponse(c, response{status: 503, body: &protocol.ErrorResponse{Error: "overloaded"}, retryAfter: 1})
	}
	responses := make(chan response, 1)
	l.commands <- func() {
		f(func(a response) {
			select {
			case responses <- a:
			default: // answered already
			}
		})
	}
	t := time.NewTimer(4 * time.Second)
	defer t.Stop()
	select {
	case a := <-responses:
		return writeResponse(c, a)
	case <-t.C:
		return writeResponse(c, response{status: 503, body: &protocol.ErrorResponse{Error: "slow"}, retryAfter: 1})
	}
}

func writeResponse(c *fiber.Ctx, r response) error {
	if r.retryAfter > 0 {
		c.Set("Retry-After", strconv.Itoa(r.retryAfter))
	}
	if r.closesConnection {
		c.Context().SetConnectionClose()
	}
	c.Set("Content-Type", "application/cbor")
	return c.Status(r.status).Send(protocol.Encode(r.body))
}

// FetchState reads a running controller's state.
func FetchState(address string) (*State, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/debug/state", 5*time.Second)
	if err != nil {
		return nil, fmt.Errorf("%s does not answer: %w", address, err)
	}
	state := &State{}
	if status != 200 || protocol.Decode(body, state) != nil {
		return nil, fmt.Errorf("%s answers %d, not a controller's state", address, status)
	}
	return state, nil
}
