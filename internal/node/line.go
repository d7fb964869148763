package node

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"curlewspool/internal/keys"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
)

// partners is the way to and from other clusters: a listener of its own, a
// client for each partner, all bounded, so that a slow or hostile one holds
// neither the owner nor the sockets that users and workers need.
type partners struct {
	l       *Loop
	ring    *keys.Ring
	clients map[string]*fasthttp.Client
	calls   map[string]chan struct{}
	limits  map[string]*rate.Limiter
	refused rate.Sometimes // spaces lines about refused requests in the log
}

// Bounds for each partner.
const (
	linesOut = 4 // connections to one controller of it
	callsOut = 8 // requests under way
)

func openPartners(l *Loop, s *settings.Settings) (*partners, error) {
	f := s.Federation
	var peers []keys.Peer
	for _, p := range f.Partners {
		ca := p.CA
		if ca == "" {
			ca = f.CA
		}
		peers = append(peers, keys.Peer{Name: p.Name, CA: ca, Pins: p.Pins})
	}
	ring, err := keys.Open(f.Cert, f.Key, peers)
	if err != nil {
		return nil, err
	}
	p := &partners{l: l, ring: ring, clients: map[string]*fasthttp.Client{}, calls: map[string]chan struct{}{}, limits: map[string]*rate.Limiter{},
		refused: rate.Sometimes{Interval: time.Second}}
	// Some requests need the state service's word: a partner may use up an
	// eighth of what that allows, from all its controllers to this one.
	perSecond := max(4, int(s.Deployment.State.RPS/8))
	for _, o := range f.Partners {
		p.clients[o.Name] = &fasthttp.Client{
			Dial:                      func(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, 2*time.Second) },
			TLSConfig:                 ring.Client(o.Name),
			MaxIdemponentCallAttempts: 1, MaxConnsPerHost: linesOut,
			MaxIdleConnDuration: 20 * time.Second,
			// A renewed certificate is shown within a minute.
			MaxConnDuration: time.Minute,
			ReadTimeout:     5 * time.Second, WriteTimeout: 5 * time.Second, MaxResponseBodySize: 2 * wire.MaxBody,
			NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
		}
		p.calls[o.Name] = make(chan struct{}, callsOut)
		p.limits[o.Name] = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	ln, err := net.Listen("tcp4", f.Listen)
	if err != nil {
		return nil, err
	}
	open := max(16, s.Deployment.Limits.Sockets/16)
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 2 * wire.MaxBody, Concurrency: open, ReadTimeout: 10 * time.Second,
		WriteTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, DisableDefaultDate: true,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			return send(c, answer{status: 400, body: &wire.Problem{Error: err.Error()}})
		}})
	app.Post("/v1/*", p.serve)
	go func() {
		if err := app.Listener(keys.Listen(ln, ring.Server(), open)); err != nil {
			slog.Error("federation: the listener ended", "err", err)
		}
	}()
	slog.Info("federation: on", "cluster", f.Cluster, "listen", f.Listen, "partners", len(f.Partners))
	return p, nil
}

func (p *partners) serve(c *fiber.Ctx) error {
	from, err := p.ring.Who(c.Context().TLSConnectionState())
	if err != nil {
		p.refused.Do(func() { slog.Info("federation: request refused", "addr", c.Context().RemoteAddr(), "why", err) })
		c.Context().SetConnectionClose()
		return send(c, answer{status: 403, body: &wire.Problem{Error: "not a partner: " + err.Error()}})
	}
	if !p.limits[from].Allow() {
		return send(c, answer{status: 429, body: &wire.Problem{Error: "too many requests"}, retry: 1})
	}
	path, body := strings.Clone(c.Path()), bytes.Clone(c.Body())
	return p.l.do(c, func(r func(answer)) { p.l.node.PartnerAsks(from, path, body, replier(r)) })
}

// Ask makes one request to a partner's controller.
func (p *partners) Ask(partner, addr, path string, in, out any, timeout time.Duration, done func(int)) {
	client := p.clients[partner]
	if client == nil {
		p.l.After(timeout, func() { done(0) })
		return
	}
	select {
	case p.calls[partner] <- struct{}{}:
	default: // enough wait for it already
		p.l.After(timeout/2, func() { done(429) })
		return
	}
	go func() {
		status := exchange(client, "POST", "https://"+addr+path, in, timeout, func(status int, body []byte) int {
			switch {
			case status == 200 && wire.Decode(body, out) != nil:
				slog.Error("federation: answer not understood", "partner", partner, "path", path)
				return 0
			case status == 403 || status == 409:
				slog.Info("federation: refused by a partner", "partner", partner, "path", path, "status", status, "why", problem(body))
			}
			return status
		})
		<-p.calls[partner]
		p.l.queue <- func() { done(status) }
	}()
}

func problem(b []byte) string {
	var p wire.Problem
	_ = wire.Decode(b, &p)
	return p.Error
}
