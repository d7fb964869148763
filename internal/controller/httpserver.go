package controller

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"curlewspool/internal/protocol"
	"curlewspool/internal/userapi"
)

const (
	cborContentType = "application/cbor"
	debugStatePath  = "/debug/state"
	eventLoopPath   = "/debug/eventloop"
	// commandTimeout bounds how long a request waits for the response of its command.
	commandTimeout = 4 * time.Second
	// retryAfterSeconds is the value of the Retry-After header in the server's own refusals.
	retryAfterSeconds = 1
	// minServerConcurrency is the number of concurrent connections that are always allowed, even if
	// the limit on sockets is low.
	minServerConcurrency = 64
)

// httpServer serves users, agents, the load balancer and operators. It turns each request into a
// command for the event loop and waits for its response.
type httpServer struct {
	loop       *eventLoop
	controller *Controller
}

// response is the answer to one request.
type response struct {
	status           int
	body             any
	retryAfter       int // value of the Retry-After header, in seconds; 0 if the response has none
	closesConnection bool
}

func errorResponse(status int, message string) response {
	return response{status: status, body: &protocol.ErrorResponse{Error: message}}
}

func retryLater(message string) response {
	r := errorResponse(http.StatusServiceUnavailable, message)
	r.retryAfter = retryAfterSeconds
	return r
}

// serve accepts connections until the listener fails.
func (s *httpServer) serve(listener net.Listener, maxSockets int) error {
	return s.newApp(maxSockets).Listener(listener)
}

// newApp creates the server with its routes.
func (s *httpServer) newApp(maxSockets int) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             2 * protocol.MaxBodyBytes, // a body above protocol.MaxBodyBytes but within this limit reaches a handler, which answers 400 with a message
		Concurrency:           max(minServerConcurrency, maxSockets*3/4),
		ReadTimeout:           30 * time.Second,
		WriteTimeout:          5 * time.Second,
		IdleTimeout:           60 * time.Second,
		ReadBufferSize:        4 << 10,
		WriteBufferSize:       4 << 10,
		ReduceMemoryUsage:     false,
		DisableDefaultDate:    true,
		ErrorHandler:          handleServerError,
	})
	app.Get("/up", s.handleHealthCheck)
	app.Post("/v1/report", s.handleReport)
	app.Post("/v2/runs", s.handleSubmit)
	app.Get("/v2/runs/:id", s.handleJobStatus)
	app.Post("/v2/runs/:id/abort", s.handleCancel)
	app.Get(debugStatePath, s.handleDebugState)
	app.Get(eventLoopPath, s.handleEventLoopState)
	return app
}

// handleServerError answers requests that reach no handler, such as those for an unknown path.
func handleServerError(ctx *fiber.Ctx, err error) error {
	status := http.StatusInternalServerError
	var serverError *fiber.Error
	if errors.As(err, &serverError) {
		status = serverError.Code
	}
	if status == http.StatusRequestEntityTooLarge {
		status = http.StatusBadRequest
	}
	return writeResponse(ctx, errorResponse(status, err.Error()))
}

func (s *httpServer) handleHealthCheck(ctx *fiber.Ctx) error {
	return s.runCommand(ctx, func(respond func(response)) {
		if !s.controller.IsHealthy() {
			respond(retryLater("not ready"))
			return
		}
		respond(response{status: http.StatusOK, body: map[string]string{"status": "up"}})
	})
}

func (s *httpServer) handleReport(ctx *fiber.Ctx) error {
	report := &protocol.Report{}
	if err := protocol.Decode(ctx.Body(), report); err != nil {
		return writeResponse(ctx, errorResponse(http.StatusBadRequest, "not a report"))
	}
	return s.runCommand(ctx, func(respond func(response)) {
		s.controller.HandleHeartbeat(report, func(status int, body any) {
			respond(response{status: status, body: body})
		})
	})
}

func (s *httpServer) handleSubmit(ctx *fiber.Ctx) error {
	// The body is copied because the server reuses the memory of a request, and the command may
	// still run after a timeout.
	body := bytes.Clone(ctx.Body())
	receivedAt := time.Now()
	return s.runCommand(ctx, func(respond func(response)) {
		s.controller.Submit(body, time.Since(receivedAt), s.userReply(respond))
	})
}

func (s *httpServer) handleJobStatus(ctx *fiber.Ctx) error {
	id := strings.Clone(ctx.Params("id"))
	return s.runCommand(ctx, func(respond func(response)) {
		s.controller.JobStatus(id, s.userReply(respond))
	})
}

func (s *httpServer) handleCancel(ctx *fiber.Ctx) error {
	id := strings.Clone(ctx.Params("id"))
	return s.runCommand(ctx, func(respond func(response)) {
		s.controller.Cancel(id, s.userReply(respond))
	})
}

func (s *httpServer) handleDebugState(ctx *fiber.Ctx) error {
	return s.runCommand(ctx, func(respond func(response)) {
		respond(response{status: http.StatusOK, body: s.controller.DebugState()})
	})
}

// handleEventLoopState answers without the event loop, so that it also answers while that is blocked.
func (s *httpServer) handleEventLoopState(ctx *fiber.Ctx) error {
	state := s.loop.monitor.state(len(s.loop.commands), time.Now())
	return writeResponse(ctx, response{status: http.StatusOK, body: state})
}

// userReply returns the function that answers a user. The load balancer does not move users'
// connections to another controller. So a controller that cannot serve users closes their
// connections, and their retries reach another one.
func (s *httpServer) userReply(respond func(response)) userapi.Reply {
	return func(status int, body any, retryAfter int) {
		respond(response{
			status:           status,
			body:             body,
			retryAfter:       retryAfter,
			closesConnection: status == http.StatusServiceUnavailable && !s.controller.IsHealthy(),
		})
	}
}

// runCommand runs a command on the event loop and waits for its response. Only the first response
// counts.
func (s *httpServer) runCommand(ctx *fiber.Ctx, command func(respond func(response))) error {
	if s.loop.isOverloaded() {
		return writeResponse(ctx, retryLater("overloaded"))
	}
	responses := make(chan response, 1)
	route := ctx.Route() // unlike ctx.Method(), its strings stay valid after the request
	s.loop.submit(requestCommand(route.Method, route.Path), func() {
		command(func(r response) {
			select {
			case responses <- r:
			default: // answered already
			}
		})
	})
	timer := time.NewTimer(commandTimeout)
	defer timer.Stop()
	select {
	case r := <-responses:
		return writeResponse(ctx, r)
	case <-timer.C:
		return writeResponse(ctx, retryLater("slow"))
	}
}

func writeResponse(ctx *fiber.Ctx, r response) error {
	if r.retryAfter > 0 {
		ctx.Set(fiber.HeaderRetryAfter, strconv.Itoa(r.retryAfter))
	}
	if r.closesConnection {
		ctx.Context().SetConnectionClose()
	}
	ctx.Set(fiber.HeaderContentType, cborContentType)
	return ctx.Status(r.status).Send(protocol.Encode(r.body))
}
