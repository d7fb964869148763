package nomad

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"

	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"

	"curlewspool/internal/protocol"
)

// Defaults in the published specification for settings that a task omits.
const (
	defaultCPUMHz      = 100.0
	defaultMemoryMB    = 300.0
	defaultKillTimeout = 5.0 // seconds
)

const (
	maxTasks      = 100000 // largest count of a group
	maxMetaAmount = 1e9    // largest value of a numeric meta key
	mbPerGB       = 1024
)

// metaEntry is the value of a meta key and its position in the file.
type metaEntry struct {
	value    string
	position string
}

// mergeMeta merges the meta blocks that are nested directly in the given blocks. If a key is set more
// than once, the last block in the list that sets it takes precedence.
func mergeMeta(blocks ...*Block) map[string]metaEntry {
	entries := map[string]metaEntry{}
	for _, block := range blocks {
		for _, meta := range block.blocksOfType("meta") {
			for key, attribute := range meta.Attributes {
				text, err := convert.Convert(attribute.Value, cty.String)
				if err == nil && !text.IsNull() {
					entries[key] = metaEntry{text.AsString(), attribute.Position}
				}
			}
		}
	}
	return entries
}

// groupConverter converts one group. Settings that the file omits are taken from the operators'
// rules and recorded in assumed.
type groupConverter struct {
	*converter
	job, group, task *Block
	meta             map[string]metaEntry
	class            string
	classDefaults    Class
	assumed          []string
}

// convertGroup converts a group into a native job. It does not set the job's id; planGroups does. It
// returns nil if it reported a problem.
func (c *converter) convertGroup(job, group *Block, defaults jobDefaults) *NativeJob {
	tasks := group.blocksOfType("task")
	if len(tasks) != 1 {
		c.report(group.Position, "a group of %d tasks: one is needed; %s", len(tasks), reasonTasksAlike)
		return nil
	}
	task := tasks[0]
	conversion := &groupConverter{
		converter: c,
		job:       job,
		group:     group,
		task:      task,
		meta:      mergeMeta(job, group, task),
	}
	submission := conversion.submission(defaults)
	if submission == nil {
		return nil
	}
	sort.Strings(conversion.assumed)
	return &NativeJob{Group: group.Labels[0], Job: submission, Assumed: conversion.assumed}
}

// submission converts the group into a submission. It returns nil if it reported a problem. Problems
// are reported in the order of the steps.
func (c *groupConverter) submission(defaults jobDefaults) *protocol.Submission {
	problemsBefore := len(c.problems)
	c.checkMetaKeys()
	c.chooseClass()
	team := c.team()
	estimate := c.estimate(defaults.shape)
	checkpointInterval := c.metaAmount(metaCheckpoint, c.classDefaults.CheckpointSeconds, "checkpoint interval")
	imageGB := c.metaAmount(metaImageGB, c.classDefaults.ImageGB, "image size")
	allowSpot := c.allowsSpot()
	shape := c.groupShape(defaults.shape)
	singleZone := c.metaFlag(metaSingleZone)
	taskCount := c.taskCount()
	checkpointDuration := c.checkpointDuration(checkpointInterval)
	requirements := c.taskRequirements()
	memoryGB := requirements.memoryMB / mbPerGB
	constraint := c.mergeConstraints(defaults.zone)
	spreadZones := c.spreadsOverZones(singleZone, constraint.zone)
	if len(c.problems) > problemsBefore {
		return nil
	}
	submission := &protocol.Submission{
		Class:              &c.class,
		Team:               &team,
		Shape:              &shape,
		Priority:           &defaults.priority,
		Tasks:              &taskCount,
		Cores:              &requirements.cores,
		GPUs:               &requirements.gpus,
		MemoryGB:           &memoryGB,
		Image:              &requirements.image,
		ImageGB:            &imageGB,
		MachineTypes:       constraint.machineTypes,
		SingleZone:         &singleZone,
		SpreadZones:        &spreadZones,
		AllowSpot:          &allowSpot,
		Estimate:           &estimate,
		CheckpointInterval: &checkpointInterval,
		CheckpointDuration: &checkpointDuration,
	}
	if constraint.zone != "" {
		submission.Zone = &constraint.zone
	}
	if deadline := c.metaAmount(metaDeadline, 0, ""); deadline > 0 {
		submission.Deadline = &deadline
	}
	return submission
}

