package node

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"curlewspool/internal/mesh"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
)

// Loop is the real world: one goroutine owns all state and runs commands from
// a queue in batches; all others only translate between the wire and
// commands.
type Loop struct {
	queue  chan func()
	start  time.Time
	rnd    *rand.Rand
	client *fasthttp.Client
	mesh   *mesh.Transport
	node   *Node
	calls  chan struct{} // bounds the requests under way
}

// waiting bounds the queue of commands; beyond half of it requests are
// refused, so that answers to what is under way still find room.
const waiting = 1024

// Run starts a controller and does not return.
func Run(s *settings.Settings) error {
	sockets := s.Deployment.Limits.Sockets
	l := &Loop{queue: make(chan func(), waiting), start: time.Now(),
		rnd: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64())), calls: make(chan struct{}, max(16, sockets/4))}
	l.client = &fasthttp.Client{
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
	ln, err := net.Listen("tcp4", s.API)
	if err != nil {
		return err
	}
	members := map[string]string{}
	for _, m := range s.Members {
		members[m.Name] = m.Address
	}
	l.node = New(l, s)
	if s.Federation != nil {
		line, err := openPartners(l, s)
		if err != nil {
			return err
		}
		l.node.Federate(line)
	}
	l.mesh, err = mesh.Listen(s.Mesh, s.Name, members, time.Duration(s.Deployment.Workers.Lease/20*float64(time.Second)),
		func(e *mesh.Envelope) { l.queue <- func() { l.node.Heard(e) } })
	if err != nil {
		return err
	}
	slog.Info("curlewspool runs", "host", s.Name, "api", s.API, "mesh", s.Mesh)
	go l.own()
	return l.serve(ln, sockets)
}

// own is the one owner's goroutine.
func (l *Loop) own() {
	l.node.Start()
	for f := range l.queue {
		f()
		for i := len(l.queue); i > 0; i-- { // the rest of the batch
			(<-l.queue)()
		}
	}
}

// Now is the steady clock, from the start of the process on.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// Wall is the time of day.
func (l *Loop) Wall() time.Time { return time.Now() }

// Rand is the owner's source of randomness.
func (l *Loop) Rand() *rand.Rand { return l.rnd }

// After runs f on the owner's goroutine, no sooner than after d.
func (l *Loop) After(d time.Duration, f func()) {
	if d <= 0 && len(l.queue) < waiting/2 {
		// Called on the owner's goroutine: there is room for sure.
		select {
		case l.queue <- f:
			return
		default:
		}
	}
	time.AfterFunc(max(d, 0), func() { l.queue <- f })
}

// Send gives a message for another controller to the mesh, which may drop it.
func (l *Loop) Send(member string, e *mesh.Envelope) { l.mesh.Send(member, e) }

// Call makes a request over HTTP; done runs on the owner's goroutine, with status 0
// if there is no answer in time.
func (l *Loop) Call(addr, method, path string, in, out any, timeout time.Duration, done func(int)) {
	select {
	case l.calls <- struct{}{}:
	default:
		// No socket to spare: it was not sent, which the caller learns as an
		// unknown outcome, after a pause.
		l.After(timeout/2, func() { done(0) })
		return
	}
	go func() {
		status := exchange(l.client, method, "http://"+addr+path, in, timeout, func(status int, body []byte) int {
			if out != nil && len(body) > 0 {
				if err := wire.Decode(body, out); err != nil {
					slog.Error("call: answer not understood", "addr", addr, "path", path, "status", status, "err", err)
					if status == 200 {
						return 0
					}
				}
			}
			return status
		})
		<-l.calls
		l.queue <- func() { done(status) }
	}()
}

// exchange makes one request with a CBOR body (in may be nil) and gives its
// status, or what read makes of it and of the answer's body, which is read's
// only while it runs; 0: there was no answer.
func exchange(client *fasthttp.Client, method, url string, in any, timeout time.Duration, read func(status int, body []byte) int) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	if in != nil {
		req.Header.SetContentType("application/cbor")
		req.SetBodyRaw(wire.Encode(in))
	}
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		slog.Debug("call failed", "url", url, "err", err)
		return 0
	}
	return read(resp.StatusCode(), resp.Body())
}

