// Command review-rig plays the cases of the second review: it starts the controllers as separate
// processes and stands in for the state service, the cloud, the workers and the users, by the
// operators' protocol page.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the seconds since the start of the case.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	startAt time.Time
	broken  []string
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &recorder{file: file, startAt: time.Now()}
}

func (r *recorder) seconds() float64 { return time.Since(r.startAt).Seconds() }

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.seconds(), fmt.Sprintf(format, args...))
}

// violation records that the rule of the case was broken.
func (r *recorder) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
	fmt.Println("rule broken:", text)
}

// cannotRunError is the panic value for a case that could not be played.
type cannotRunError struct{ text string }

func cannotRun(format string, args ...any) {
	panic(cannotRunError{fmt.Sprintf(format, args...)})
}
