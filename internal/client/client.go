// Package client sends requests to the user API of a cluster, which the section "Users -> controller
// nodes" of PROTOCOL specifies. A submission is retried with the same job id until it is answered,
// so that a lost connection never creates a second job.
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

const (
	// requestTimeout limits one attempt to send a request and receive its answer.
	requestTimeout = 5 * time.Second
	// maxRetryAfter limits the delay that a controller can ask for with Retry-After.
	maxRetryAfter = 30 * time.Second
	// jitterDivisor limits the random delay added before a retry to RetryInterval / jitterDivisor.
	jitterDivisor = 4
)

// jobsPath is the path under which the user API has the jobs.
const jobsPath = "/v2/runs"

// Client sends requests to the controllers of one cluster. If a controller does not answer, it switches
// to the next address. It is not safe for concurrent use.
type Client struct {
	addresses    []string
	addressIndex int // number of switches so far; the index of the address in use is this number modulo len(addresses)
	http         fasthttp.Client
	// RetryTimeout limits the time for which one request is retried.
	RetryTimeout time.Duration
	// RetryInterval is the minimum time between two attempts, and between two polls of Wait.
	RetryInterval time.Duration
	// OnRetry, if set, is called before each retry with the reason and the time left for retries.
	OnRetry func(reason string, left time.Duration)
}

// New makes a client of a cluster. addressList holds the addresses of its controllers as HOST:PORT,
// separated by commas.
func New(addressList string) (*Client, error) {
	c := &Client{RetryTimeout: time.Minute, RetryInterval: time.Second}
	for _, address := range strings.Split(addressList, ",") {
		address = strings.TrimSpace(address)
		if address == "" {
			continue
		}
		if !isValidAddress(address) {
			return nil, fmt.Errorf("%q is not a cluster address: want HOST:PORT", address)
		}
		c.addresses = append(c.addresses, address)
	}
	if len(c.addresses) == 0 {
		return nil, errors.New("no cluster address: give --to HOST:PORT or set CURLEW_TO")
	}
	c.http.MaxIdemponentCallAttempts = 1 // the method request retries instead and calls OnRetry
	return c, nil
}

// isValidAddress reports whether address is HOST:PORT with a numeric port other than 0.
func isValidAddress(address string) bool {
	host, portText, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	return err == nil && port > 0
}

// RefusedError is the error for a request that the cluster refuses. The request is not retried, because
// the answer would be the same.
type RefusedError struct {
	Status int // HTTP status
	Reason string
}

// Error returns the status and the reason as text.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with %d: %s", e.Status, e.Reason)
}

// ErrNoSuchJob is returned for a job that the cluster does not know.
var ErrNoSuchJob = errors.New("no such job")

// response is the answer to one attempt.
type response struct {
	status     int // HTTP status; 0: no answer
	body       []byte
	retryAfter time.Duration
}

// reason returns the reason in the body of an error response.
func (r *response) reason() string {
	var decoded protocol.ErrorResponse
	_ = protocol.Decode(r.body, &decoded) // errors are ignored: without a reason, only the status is reported
	return decoded.Error
}

// request sends a request until it gets a final answer (status 200, 201, 400, 404 or 422), or until
// the next retry would be later than RetryTimeout. Before a retry it waits for RetryInterval plus a
// random delay. If the answer's Retry-After, limited to maxRetryAfter, is longer, it waits for that
// time instead.
func (c *Client) request(ctx context.Context, method, path string, payload any) (*protocol.JobState, error) {
	deadline := time.Now().Add(c.RetryTimeout)
	for {
		delay := c.RetryInterval + time.Duration(rand.Int64N(int64(c.RetryInterval)/jitterDivisor+1))
		answer := c.attempt(method, path, payload)
		var reason string
		switch answer.status {
		case fasthttp.StatusOK, fasthttp.StatusCreated:
			return decodeState(answer.body)
		case fasthttp.StatusNotFound:
			return nil, ErrNoSuchJob
		case fasthttp.StatusBadRequest, fasthttp.StatusUnprocessableEntity:
			return nil, &RefusedError{answer.status, answer.reason()}
		case 0:
			reason = "no answer from " + c.address()
			c.addressIndex++
		default:
			reason = fmt.Sprintf("%d %s", answer.status, answer.reason())
			delay = max(delay, min(answer.retryAfter, maxRetryAfter))
		}
		if time.Now().Add(delay).After(deadline) {
			return nil, fmt.Errorf("gave up after %v: %s", c.RetryTimeout, reason)
		}
		if c.OnRetry != nil {
			c.OnRetry(reason, time.Until(deadline))
		}
		if err := sleep(ctx, delay); err != nil {
			return nil, err
		}
	}
}