type answer struct {
	status int
	body   any
	retry  int
	last   bool // the connection is closed after it
}

// serve answers users and workers.
func (l *Loop) serve(ln net.Listener, sockets int) error {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             2 * wire.MaxBody, // what is over MaxBody gets a proper 400
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
			return send(c, answer{status: status, body: &wire.Problem{Error: err.Error()}})
		},
	})
	app.Get("/up", func(c *fiber.Ctx) error {
		return l.do(c, func(r func(answer)) {
			if l.node.Up() {
				r(answer{status: 200, body: map[string]string{"status": "up"}})
			} else {
				r(answer{status: 503, body: &wire.Problem{Error: "not ready"}, retry: 1})
			}
		})
	})
	app.Post("/v1/report", func(c *fiber.Ctx) error {
		rep := &wire.Report{}
		if err := wire.Decode(c.Body(), rep); err != nil {
			return send(c, answer{status: 400, body: &wire.Problem{Error: "not a report"}})
		}
		return l.do(c, func(r func(answer)) {
			l.node.Report(rep, func(status int, body any) { r(answer{status: status, body: body}) })
		})
	})
	app.Post("/v2/runs", func(c *fiber.Ctx) error {
		body := append([]byte(nil), c.Body()...)
		came := time.Now()
		return l.do(c, func(r func(answer)) { l.node.Submit(body, time.Since(came), l.user(r)) })
	})
	app.Get("/v2/runs/:id", func(c *fiber.Ctx) error {
		id := string(append([]byte(nil), c.Params("id")...))
		return l.do(c, func(r func(answer)) { l.node.Poll(id, l.user(r)) })
	})
	app.Post("/v2/runs/:id/abort", func(c *fiber.Ctx) error {
		id := string(append([]byte(nil), c.Params("id")...))
		return l.do(c, func(r func(answer)) { l.node.Abort(id, l.user(r)) })
	})
	app.Get("/debug/state", func(c *fiber.Ctx) error {
		return l.do(c, func(r func(answer)) { r(answer{status: 200, body: l.node.Describe()}) })
	})
	return app.Listener(ln)
}

// user is a replier for users. Their connections are not moved by the load
// balancer: one that cannot serve them closes them, so that what is tried again
// reaches another controller.
func (l *Loop) user(r func(answer)) func(int, any, int) {
	return func(status int, body any, retry int) {
		r(answer{status: status, body: body, retry: retry, last: status == fiber.StatusServiceUnavailable && !l.node.Up()})
	}
}

func replier(r func(answer)) func(int, any, int) {
	return func(status int, body any, retry int) { r(answer{status: status, body: body, retry: retry}) }
}

// do runs a command on the owner's goroutine and waits for its answer.
func (l *Loop) do(c *fiber.Ctx, f func(r func(answer))) error {
	if len(l.queue) > waiting/2 {
		return send(c, answer{status: 503, body: &wire.Problem{Error: "overloaded"}, retry: 1})
	}
	ch := make(chan answer, 1)
	l.queue <- func() {
		f(func(a answer) {
			select {
			case ch <- a:
			default: // answered already
			}
		})
	}
	t := time.NewTimer(4 * time.Second)
	defer t.Stop()
	select {
	case a := <-ch:
		return send(c, a)
	case <-t.C:
		return send(c, answer{status: 503, body: &wire.Problem{Error: "slow"}, retry: 1})
	}
}

func send(c *fiber.Ctx, a answer) error {
	if a.retry > 0 {
		c.Set("Retry-After", strconv.Itoa(a.retry))
	}
	if a.last {
		c.Context().SetConnectionClose()
	}
	c.Set("Content-Type", "application/cbor")
	return c.Status(a.status).Send(wire.Encode(a.body))
}

// Ask reads a running controller's state.
func Ask(addr string) (*State, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+"/debug/state", 5*time.Second)
	if err != nil {
		return nil, fmt.Errorf("%s does not answer: %w", addr, err)
	}
	s := &State{}
	if status != 200 || wire.Decode(body, s) != nil {
		return nil, fmt.Errorf("%s answers %d, not a controller's state", addr, status)
	}
	return s, nil
}
