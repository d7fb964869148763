// Package historycheck judges what machines saw of tasks, in every cluster together:
// no task in two places at once, none finished twice. It reads only the lines
// that stand-in machines wrote (standin.Sight) and shares no code with what it
// judges.
package historycheck

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
)

// observation is one sight of a machine.
type observation struct {
	At      float64 `json:"at"`
	Cluster string  `json:"cluster"`
	Machine string  `json:"machine"`
	Task    string  `json:"task"`
	Try     uint64  `json:"try"`
	What    string  `json:"what"`
}

// Report is what the machines saw in all.
type Report struct {
	Tasks         int            `json:"tasks"`    // that came to be on a machine
	Starts        int            `json:"starts"`   // of them
	Finished      int            `json:"finished"` // tasks that finished once
	ResultsReused int            `json:"kept"`     // starts that found the result of an earlier run
	Running       int            `json:"left"`     // tasks that are on a machine at the end
	Lost          int            `json:"lost"`     // tasks gone without an end and not there at the end
	Jobs          map[string]int `json:"jobs"`     // tasks finished of each job
	ByCluster     map[string]int `json:"clusters"` // tasks finished in each cluster
	Violations    []string       `json:"wrong"`    // rules that did not hold
}

// Check judges lines in the order of their writing. A task whose end was lost
// with its cluster before anybody heard of it is started again, and ends at once
// by the result that was kept; that is counted, not wrong.
func Check(r io.Reader) (*Report, error) {
	type place struct {
		machine string
		try     uint64
	}
	out := &Report{Jobs: map[string]int{}, ByCluster: map[string]int{}}
	on := map[string]map[place]bool{}
	ends := map[string]int{}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for n := 1; sc.Scan(); n++ {
		var l observation
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if l.Task == "" || l.Machine == "" || l.What == "" {
			return nil, fmt.Errorf("line %d: task, machine or what is missing", n)
		}
		at := place{l.Machine, l.Try}
		here := on[l.Task]
		if here == nil {
			here = map[place]bool{}
			on[l.Task] = here
		}
		if l.What == "start" {
			out.Starts++
			for o := range here {
				out.Violations = append(out.Violations, fmt.Sprintf("at %.3f %s starts on %s while it is on %s", l.At, l.Task, l.Machine, o.machine))
			}
			here[at] = true
			continue
		}
		if !here[at] {
			out.Violations = append(out.Violations, fmt.Sprintf("at %.3f %s ends on %s, where it never started", l.At, l.Task, l.Machine))
		}
		delete(here, at)
		if l.What == "kept" {
			out.ResultsReused++
		}
		if l.What == "done" {
			ends[l.Task]++
			if ends[l.Task] > 1 {
				out.Violations = append(out.Violations, fmt.Sprintf("at %.3f %s finishes a second time, on %s", l.At, l.Task, l.Machine))
				continue
			}
			job, _, _ := strings.Cut(l.Task, "/")
			out.Jobs[job]++
			out.ByCluster[l.Cluster]++
		}
	}
	for task, here := range on {
		out.Tasks++
		switch {
		case len(here) > 0:
			out.Running++
		case ends[task] == 0:
			out.Lost++
		case ends[task] == 1:
			out.Finished++
		}
	}
	sort.Strings(out.Violations)
	return out, sc.Err()
}
