// Package historycheck checks the history of tasks that the machines of all clusters recorded: no
// task may run in two places at the same time or finish twice. It reads only the lines that
// simulated machines wrote (simulator.Observation) and shares no code with the software that it
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

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Events that this package distinguishes. Every other event is a reason why an attempt ended
// without a result.
const (
	eventStart        = "start"
	eventDone         = "done"
	eventResultReused = "kept" // the attempt ended immediately, with the result of an earlier one
)

// errIncomplete is the error for a line without a field that every observation must have.
var errIncomplete = errors.New("task, machine or what is missing")

// observation is one event of a task that a machine recorded.
type observation struct {
	At      float64 `json:"at"` // seconds since the start
	Cluster string  `json:"cluster"`
	Machine string  `json:"machine"`
	Task    string  `json:"task"`
	Attempt uint64  `json:"try"` // number of the attempt
	Event   string  `json:"what"`
}

// Report summarises the history of all tasks.
type Report struct {
	Tasks         int            `json:"tasks"`    // tasks that appear in the history
	Starts        int            `json:"starts"`   // started attempts of all tasks
	Finished      int            `json:"finished"` // tasks that finished once and are not on a machine at the end of the history
	ResultsReused int            `json:"kept"`     // starts that ended with the result of an earlier attempt
	Running       int            `json:"left"`     // tasks on a machine at the end of the history
	Lost          int            `json:"lost"`     // tasks that neither finished nor are on a machine at the end of the history
	Jobs          map[string]int `json:"jobs"`     // finished tasks by job
	ByCluster     map[string]int `json:"clusters"` // finished tasks by cluster
	Violations    []string       `json:"wrong"`    // rules that were violated, with time and task
}

// execution identifies an attempt of a task on a machine.
type execution struct {
	machine string
	attempt uint64
}

// history holds the state of all tasks after the lines read so far.
type history struct {
	report       *Report
	executions   map[string]map[execution]bool // by task: its running attempts
	finishCounts map[string]int                // by task: how often it finished
}

// Check checks observations, which are lines of JSON in the order in which they were written. If a
// cluster fails before it has received the result of a task, the task is started again and ends
// immediately with the result that the earlier attempt stored; such starts are counted and are not
// violations. Check returns an error for a line that is not an observation.
func Check(r io.Reader) (*Report, error) {
	h := &history{
		report:       &Report{Jobs: map[string]int{}, ByCluster: map[string]int{}},
		executions:   map[string]map[execution]bool{},
		finishCounts: map[string]int{},
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		obs, err := parse(scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		h.add(obs)
	}
	h.countTasks()
	sort.Strings(h.report.Violations)
	return h.report, scanner.Err()
}

// parse decodes the observation on one line.
func parse(line []byte) (observation, error) {
	var obs observation
	if err := json.Unmarshal(line, &obs); err != nil {
		return obs, err
	}
	if obs.Task == "" || obs.Machine == "" || obs.Event == "" {
		return obs, errIncomplete
	}
	return obs, nil
}

// add checks one observation against those before it and adds it to the history.
func (h *history) add(obs observation) {
	if h.executions[obs.Task] == nil {
		h.executions[obs.Task] = map[execution]bool{}
	}
	if obs.Event == eventStart {
		h.recordStart(obs)
		return
	}
	h.recordEnd(obs)
}

// recordStart adds the start of an attempt. It is a violation if another attempt of the task is
// running.
func (h *history) recordStart(obs observation) {
	h.report.Starts++
	for other := range h.executions[obs.Task] {
		h.violation(obs, "starts on %s while it is on %s", obs.Machine, other.machine)
	}
	h.executions[obs.Task][execution{obs.Machine, obs.Attempt}] = true
}

// recordEnd adds the end of an attempt. It is a violation if the attempt did not start on the same
// machine.
func (h *history) recordEnd(obs observation) {
	ended := execution{obs.Machine, obs.Attempt}
	if !h.executions[obs.Task][ended] {
		h.violation(obs, "ends on %s, where it never started", obs.Machine)
	}
	delete(h.executions[obs.Task], ended)
	switch obs.Event {
	case eventResultReused:
		h.report.ResultsReused++
	case eventDone:
		h.recordFinish(obs)
	}
}

// recordFinish adds an attempt that finished its task. It is a violation if the task has finished
// before.
func (h *history) recordFinish(obs observation) {
	h.finishCounts[obs.Task]++
	if h.finishCounts[obs.Task] > 1 {
		h.violation(obs, "finishes a second time, on %s", obs.Machine)
		return
	}
	job, _, _ := strings.Cut(obs.Task, "/")
	h.report.Jobs[job]++
	h.report.ByCluster[obs.Cluster]++
}

// violation adds a violation to the report, with the time and task of the observation that shows it.
func (h *history) violation(obs observation, format string, args ...any) {
	violation := fmt.Sprintf("at %.3f %s ", obs.At, obs.Task) + fmt.Sprintf(format, args...)
	h.report.Violations = append(h.report.Violations, violation)
}

// countTasks counts the tasks by their state at the end of the history.
func (h *history) countTasks() {
	for task, executions := range h.executions {
		h.report.Tasks++
		switch {
		case len(executions) > 0:
			h.report.Running++
		case h.finishCounts[task] == 0:
			h.report.Lost++
		case h.finishCounts[task] == 1:
			h.report.Finished++
		}
	}
}
