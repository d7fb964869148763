package nomad

import (
	"slices"
	"strings"
)

// machineConstraint restricts the machines of a group to some machine types, a zone or both.
type machineConstraint struct {
	machineTypes []string // nil means any
	zone         string   // "" means any
}

// mergeConstraints combines the constraint blocks of the job, the group and the task. zone is the zone
// that the job's datacenters attribute names. It reports a problem if the constraints together allow
// no machine type or name two zones.
func (c *groupConverter) mergeConstraints(zone string) machineConstraint {
	allowed := machineConstraint{zone: zone}
	lastPosition := ""
	for _, level := range []*Block{c.job, c.group, c.task} {
		for _, block := range level.blocksOfType("constraint") {
			constraint := c.constraint(block)
			if constraint.machineTypes != nil {
				allowed.machineTypes = intersect(allowed.machineTypes, constraint.machineTypes)
				lastPosition = block.Position
			}
			if constraint.zone == "" {
				continue
			}
			if allowed.zone != "" && constraint.zone != allowed.zone {
				c.report(block.Position, "zones %s and %s leave nothing", allowed.zone, constraint.zone)
			}
			allowed.zone = constraint.zone
		}
	}
	if allowed.machineTypes != nil && len(allowed.machineTypes) == 0 {
		c.report(lastPosition, "the constraints leave no machine type")
	}
	return allowed
}

// intersect returns the elements of a that are also in b. If a is nil, it stands for all possible
// elements, and the result is b.
func intersect(a, b []string) []string {
	if a == nil {
		return b
	}
	common := []string{}
	for _, element := range a {
		if slices.Contains(b, element) {
			common = append(common, element)
		}
	}
	return common
}

// constraint converts one constraint block. Unknown arguments, an unknown attribute or operator,
// and a value that lists several zones are reported as problems. In the last three cases the result
// does not restrict anything.
func (c *converter) constraint(block *Block) machineConstraint {
	for _, name := range sortedKeys(block.Attributes) {
		if name != "attribute" && name != "operator" && name != "value" {
			c.report(block.Attributes[name].Position, "constraint: %s cannot be honoured; use attribute, operator and value", name)
		}
	}
	attribute := c.stringAttribute(block, "attribute", "")
	operator := c.stringAttribute(block, "operator", "=")
	value := c.stringAttribute(block, "value", "")
	values := []string{value}
	switch operator {
	case "=", "==", "is":
	case "set_contains_any":
		values = strings.Split(value, ",")
		for i := range values {
			values[i] = strings.TrimSpace(values[i])
		}
	default:
		c.report(block.Position, "constraint: operator %q cannot be honoured; =, ==, is and set_contains_any can", operator)
		return machineConstraint{}
	}
	switch attribute {
	case "${node.class}", "${attr.machine.type}":
		return machineConstraint{machineTypes: values}
	case "${node.datacenter}", "${attr.zone}":
		if len(values) != 1 {
			c.report(block.Position, "constraint: one zone")
			return machineConstraint{}
		}
		return machineConstraint{zone: value}
	}
	c.report(block.Position, "constraint: %s cannot be honoured; ${node.class} is the machine type, ${node.datacenter} the zone", attribute)
	return machineConstraint{}
}

// spreadsOverZones returns whether the job or the group has a spread block. It reports a spread
// block that cannot be honoured. It also reports a spread block if the tasks must be in a single
// zone.
func (c *groupConverter) spreadsOverZones(singleZone bool, zone string) bool {
	spread := false
	for _, level := range []*Block{c.job, c.group} {
		for _, block := range level.blocksOfType("spread") {
			spread = true
			if c.stringAttribute(block, "attribute", "") != "${node.datacenter}" || len(block.Blocks) > 0 {
				c.report(block.Position, "spread: only over ${node.datacenter}, without targets: at most half of the tasks in a zone")
			}
		}
	}
	if spread && (singleZone || zone != "") {
		c.report(c.group.Position, "tasks cannot be spread over zones and be in one")
	}
	return spread
}
