package controller

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gofiber/fiber/v2"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// newTestServer creates a server with a running event loop. The cache of its controller is not
// loaded.
func newTestServer(t *testing.T) *httpServer {
	t.Helper()
	controller := New(&recordingEnvironment{}, &settings.Settings{})
	server := &httpServer{loop: newEventLoop(), controller: controller}
	go server.loop.run()
	t.Cleanup(func() { close(server.loop.commands) })
	return server
}

func TestServerAnswers(t *testing.T) {
	validReport := protocol.Encode(&protocol.Report{
		Machine:     "i-1",
		Address:     "10.0.0.1:9000",
		Type:        "small",
		Zone:        "a",
		Incarnation: 1,
		Sequence:    1,
	})
	for _, test := range []struct {
		name         string
		method, path string
		body         []byte
		status       int
		retryAfter   string
	}{
		{"healthy while the store is not known to have answered a peer", http.MethodGet, "/up", nil, 200, ""},
		{"report that cannot be decoded", http.MethodPost, "/v1/report", []byte{0xff}, 400, ""},
		{"report before the cache is loaded", http.MethodPost, "/v1/report", validReport, 503, ""},
		{"debug state", http.MethodGet, "/debug/state", nil, 200, ""},
		{"event loop state", http.MethodGet, "/debug/eventloop", nil, 200, ""},
		{"unknown path", http.MethodGet, "/v3/runs", nil, 404, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			app := newTestServer(t).newApp(100)
			checkAnswer(t, app, test.method, test.path, test.body, test.status, test.retryAfter)
		})
	}
}

// TestOverloadedServerRefuses checks that a server whose queue is more than half full refuses
// requests and says when to retry.
func TestOverloadedServerRefuses(t *testing.T) {
	server := &httpServer{loop: newEventLoop()} // nothing runs the commands
	for range maxQueuedCommands/2 + 1 {
		server.loop.submit(peerMessageCommand, func() {})
	}
	checkAnswer(t, server.newApp(100), http.MethodGet, "/up", nil, 503, "1")
}

func checkAnswer(t *testing.T, app *fiber.App, method, path string, body []byte, status int, retryAfter string) {
	t.Helper()
	answer, err := app.Test(httptest.NewRequest(method, path, bytes.NewReader(body)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != status || answer.Header.Get(fiber.HeaderRetryAfter) != retryAfter {
		t.Errorf("status %d, Retry-After %q, want %d, %q", answer.StatusCode, answer.Header.Get(fiber.HeaderRetryAfter), status, retryAfter)
	}
	if got := answer.Header.Get(fiber.HeaderContentType); got != cborContentType {
		t.Errorf("content type %q, want %q", got, cborContentType)
	}
}

// TestEventLoop checks that commands run in order and that trySubmit fills at most half of the
// queue.
func TestEventLoop(t *testing.T) {
	loop := newEventLoop()
	var ran []int
	for i := range maxQueuedCommands / 2 {
		if !loop.trySubmit(peerMessageCommand, func() { ran = append(ran, i) }) {
			t.Fatalf("trySubmit refuses command %d", i)
		}
	}
	if loop.trySubmit(peerMessageCommand, func() {}) {
		t.Error("trySubmit accepts a command when the queue is half full")
	}
	if loop.isOverloaded() {
		t.Error("a queue that is half full counts as overloaded")
	}
	close(loop.commands)
	loop.run()
	for i, number := range ran {
		if number != i {
			t.Fatalf("command %d ran instead of command %d", number, i)
		}
	}
	if len(ran) != maxQueuedCommands/2 {
		t.Errorf("%d commands ran, want %d", len(ran), maxQueuedCommands/2)
	}
}
