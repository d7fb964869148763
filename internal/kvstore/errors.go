package kvstore

import (
	"errors"
	"net/http"
	"slices"
)

// Errors for the outcomes of a request to the key-value service other than success. The comment of
// each error gives the HTTP status that the error stands for.
var (
	// ErrUnknownOutcome means that no usable answer came (the environment's status 0). The
	// request may have been carried out, or may still be carried out.
	ErrUnknownOutcome = errors.New("kvstore: no answer, outcome unknown")
	// ErrUnavailable means that the service has no quorum (503). The request was not carried out.
	ErrUnavailable = errors.New("kvstore: service unavailable")
	// ErrThrottled means that the service's rate limit was exceeded (429). The request was not
	// carried out.
	ErrThrottled = errors.New("kvstore: rate limit exceeded")
	// ErrConflict means that a compare-and-swap condition did not hold (409).
	ErrConflict = errors.New("kvstore: condition failed")
	// ErrRejected means that the service considers the request invalid (400), for example
	// because it refers to a lease that has expired.
	ErrRejected = errors.New("kvstore: request rejected")
	// ErrNotFound means that the key or lease does not exist (404).
	ErrNotFound = errors.New("kvstore: not found")
	// ErrCompacted means that the service no longer keeps the requested changes (410).
	ErrCompacted = errors.New("kvstore: revision compacted")
	// ErrUnexpectedStatus means any other status. The service answered, but it is not known
	// whether the request was carried out.
	ErrUnexpectedStatus = errors.New("kvstore: unexpected status")
)

// statusError returns the error that an HTTP status stands for. It returns nil for 200 and for
// the statuses in success.
func statusError(status int, success ...int) error {
	if status == http.StatusOK || slices.Contains(success, status) {
		return nil
	}
	switch status {
	case 0:
		return ErrUnknownOutcome
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusConflict:
		return ErrConflict
	case http.StatusBadRequest:
		return ErrRejected
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrCompacted
	default:
		return ErrUnexpectedStatus
	}
}