// sleep waits for a duration. If the context is done first, it returns the context's error.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// decodeState decodes the state of a job from the body of an answer.
func decodeState(body []byte) (*protocol.JobState, error) {
	state := &protocol.JobState{}
	if err := protocol.Decode(body, state); err != nil {
		return nil, fmt.Errorf("cannot decode the answer: %w", err)
	}
	return state, nil
}

// address returns the address in use. When an attempt gets no answer, request changes to the next
// address.
func (c *Client) address() string { return c.addresses[c.addressIndex%len(c.addresses)] }

// attempt sends a request once to the address in use.
func (c *Client) attempt(method, path string, payload any) response {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI("http://" + c.address() + path)
	request.Header.SetMethod(method)
	if payload != nil {
		request.Header.SetContentType("application/cbor")
		request.SetBodyRaw(protocol.Encode(payload))
	}
	if err := c.http.DoTimeout(request, answer, requestTimeout); err != nil {
		return response{}
	}
	received := response{
		status: answer.StatusCode(),
		body:   append([]byte(nil), answer.Body()...), // fasthttp reuses the answer after its release
	}
	if seconds, err := strconv.Atoi(string(answer.Header.Peek("Retry-After"))); err == nil {
		received.retryAfter = time.Duration(seconds) * time.Second
	}
	return received
}

// Submit submits a job. It is idempotent: a retry with the same id does not create a second job. The
// error is a RefusedError, ErrNoSuchJob or the error of the context, or it says that the answer cannot
// be decoded or that RetryTimeout has ended the retries.
func (c *Client) Submit(ctx context.Context, submission *protocol.Submission) (*protocol.JobState, error) {
	return c.request(ctx, fasthttp.MethodPost, jobsPath, submission)
}

// Status returns the state of a job. The error for an unknown job is ErrNoSuchJob; the other errors are
// those of Submit.
func (c *Client) Status(ctx context.Context, jobID string) (*protocol.JobState, error) {
	return c.request(ctx, fasthttp.MethodGet, jobsPath+"/"+jobID, nil)
}

// Abort cancels a job and returns its state, which is JobDone if the job finished first. It returns
// the same errors as Status.
func (c *Client) Abort(ctx context.Context, jobID string) (*protocol.JobState, error) {
	return c.request(ctx, fasthttp.MethodPost, jobsPath+"/"+jobID+"/abort", nil)
}

// Wait polls until the job has finished and returns its final state. It calls onChange, if not nil,
// with the first state and with each one that FormatState formats differently from the one before.
func (c *Client) Wait(ctx context.Context, jobID string, onChange func(*protocol.JobState)) (*protocol.JobState, error) {
	previous := ""
	for {
		state, err := c.Status(ctx, jobID)
		if err != nil {
			return nil, err
		}
		if text := FormatState(state); text != previous {
			previous = text
			if onChange != nil {
				onChange(state)
			}
		}
		if state.Status.IsFinal() {
			return state, nil
		}
		if err := sleep(ctx, c.RetryInterval); err != nil {
			return nil, err
		}
	}
}

// FormatState returns the state of a job as one line of text.
func FormatState(state *protocol.JobState) string {
	line := state.ID + " " + string(state.Status)
	if state.Done != nil && state.Running != nil && !state.Status.IsFinal() {
		line += fmt.Sprintf(" (%d done, %d running)", *state.Done, *state.Running)
	}
	if len(state.PendingDependencies) > 0 {
		line += "; waits for " + strings.Join(state.PendingDependencies, ", ")
	}
	if state.CancelledBy != "" {
		line += " with " + state.CancelledBy + ", which it needs"
	}
	for _, remote := range state.Remote {
		line += fmt.Sprintf("; %d tasks from %d on are at %s: %s", remote.Tasks, remote.FirstTask, remote.Cluster, remote.Reason)
	}
	return line
}
