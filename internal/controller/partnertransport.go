package controller

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"curlewspool/internal/env"
	"curlewspool/internal/pki"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// Limits for each partner.
const (
	maxPartnerConnections = 4 // connections to each controller of the partner
	maxPartnerCalls       = 8 // requests in flight to the partner
	minPartnerRequestRate = 4 // requests per second that are accepted from the partner even if the store's rate limit is low
)

// minPartnerListenerConnections is the number of open connections that the partners' listener
// always allows, even if the limit on sockets is low. All partners share this number.
const minPartnerListenerConnections = 16

// partnerTransport sends requests to partner clusters and receives theirs, over mutual TLS. It has
// its own listener and a client for each partner. The listener and the clients are limited, so that
// a slow or hostile partner cannot block the event loop or use up the sockets that users and agents
// need.
type partnerTransport struct {
	server          *httpServer
	environment     *processEnvironment
	keyring         *pki.Store
	links           map[string]*partnerLink // by partner
	refusalLogLimit rate.Sometimes          // limits the log lines about refused requests
}

// partnerLink holds the client and the limits of one partner.
type partnerLink struct {
	client    *fasthttp.Client
	callSlots chan struct{} // one entry for each request in flight
	limiter   *rate.Limiter // limits the rate of requests from the partner
}

// openPartnerTransport loads the certificates, creates a client for each partner and starts the
// partners' listener.
func openPartnerTransport(server *httpServer, environment *processEnvironment, cfg *settings.Settings) (*partnerTransport, error) {
	f := cfg.Federation
	keyring, err := pki.Open(f.Cert, f.Key, partnerIdentities(f))
	if err != nil {
		return nil, err
	}
	transport := &partnerTransport{
		server:          server,
		environment:     environment,
		keyring:         keyring,
		links:           map[string]*partnerLink{},
		refusalLogLimit: rate.Sometimes{Interval: time.Second},
	}
	// Some requests of partners cause a request to the key-value store. So their rate is limited:
	// all controllers of one partner together may send this controller requests at up to an eighth
	// of the store's rate limit.
	requestRate := max(minPartnerRequestRate, int(cfg.Deployment.State.RPS/8))
	for _, partner := range f.Partners {
		transport.links[partner.Name] = newPartnerLink(keyring, partner.Name, requestRate)
	}
	listener, err := net.Listen("tcp4", f.Listen)
	if err != nil {
		return nil, err
	}
	go transport.serve(listener, max(minPartnerListenerConnections, cfg.Deployment.Limits.Sockets/16))
	slog.Info("federation: enabled", "cluster", f.Cluster, "listen", f.Listen, "partners", len(f.Partners))
	return transport, nil
}

// partnerIdentities lists the CA and the pinned certificates that identify each partner.
func partnerIdentities(f *settings.Federation) []pki.Partner {
	var partners []pki.Partner
	for _, partner := range f.Partners {
		ca := partner.CA
		if ca == "" {
			ca = f.CA
		}
		partners = append(partners, pki.Partner{Name: partner.Name, CA: ca, Pins: partner.Pins})
	}
	return partners
}

