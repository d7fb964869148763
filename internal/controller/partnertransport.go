package controller

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"curlewspool/internal/pki"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// partnerTransport is the way to and from other clusters: a listener of its own, a
// client for each partner, all bounded, so that a slow or hostile one holds
// neither the owner nor the sockets that users and workers need.
type partnerTransport struct {
	loop            *Loop
	keyring         *pki.Store
	clients         map[string]*fasthttp.Client
	callSlots       map[string]chan struct{}
	rateLimiters    map[string]*rate.Limiter
	refusalLogLimit rate.Sometimes // spaces lines about refused requests in the log
}

// Bounds for each partner.
const (
	maxPartnerConnections = 4 // connections to one controller of it
	maxPartnerCalls       = 8 // requests under way
)

func openPartnerTransport(loop *Loop, cfg *settings.Settings) (*partnerTransport, error) {
	f := cfg.Federation
	var peers []pki.Partner
	for _, transport := range f.Partners {
		ca := transport.CA
		if ca == "" {
			ca = f.CA
		}
		peers = append(peers, pki.Partner{Name: transport.Name, CA: ca, Pins: transport.Pins})
	}
	ring, err := pki.Open(f.Cert, f.Key, peers)
	if err != nil {
		return nil, err
	}
	transport := &partnerTransport{loop: loop, keyring: ring, clients: map[string]*fasthttp.Client{}, callSlots: map[string]chan struct{}{}, rateLimiters: map[string]*rate.Limiter{},
		refusalLogLimit: rate.Sometimes{Interval: time.Second}}
	// Some requests need the state service's word: a partner may use up an
	// eighth of what that allows, from all its controllers to this one.
	perSecond := max(4, int(cfg.Deployment.State.RPS/8))
	for _, partner := range f.Partners {
		transport.clients[partner.Name] = &fasthttp.Client{
			Dial:                      func(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, 2*time.Second) },
			TLSConfig:                 ring.ClientConfig(partner.Name),
			MaxIdemponentCallAttempts: 1, MaxConnsPerHost: maxPartnerConnections,
			MaxIdleConnDuration: 20 * time.Second,
			// A renewed certificate is shown within a minute.
			MaxConnDuration: time.Minute,
			ReadTimeout:     5 * time.Second, WriteTimeout: 5 * time.Second, MaxResponseBodySize: 2 * protocol.MaxBodyBytes,
			NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
		}
		transport.callSlots[partner.Name] = make(chan struct{}, maxPartnerCalls)
		transport.rateLimiters[partner.Name] = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	listener, err := net.Listen("tcp4", f.Listen)
	if err != nil {
		return nil, err
	}
	maxOpen := max(16, cfg.Deployment.Limits.Sockets/16)
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 2 * protocol.MaxBodyBytes, Concurrency: maxOpen, ReadTimeout: 10 * time.Second,
		WriteTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, DisableDefaultDate: true,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			return writeResponse(c, response{status: 400, body: &protocol.ErrorResponse{Error: err.Error()}})
		}})
	app.Post("/v1/*", transport.handleRequest)
	go func() {
		if err := app.Listener(pki.Listen(listener, ring.ServerConfig(), maxOpen)); err != nil {
			slog.Error("federation: the listener ended", "err", err)
		}
	}()
	slog.Info("federation: on", "cluster", f.Cluster, "listen", f.Listen, "partners", len(f.Partners))
	return transport, nil
}

func (t *partnerTransport) handleRequest(c *fiber.Ctx) error {
	from, err := t.keyring.Identify(c.Context().TLSConnectionState())
	if err != nil {
		t.refusalLogLimit.Do(func() { slog.Info("federation: request refused", "addr", c.Context().RemoteAddr(), "why", err) })
		c.Context().SetConnectionClose()
		return writeResponse(c, response{status: 403, body: &protocol.ErrorResponse{Error: "not a partner: " + err.Error()}})
	}
	if !t.rateLimiters[from].Allow() {
		return writeResponse(c, response{status: 429, body: &protocol.ErrorResponse{Error: "too many requests"}, retryAfter: 1})
	}
	path, body := strings.Clone(c.Path()), bytes.Clone(c.Body())
	return t.loop.runCommand(c, func(r func(response)) { t.loop.controller.HandlePartnerRequest(from, path, body, replier(r)) })
}

// CallPartner makes one request to a partner's controller.
func (t *partnerTransport) CallPartner(partner, address, path string, in, out any, timeout time.Duration, done func(int)) {
	client := t.clients[partner]
	if client == nil {
		t.loop.After(timeout, func() { done(0) })
		return
	}
	select {
	case t.callSlots[partner] <- struct{}{}:
	default: // enough wait for it already
		t.loop.After(timeout/2, func() { done(429) })
		return
	}
	go func() {
		status := doRequest(client, "POST", "https://"+address+path, in, timeout, func(status int, body []byte) int {
			switch {
			case status == 200 && protocol.Decode(body, out) != nil:
				slog.Error("federation: answer not understood", "partner", partner, "path", path)
				return 0
			case status == 403 || status == 409:
				slog.Info("federation: refused by a partner", "partner", partner, "path", path, "status", status, "why", problemText(body))
			}
			return status
		})
		<-t.callSlots[partner]
		t.loop.commands <- func() { done(status) }
	}()
}

func problemText(body []byte) string {
	var p protocol.ErrorResponse
	_ = protocol.Decode(body, &p)
	return p.Error
}
