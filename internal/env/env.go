// Package world is what the owner of a process's state sees of the outside:
// clocks, randomness, calls and messages. The real one does input and output
// on goroutines and hands every answer back through the queue of commands;
// the one in standin runs in simulated time, so that a run is a deterministic
// trace.
package env

import (
	"math/rand/v2"
	"time"

	"curlewspool/internal/peermsg"
)

// Environment is handed to every slice. All its callbacks run on the owner's loop.
type Environment interface {
	// Now is the steady clock, from the start of the process.
	Now() time.Duration
	// Wall is the time of day.
	Wall() time.Time
	Rand() *rand.Rand
	// After runs f on the loop when d has passed.
	After(d time.Duration, f func())
	// Call makes one HTTP request with a CBOR body (in may be nil), decodes
	// whatever body comes back into out (may be nil) and calls done with the
	// status; 0 means that there was no answer and the outcome is unknown.
	// in and out belong to the call until done.
	Call(addr, method, path string, in, out any, timeout time.Duration, done func(status int))
	// Send hands a message to another controller, or loses it.
	Send(member string, e *peermsg.Envelope)
}

// Seconds turns a figure from the settings into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
