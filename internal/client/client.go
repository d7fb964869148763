// Package client speaks to a cluster as its users do (PROTOCOL, "Users ->
// controller nodes"): a submission is repeated under its own id until it is
// answered, so a lost connection never makes a second job.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"curlewspool/internal/protocol"
)

// Client asks the addresses of one cluster, the next when one does not answer.
type Client struct {
	addrs []string
	next  int
	http  fasthttp.Client
	// Patience bounds the repeats of one question, Pause is the least time
	// between two of them.
	Patience, Pause time.Duration
	// Again is told why a question is repeated and for how long it may yet be; nil:
	// nobody.
	Again func(why string, left time.Duration)
}

// New makes a client of a cluster; to is one address or several with commas.
func New(to string) (*Client, error) {
	c := &Client{Patience: time.Minute, Pause: time.Second}
	for _, a := range strings.Split(to, ",") {
		if a = strings.TrimSpace(a); a == "" {
			continue
		}
		host, port, err := net.SplitHostPort(a)
		if n, bad := strconv.ParseUint(port, 10, 16); err != nil || host == "" || bad != nil || n == 0 {
			return nil, fmt.Errorf("%q is no address of a cluster: want HOST:PORT", a)
		}
		c.addrs = append(c.addrs, a)
	}
	if len(c.addrs) == 0 {
		return nil, errors.New("no address of a cluster: give --to HOST:PORT or set CURLEW_TO")
	}
	c.http.MaxIdemponentCallAttempts = 1
	return c, nil
}

// Refused is an answer that a repeat would not change.
type Refused struct {
	Status int
	Why    string
}

// Error says the status and the reason.
func (r *Refused) Error() string { return fmt.Sprintf("refused with %d: %s", r.Status, r.Why) }

// ErrNone tells that nothing is known of the job.
var ErrNone = errors.New("no such job")

// ask repeats a request until it is answered for good: every status but 200,
// 201, 400, 404 and 422 is asked again, after Retry-After if that is longer.
func (c *Client) ask(ctx context.Context, method, path string, in any) (*protocol.JobState, error) {
	end := time.Now().Add(c.Patience)
	for {
		wait := c.Pause + time.Duration(rand.Int64N(int64(c.Pause)/4+1))
		status, body, retry := c.once(method, path, in)
		var p protocol.ErrorResponse
		var last string
		switch status {
		case 200, 201:
			s := &protocol.JobState{}
			if err := protocol.Decode(body, s); err != nil {
				return nil, fmt.Errorf("answer not understood: %w", err)
			}
			return s, nil
		case 404:
			return nil, ErrNone
		case 400, 422:
			_ = protocol.Decode(body, &p)
			return nil, &Refused{status, p.Error}
		case 0:
			last = "no answer from " + c.addrs[c.next%len(c.addrs)]
			c.next++
		default:
			_ = protocol.Decode(body, &p)
			last = fmt.Sprintf("%d %s", status, p.Error)
			wait = max(wait, min(retry, 30*time.Second))
		}
		if time.Now().Add(wait).After(end) {
			return nil, fmt.Errorf("given up after %v: %s", c.Patience, last)
		}
		if c.Again != nil {
			c.Again(last, time.Until(end))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
}

func (c *Client) once(method, path string, in any) (status int, body []byte, retry time.Duration) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.addrs[c.next%len(c.addrs)] + path)
	req.Header.SetMethod(method)
	if in != nil {
		req.Header.SetContentType("application/cbor")
		req.SetBodyRaw(protocol.Encode(in))
	}
	if err := c.http.DoTimeout(req, resp, 5*time.Second); err != nil {
		return 0, nil, 0
	}
	if s, err := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); err == nil {
		retry = time.Duration(s) * time.Second
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), retry
}

// Submit hands a job over. After a lost answer it is repeated under the same
// id, which the cluster takes as the same job.
func (c *Client) Submit(ctx context.Context, s *protocol.Submission) (*protocol.JobState, error) {
	return c.ask(ctx, "POST", "/v2/runs", s)
}

// Status asks for a job's state.
func (c *Client) Status(ctx context.Context, id string) (*protocol.JobState, error) {
	return c.ask(ctx, "GET", "/v2/runs/"+id, nil)
}

// Abort cancels a job; the answer says whether it was done before.
func (c *Client) Abort(ctx context.Context, id string) (*protocol.JobState, error) {
	return c.ask(ctx, "POST", "/v2/runs/"+id+"/abort", nil)
}

// Over tells whether a state is final.
func Over(s *protocol.JobState) bool {
	return s.Status.IsFinal()
}

// Wait polls until the job is over; each state that differs from the one
// before is given to changed.
func (c *Client) Wait(ctx context.Context, id string, changed func(*protocol.JobState)) (*protocol.JobState, error) {
	last := ""
	for {
		s, err := c.Status(ctx, id)
		if err != nil {
			return nil, err
		}
		if now := Line(s); now != last {
			last = now
			if changed != nil {
				changed(s)
			}
		}
		if Over(s) {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(c.Pause):
		}
	}
}

// Line is a job's state for people.
func Line(s *protocol.JobState) string {
	line := s.ID + " " + string(s.Status)
	if s.Done != nil && s.Running != nil && !Over(s) {
		line += fmt.Sprintf(" (%d done, %d running)", *s.Done, *s.Running)
	}
	if len(s.PendingDependencies) > 0 {
		line += "; waits for " + strings.Join(s.PendingDependencies, ", ")
	}
	if s.CancelledBy != "" {
		line += " with " + s.CancelledBy + ", which it needs"
	}
	for _, e := range s.Remote {
		line += fmt.Sprintf("; %d tasks from %d on are at %s: %s", e.Tasks, e.FirstTask, e.Cluster, e.Reason)
	}
	return line
}
