// Package httpreply provides the HTTP error responses that the controller's APIs for users and for
// partner clusters share.
package httpreply

import (
	"net/http"

	"curlewspool/internal/protocol"
)

// Func sends the response to one request, with an HTTP status and a body. retryAfter is the value
// of the Retry-After header in seconds; if it is 0, the header is omitted.
type Func func(status int, body any, retryAfter int)

// RetryAfterSeconds is the Retry-After of the responses sent by Unavailable.
const RetryAfterSeconds = 1

// Reasons for Unavailable. They are sent to users and partner clusters.
const (
	ReasonStoreUnreachable = "state service not reachable"
	ReasonConflict         = "try again" // stored data changed while the request was handled
)

// Reject replies with an error that would occur again if the request were retried.
func Reject(reply Func, status int, reason string) {
	reply(status, &protocol.ErrorResponse{Error: reason}, 0)
}

// Unavailable replies that the request should be retried later.
func Unavailable(reply Func, reason string) {
	reply(http.StatusServiceUnavailable, &protocol.ErrorResponse{Error: reason}, RetryAfterSeconds)
}