// assume records an assumption, such as the default that is used for a setting that the file omits.
func (c *groupConverter) assume(format string, args ...any) {
	c.assumed = append(c.assumed, fmt.Sprintf(format, args...))
}

// checkMetaKeys reports meta keys that start with metaPrefix and are not in MetaKeys: they are most
// likely misspelt.
func (c *groupConverter) checkMetaKeys() {
	for _, key := range sortedKeys(c.meta) {
		if strings.HasPrefix(key, metaPrefix) && MetaKeys[key] == "" {
			c.report(c.meta[key].position, "meta %s is none of ours", key)
		}
	}
}

// chooseClass sets the job's class and the defaults of this class. The class is taken from meta or, if
// meta does not set it, from the operators' rules.
func (c *groupConverter) chooseClass() {
	c.class = c.meta[metaClass].value
	if c.class == "" {
		c.class = c.rules.Class
		c.assume("class %s: meta %s is not there", c.class, metaClass)
	}
	rules, known := c.rules.Classes[c.class]
	if !known {
		c.report(c.task.Position, "class %q is not in the operators' rules", c.class)
	}
	c.classDefaults = rules
}

// team returns the team to which the job is charged. It is taken from meta or, if meta does not set it,
// from the operators' rules.
func (c *groupConverter) team() string {
	team := c.meta[metaTeam].value
	if team == "" {
		team = c.rules.Team
		c.assume("team %s: meta %s is not there", team, metaTeam)
	}
	return team
}

// metaAmount returns the value of a numeric meta key, or classDefault if the key is not set. If it
// returns a default above 0, it records an assumption that starts with description.
func (c *groupConverter) metaAmount(key string, classDefault float64, description string) float64 {
	entry, ok := c.meta[key]
	if !ok {
		if classDefault > 0 {
			c.assume("%s %v, by class %s: meta %s is not there", description, classDefault, c.class, key)
		}
		return classDefault
	}
	amount, err := strconv.ParseFloat(entry.value, 64)
	if err != nil || amount < 0 || amount > maxMetaAmount {
		c.report(entry.position, "meta %s: %q is no amount", key, entry.value)
	}
	return amount
}

// metaFlag reports whether a meta key is set to yes. A key that is not set means no.
func (c *groupConverter) metaFlag(key string) bool {
	entry := c.meta[key]
	switch entry.value {
	case "yes":
		return true
	case "", "no":
	default:
		c.report(entry.position, "meta %s: %q must be yes or no", key, entry.value)
	}
	return false
}

// estimate returns the expected run time of a task in seconds, or 0 for a service, which runs
// indefinitely.
func (c *groupConverter) estimate(shape protocol.JobShape) float64 {
	if shape == protocol.ShapeService {
		if entry, ok := c.meta[metaEstimate]; ok {
			c.report(entry.position, "a service has no run time")
		}
		return 0
	}
	estimate := c.metaAmount(metaEstimate, c.classDefaults.Estimate, "estimate")
	if estimate <= 0 {
		c.report(c.task.Position, "no estimate of the run time: set meta %s, or one for class %s in the operators' rules", metaEstimate, c.class)
	}
	return estimate
}

// allowsSpot returns whether the tasks may run on spot machines. This is taken from meta or, if meta
// does not set it, from the class's defaults.
func (c *groupConverter) allowsSpot() bool {
	if _, ok := c.meta[metaSpot]; ok {
		return c.metaFlag(metaSpot)
	}
	c.assume("spot machines %v, by class %s: meta %s is not there", c.classDefaults.AllowSpot, c.class, metaSpot)
	return c.classDefaults.AllowSpot
}

