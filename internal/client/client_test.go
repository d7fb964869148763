package client

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"curlewspool/internal/protocol"
)

// scriptedServer answers by a script, one entry for each request: "cut" takes the
// request and closes the connection without an answer.
type scriptedServer struct {
	mu       sync.Mutex
	script   []string
	requests []string // method, path and job id
}

func (s *scriptedServer) handle(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sub struct {
		ID string `cbor:"id"`
	}
	_ = protocol.Decode(c.PostBody(), &sub)
	s.requests = append(s.requests, string(c.Method())+" "+string(c.Path())+" "+sub.ID)
	do := "cut"
	if len(s.script) > 0 {
		do, s.script = s.script[0], s.script[1:]
	}
	state := func(status int, word protocol.JobStatus) {
		c.SetStatusCode(status)
		c.SetBody(protocol.Encode(&protocol.JobState{ID: "wk-1", Status: word}))
	}
	switch do {
	case "cut":
		c.HijackSetNoResponse(true)
		c.Hijack(func(n net.Conn) { _ = n.Close() })
	case "busy":
		c.Response.Header.Set("Retry-After", "1")
		c.SetStatusCode(503)
		c.SetBody(protocol.Encode(&protocol.ErrorResponse{Error: "state service slow"}))
	case "never":
		c.SetStatusCode(422)
		c.SetBody(protocol.Encode(&protocol.ErrorResponse{Error: "unknown team"}))
	case "none":
		c.SetStatusCode(404)
	case "accepted":
		state(201, protocol.JobPending)
	default:
		state(200, protocol.JobStatus(do))
	}
}

// startServer starts a scripted server and a client of it.
func startServer(t *testing.T, script ...string) (*scriptedServer, *Client) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{script: script}
	f := &fasthttp.Server{Handler: s.handle}
	go func() { _ = f.Serve(ln) }()
	t.Cleanup(func() { _ = f.Shutdown() })
	c, err := New(" " + ln.Addr().String() + ", ")
	if err != nil {
		t.Fatal(err)
	}
	c.RetryInterval, c.Patience = 5*time.Millisecond, 4*time.Second
	return s, c
}

// TestSubmitRetries checks that a submission whose answer is lost is retried under its
// own id, after the delay that the cluster asks for, and that what a retry would not
// change is not.
func TestSubmitRetries(t *testing.T) {
	id := "wk-1"
	for _, c := range []struct {
		script []string
		tries  int
		want   string
	}{
		{[]string{"accepted"}, 1, "pending"},
		{[]string{"cut", "cut", "running"}, 3, "running"},
		{[]string{"busy", "accepted"}, 2, "pending"},
		{[]string{"never", "accepted"}, 1, "refused with 422: unknown team"},
	} {
		t.Run(strings.Join(c.script, " "), func(t *testing.T) {
			s, cl := startServer(t, c.script...)
			began := time.Now()
			st, err := cl.Submit(context.Background(), &protocol.Submission{ID: &id})
			got := ""
			var refused *RefusedError
			switch {
			case err == nil:
				got = string(st.Status)
			case errors.As(err, &refused):
				got = err.Error()
			default:
				t.Errorf("%v: %v", c.script, err)
			}
			if got != c.want || len(s.requests) != c.tries {
				t.Errorf("%v: %q after %d tries, want %q after %d", c.script, got, len(s.requests), c.want, c.tries)
			}
			for _, x := range s.requests {
				if x != "POST /v2/runs wk-1" {
					t.Errorf("%v: asked %q", c.script, x)
				}
			}
			if c.script[0] == "busy" && time.Since(began) < time.Second {
				t.Error("asked again before Retry-After")
			}
		})
	}
}

// TestWaitUntilFinal checks that Wait ends with a final state only and reports each
// change once.
func TestWaitUntilFinal(t *testing.T) {
	_, cl := startServer(t, "pending", "cut", "pending", "running", "busy", "running", "done")
	said := ""
	st, err := cl.Wait(context.Background(), "wk-1", func(s *protocol.JobState) { said += string(s.Status) + " " })
	if err != nil || st.Status != protocol.JobDone || said != "pending running done " {
		t.Errorf("%+v %v, reported %q", st, err, said)
	}
	_, cl = startServer(t, "none")
	if _, err := cl.Status(context.Background(), "wk-2"); !errors.Is(err, ErrNoSuchJob) {
		t.Errorf("a job that is not there: %v", err)
	}
}

// TestGivesUp checks that a cluster that never answers is given up after the client's
// patience.
func TestGivesUp(t *testing.T) {
	_, cl := startServer(t)
	cl.Patience = 50 * time.Millisecond
	if _, err := cl.Status(context.Background(), "wk-1"); err == nil || !strings.Contains(err.Error(), "given up after 50ms") {
		t.Errorf("%v", err)
	}
	if _, err := New(" , "); err == nil {
		t.Error("a client without an address")
	}
}
