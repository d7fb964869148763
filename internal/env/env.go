// Package env defines the interface between the event loop, which owns the state of a process, and
// its surroundings: clocks, randomness, HTTP calls and messages to other controllers.
//
// The real environment does I/O on other goroutines and passes every result back through the event
// loop's queue. The environment in package simulator runs in simulated time, so that runs are
// deterministic.
package env

import (
	"math/rand/v2"
	"time"

	"curlewspool/internal/peermsg"
)

// NoAnswer is the status of a call to which no usable response arrived in time. The receiver may or
// may not have carried out the request.
const NoAnswer = 0

// Environment replaces package time, the global random source and the network for code that runs
// on the event loop. All callbacks run on the event loop.
type Environment interface {
	// Now returns the monotonic time since the start of the process.
	Now() time.Duration
	// Wall returns the wall-clock time.
	Wall() time.Time
	// Rand returns the source of randomness, which only code on the event loop may use.
	Rand() *rand.Rand
	// After runs f after the delay.
	After(delay time.Duration, f func())
	// Call sends an HTTP request and calls done with the HTTP status of the response, or with
	// NoAnswer. The CBOR body of the request is in; a nil in means no body. The body of the response
	// is decoded into out, unless out is nil. The caller must not use in and out until done runs.
	Call(address, method, path string, in, out any, timeout time.Duration, done func(status int))
	// Send sends a message to another controller. The message may be lost.
	Send(member string, envelope *peermsg.Envelope)
}

// Seconds converts a number of seconds, as in the settings, to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