// groupShape returns the shape of the native job: gang if meta requests it, otherwise the given shape
// of the whole job.
func (c *groupConverter) groupShape(shape protocol.JobShape) protocol.JobShape {
	if !c.metaFlag(metaGang) {
		return shape
	}
	if shape == protocol.ShapeService {
		c.report(c.meta[metaGang].position, "a service is no gang")
		return shape
	}
	return protocol.ShapeGang
}

// taskCount returns the number of tasks. This is the group's count, or 1 if count is not set.
func (c *groupConverter) taskCount() uint64 {
	count := c.numberAttribute(c.group, "count", 1)
	if count < 1 || count > maxTasks || count != math.Floor(count) {
		c.report(c.group.positionOf("count"), "count %v: must be a whole number from 1 to %d", count, maxTasks)
	}
	return uint64(count)
}

// checkpointDuration returns the time for saving a checkpoint in seconds, which is the task's
// kill_timeout. interval is the time between checkpoints; 0 means that the task has none. Such tasks
// are stopped without delay, so a kill_timeout above the specification's default is reported for them.
func (c *groupConverter) checkpointDuration(interval float64) float64 {
	timeout := c.secondsAttribute(c.task, "kill_timeout", 0)
	if interval <= 0 {
		if timeout > defaultKillTimeout {
			c.report(c.task.positionOf("kill_timeout"), "kill_timeout %vs: a task without checkpoints is stopped at once; set meta %s, or leave it out", timeout, metaCheckpoint)
		}
		return 0
	}
	return timeout
}

// taskRequirements holds the image of a task and the resources that it uses on its machine.
type taskRequirements struct {
	image    string
	cores    float64
	gpus     float64
	memoryMB float64
}

// taskRequirements returns the requirements that the task's config and resources blocks set. It uses
// defaults for those that are not set.
func (c *groupConverter) taskRequirements() taskRequirements {
	requirements := taskRequirements{memoryMB: defaultMemoryMB}
	hasResources := false
	for _, block := range c.task.Blocks {
		switch block.Type {
		case "config":
			requirements.image = c.stringAttribute(block, "image", "")
		case "resources":
			hasResources = true
			c.addResources(&requirements, block)
		}
	}
	if requirements.cores == 0 {
		requirements.cores = defaultCPUMHz / c.rules.CoreMHz
		c.assume("%.4g cores: the specification's 100 MHz, resources name none", requirements.cores)
	}
	if !hasResources {
		c.assume("300 MB of memory: the specification's, there are no resources")
	}
	if requirements.cores < 0 || requirements.memoryMB <= 0 || requirements.gpus < 0 || requirements.gpus != math.Floor(requirements.gpus) {
		c.report(c.task.Position, "resources must be positive, devices whole")
	}
	if requirements.image == "" {
		requirements.image = "nomad." + c.job.Labels[0] + "." + c.task.label()
		c.assume("image %s: the task's config names none", requirements.image)
	}
	return requirements
}

// addResources sets the cores and memory in requirements from one resources block, and adds the
// block's GPUs.
func (c *groupConverter) addResources(requirements *taskRequirements, resources *Block) {
	_, hasCPU := resources.Attributes["cpu"]
	_, hasCores := resources.Attributes["cores"]
	if hasCPU && hasCores {
		c.report(resources.positionOf("cores"), "cores and cpu cannot both be given")
	}
	requirements.cores = c.numberAttribute(resources, "cores", 0)
	if hasCPU {
		requirements.cores = c.numberAttribute(resources, "cpu", 0) / c.rules.CoreMHz
		c.assume("%.4g cores of %v MHz each, by the operators' rules", requirements.cores, c.rules.CoreMHz)
	}
	requirements.memoryMB = c.numberAttribute(resources, "memory", requirements.memoryMB)
	for _, device := range resources.blocksOfType("device") {
		if len(device.Labels) != 1 || device.Labels[0] != "gpu" && device.Labels[0] != "nvidia/gpu" {
			c.report(device.Position, "device %q: only gpu and nvidia/gpu are known", strings.Join(device.Labels, " "))
		}
		requirements.gpus += c.numberAttribute(device, "count", 1)
	}
}