func newPartnerLink(keyring *pki.Store, partner string, requestRate int) *partnerLink {
	client := &fasthttp.Client{
		Dial:                      dialTCP,
		TLSConfig:                 keyring.ClientConfig(partner),
		MaxIdemponentCallAttempts: 1,
		MaxConnsPerHost:           maxPartnerConnections,
		MaxIdleConnDuration:       20 * time.Second,
		MaxConnDuration:           time.Minute, // a renewed certificate is in use after at most this time
		ReadTimeout:               5 * time.Second,
		WriteTimeout:              5 * time.Second,
		MaxResponseBodySize:       2 * protocol.MaxBodyBytes,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
	return &partnerLink{
		client:    client,
		callSlots: make(chan struct{}, maxPartnerCalls),
		limiter:   rate.NewLimiter(rate.Limit(requestRate), requestRate),
	}
}

// serve handles the partners' connections until the listener fails.
func (t *partnerTransport) serve(listener net.Listener, maxConnections int) {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             2 * protocol.MaxBodyBytes,
		Concurrency:           maxConnections,
		ReadTimeout:           10 * time.Second,
		WriteTimeout:          5 * time.Second,
		IdleTimeout:           30 * time.Second,
		DisableDefaultDate:    true,
		ErrorHandler: func(ctx *fiber.Ctx, err error) error {
			return writeResponse(ctx, errorResponse(http.StatusBadRequest, err.Error()))
		},
	})
	app.Post("/v1/*", t.handleRequest)
	if err := app.Listener(pki.Listen(listener, t.keyring.ServerConfig(), maxConnections)); err != nil {
		slog.Error("federation: listener failed", "error", err)
	}
}

func (t *partnerTransport) handleRequest(ctx *fiber.Ctx) error {
	partner, err := t.keyring.Identify(ctx.Context().TLSConnectionState())
	if err != nil {
		t.refusalLogLimit.Do(func() {
			slog.Info("federation: request refused", "address", ctx.Context().RemoteAddr(), "error", err)
		})
		ctx.Context().SetConnectionClose()
		return writeResponse(ctx, errorResponse(http.StatusForbidden, "not a partner: "+err.Error()))
	}
	if !t.links[partner].limiter.Allow() {
		refusal := errorResponse(http.StatusTooManyRequests, "too many requests")
		refusal.retryAfter = retryAfterSeconds
		return writeResponse(ctx, refusal)
	}
	// The path and the body are copied because the server reuses the memory of a request, and the
	// command may still run after a timeout.
	path, body := strings.Clone(ctx.Path()), bytes.Clone(ctx.Body())
	return t.server.runCommand(ctx, func(respond func(response)) {
		t.server.controller.HandlePartnerRequest(partner, path, body, func(status int, body any, retryAfter int) {
			respond(response{status: status, body: body, retryAfter: retryAfter})
		})
	})
}

// CallPartner sends one request to a partner's controller. done runs on the event loop and receives
// the HTTP status, env.NoAnswer if there was no answer in time, or 429 if too many requests to the
// partner were already in flight.
func (t *partnerTransport) CallPartner(partner, address, path string, in, out any, timeout time.Duration, done func(status int)) {
	link := t.links[partner]
	if link == nil {
		t.environment.After(timeout, func() { done(env.NoAnswer) })
		return
	}
	select {
	case link.callSlots <- struct{}{}:
	default:
		t.environment.After(timeout/2, func() { done(http.StatusTooManyRequests) })
		return
	}
	request := outgoingRequest{method: http.MethodPost, url: "https://" + address + path, body: in, timeout: timeout}
	go func() {
		status := request.do(link.client, func(status int, body []byte) int {
			return decodePartnerAnswer(partner, path, status, body, out)
		})
		<-link.callSlots
		t.environment.loop.submit(partnerAnswerCommand, func() { done(status) })
	}()
}

// decodePartnerAnswer decodes the body of a successful answer into out. It returns the status, or
// env.NoAnswer if the answer was successful but its body cannot be decoded.
func decodePartnerAnswer(partner, path string, status int, body []byte, out any) int {
	switch status {
	case http.StatusOK:
		if err := protocol.Decode(body, out); err != nil {
			slog.Error("federation: invalid answer", "partner", partner, "path", path, "error", err)
			return env.NoAnswer
		}
	case http.StatusForbidden, http.StatusConflict:
		slog.Info("federation: refused by partner", "partner", partner, "path", path, "status", status, "error", errorText(body))
	}
	return status
}

// errorText returns the error message in the body of an answer, or "" if there is none.
func errorText(body []byte) string {
	var failure protocol.ErrorResponse
	_ = protocol.Decode(body, &failure) // a body that cannot be decoded has no message
	return failure.Error
}
