package nomad

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"curlewspool/internal/protocol"
)

// NativeJob is a job that was converted from one group of a job file. Its form is that of the
// scheduler's public protocol.
type NativeJob struct {
	Group   string               `json:"group"`
	Job     *protocol.Submission `json:"-"`
	Assumed []string             `json:"assumed"` // assumptions made, such as the defaults used for settings that the file omits
}

// ProtocolFields returns the job's fields under their names in the public protocol.
func (n *NativeJob) ProtocolFields() map[string]any {
	var fields map[string]any
	if err := protocol.Decode(protocol.Encode(n.Job), &fields); err != nil {
		return nil // unreachable: Decode accepts whatever Encode returns
	}
	return fields
}

// Plan holds the native jobs that were converted from a job file.
type Plan struct {
	Namespace string      `json:"namespace"`
	Name      string      `json:"name"`
	Jobs      []NativeJob `json:"jobs"`
}

// Priorities of native jobs, from the lowest to the highest.
const (
	priorityBestEffort = "best_effort"
	priorityStandard   = "standard"
	priorityHigh       = "high"
	priorityProd       = "prod"
)

// Limits on names, and the range and default of priorities in the published specification.
const (
	maxNameLen      = 40
	nameCharacters  = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
	defaultPriority = 50
	minPriority     = 1
	maxPriority     = 100
)

// jobIDPrefix is the prefix of the id of every native job that is converted from a job file.
const jobIDPrefix = "wk-nomad."

// converter converts a job block and collects the problems that it finds.
type converter struct {
	rules    Rules
	problems Problems
}

// report adds a problem with its position.
func (c *converter) report(position, format string, args ...any) {
	c.problems.add("%s: %s", position, fmt.Sprintf(format, args...))
}

// jobDefaults holds the settings of a job block that apply to all its groups.
type jobDefaults struct {
	shape    protocol.JobShape
	priority string
	zone     string // "" means any
}

// PlanJobs converts a job block into native jobs, one for each group. The error is of type Problems.
func PlanJobs(job *Block, rules Rules) (*Plan, error) {
	c := &converter{rules: rules}
	c.checkFields(job, "")
	plan := &Plan{Namespace: c.stringAttribute(job, "namespace", "default"), Name: job.Labels[0]}
	if id := c.stringAttribute(job, "id", ""); id != "" {
		plan.Name = id
	}
	if !isValidName(plan.Namespace) || !isValidName(plan.Name) {
		c.report(job.Position, "the names %q and %q must be of letters, digits, - and _, 40 at most", plan.Namespace, plan.Name)
	}
	if region := c.stringAttribute(job, "region", "global"); region != "global" {
		c.report(job.Attributes["region"].Position, "region %q: there is one region; partner clusters are the operators'", region)
	}
	defaults := jobDefaults{shape: c.shape(job), priority: c.priority(job), zone: c.jobZone(job)}
	c.planGroups(plan, job, defaults)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return plan, nil
}

// planGroups converts the groups of a job and adds the resulting native jobs to the plan.
func (c *converter) planGroups(plan *Plan, job *Block, defaults jobDefaults) {
	seen := map[string]bool{}
	for _, group := range job.blocksOfType("group") {
		if len(group.Labels) != 1 || !isValidName(group.Labels[0]) || seen[group.Labels[0]] {
			c.report(group.Position, "a group needs one label of its own, of letters, digits, - and _")
			continue
		}
		name := group.Labels[0]
		seen[name] = true
		native := c.convertGroup(job, group, defaults)
		if native == nil {
			continue
		}
		id := jobIDPrefix + plan.Namespace + "." + plan.Name + "." + name
		native.Job.ID = &id
		// Even if each name is valid, the id that is composed of them can be too long.
		var invalid *protocol.FieldError
		if _, err := native.Job.Validate(); errors.As(err, &invalid) {
			c.report(group.Position, "the scheduler would refuse it: %s", invalid.Field)
		}
		plan.Jobs = append(plan.Jobs, *native)
	}
	if len(seen) == 0 {
		c.report(job.Position, "a job needs a group")
	}
}

// isValidName reports whether a name can be part of a native job's id.
func isValidName(name string) bool {
	return name != "" && len(name) <= maxNameLen && strings.Trim(name, nameCharacters) == ""
}

// shape returns the shape of the native jobs, converted from the job's type.
func (c *converter) shape(job *Block) protocol.JobShape {
	switch jobType := c.stringAttribute(job, "type", "service"); jobType {
	case "batch":
		return protocol.ShapeArray
	case "service":
		return protocol.ShapeService
	default:
		c.report(job.positionOf("type"), "type %q: one copy on every machine cannot be promised here", jobType)
		return ""
	}
}

// priority returns the priority of the native jobs. It depends on the priority attribute of the job,
// a number from 1 to 100.
func (c *converter) priority(job *Block) string {
	attribute, ok := job.Attributes["priority"]
	if !ok {
		return priorityStandard
	}
	switch number := c.numberAttribute(job, "priority", defaultPriority); {
	case number < minPriority || number > maxPriority || number != math.Floor(number):
		c.report(attribute.Position, "priority %v: must be a whole number from 1 to 100", number)
		return priorityStandard
	case number <= 33:
		return priorityBestEffort
	case number >= 90:
		return priorityProd
	case number >= 67:
		return priorityHigh
	default:
		return priorityStandard
	}
}

// jobZone returns the zone that the datacenters attribute names, or "" for any zone. It reports an
// attribute that names several zones or a pattern, except for ["*"].
func (c *converter) jobZone(job *Block) string {
	attribute, ok := job.Attributes["datacenters"]
	if !ok {
		return ""
	}
	names := stringElements(attribute.Value)
	switch {
	case len(names) == 1 && names[0] == "*":
		return ""
	case len(names) == 1 && !strings.ContainsAny(names[0], "*?["):
		return names[0]
	}
	c.report(attribute.Position, "datacenters: one zone, or [\"*\"] for all; some of them cannot be said to the scheduler")
	return ""
}
