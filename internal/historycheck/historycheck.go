// Package historycheck checks what machines saw of tasks, in every cluster together:
// no task in two places at once, none finished twice. It reads only the lines that
// simulated machines wrote (simulator.Observation) and shares no code with what it
// checks.
package historycheck

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
)

// maxLineBytes is the longest line that is read.
const maxLineBytes = 1 << 20

// What machines see of a task that matters here; all else is why it went.
const (
	seenStart        = "start"
	seenDone         = "done"
	seenResultReused = "kept" // it ended by the result of an earlier attempt
)

// errIncomplete: a line lacks what every observation has.
var errIncomplete = errors.New("task, machine or what is missing")

// observation is one thing that a machine saw of a task.
type observation struct {
	At      float64 `json:"at"` // seconds since the start
	Cluster string  `json:"cluster"`
	Machine string  `json:"machine"`
	Task    string  `json:"task"`
	Try     uint64  `json:"try"` // number of the attempt
	What    string  `json:"what"`
}

// Report is what the machines saw in all.
type Report struct {
	Tasks         int            `json:"tasks"`    // that came to be on a machine
	Starts        int            `json:"starts"`   // of them
	Finished      int            `json:"finished"` // tasks that finished once
	ResultsReused int            `json:"kept"`     // starts that found the result of an earlier attempt
	Running       int            `json:"left"`     // tasks that are on a machine at the end
	Lost          int            `json:"lost"`     // tasks gone without an end and not there at the end
	Jobs          map[string]int `json:"jobs"`     // tasks finished of each job
	ByCluster     map[string]int `json:"clusters"` // tasks finished in each cluster
	Violations    []string       `json:"wrong"`    // rules that did not hold
}

// place is where an attempt of a task is.
type place struct {
	machine string
	attempt uint64
}

// history is what was seen until a line.
type history struct {
	report *Report
	places map[string]map[place]bool // where each task is
	ends   map[string]int            // how often each task finished
}

// Check checks lines of JSON in the order in which they were written. A task whose end
// was lost with its cluster before anybody heard of it is started again, and ends at once
// by the result that was kept; that is counted and no violation. It returns an error for
// a line that is no observation.
func Check(r io.Reader) (*Report, error) {
	h := &history{
		report: &Report{Jobs: map[string]int{}, ByCluster: map[string]int{}},
		places: map[string]map[place]bool{},
		ends:   map[string]int{},
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		seen, err := parse(scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		h.add(seen)
	}
	h.countTasks()
	sort.Strings(h.report.Violations)
	return h.report, scanner.Err()
}

func parse(line []byte) (observation, error) {
	var seen observation
	if err := json.Unmarshal(line, &seen); err != nil {
		return seen, err
	}
	if seen.Task == "" || seen.Machine == "" || seen.What == "" {
		return seen, errIncomplete
	}
	return seen, nil
}

// add checks one observation against what was seen before.
func (h *history) add(seen observation) {
	if h.places[seen.Task] == nil {
		h.places[seen.Task] = map[place]bool{}
	}
	if seen.What == seenStart {
		h.start(seen)
		return
	}
	h.end(seen)
}

func (h *history) start(seen observation) {
	h.report.Starts++
	for other := range h.places[seen.Task] {
		h.violation(seen, "starts on %s while it is on %s", seen.Machine, other.machine)
	}
	h.places[seen.Task][place{seen.Machine, seen.Try}] = true
}

func (h *history) end(seen observation) {
	at := place{seen.Machine, seen.Try}
	if !h.places[seen.Task][at] {
		h.violation(seen, "ends on %s, where it never started", seen.Machine)
	}
	delete(h.places[seen.Task], at)
	switch seen.What {
	case seenResultReused:
		h.report.ResultsReused++
	case seenDone:
		h.finish(seen)
	}
}

func (h *history) finish(seen observation) {
	h.ends[seen.Task]++
	if h.ends[seen.Task] > 1 {
		h.violation(seen, "finishes a second time, on %s", seen.Machine)
		return
	}
	job, _, _ := strings.Cut(seen.Task, "/")
	h.report.Jobs[job]++
	h.report.ByCluster[seen.Cluster]++
}

func (h *history) violation(seen observation, format string, a ...any) {
	violation := fmt.Sprintf("at %.3f %s ", seen.At, seen.Task) + fmt.Sprintf(format, a...)
	h.report.Violations = append(h.report.Violations, violation)
}

// countTasks counts what became of all tasks.
func (h *history) countTasks() {
	for task, places := range h.places {
		h.report.Tasks++
		switch {
		case len(places) > 0:
			h.report.Running++
		case h.ends[task] == 0:
			h.report.Lost++
		case h.ends[task] == 1:
			h.report.Finished++
		}
	}
}
