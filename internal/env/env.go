// Package env defines what the owner of a process's state sees of the outside: clocks,
// randomness, HTTP calls and messages to other controllers. The real environment does
// input and output on other goroutines and hands every answer back through the owner's
// command queue; the one in package simulator runs in simulated time, so that a run is
// a deterministic trace.
package env

import (
	"math/rand/v2"
	"time"

	"curlewspool/internal/peermsg"
)

// NoAnswer is the status of a call that was not answered in time: its outcome is unknown.
const NoAnswer = 0

// Environment is what the owner's code uses in place of package time, the global random
// source and the network. All callbacks run on the owner's goroutine.
type Environment interface {
	// Now is the monotonic time since the start of the process.
	Now() time.Duration
	// Wall is the time of day.
	Wall() time.Time
	// Rand is the source of all randomness; it belongs to the owner's goroutine.
	Rand() *rand.Rand
	// After runs f when delay has passed.
	After(delay time.Duration, f func())
	// Call makes one HTTP request with a CBOR body (none if in is nil), decodes the
	// answer's body, if any, into out (unless that is nil) and calls done with the HTTP
	// status or NoAnswer. in and out belong to the call until done runs.
	Call(address, method, path string, in, out any, timeout time.Duration, done func(status int))
	// Send passes a message to another controller. It may be lost.
	Send(member string, envelope *peermsg.Envelope)
}

// Seconds converts a number of seconds, as in the settings, to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
