package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// Rule is the name of an invariant that must hold whatever fails.
type Rule string

// The invariants.
const (
	// RuleRunsOnce states that no task runs on two machines at once.
	RuleRunsOnce Rule = "ran_twice"
	// RuleCancelledTerminated states that no task of a cancelled job runs more than cancel_s after
	// the cancellation was confirmed to the user.
	RuleCancelledTerminated Rule = "ran_cancelled"
	// RuleDependenciesDone states that no task starts before the dependencies of its job are done.
	RuleDependenciesDone Rule = "too_early"
	// RuleTeamLimit states that the tasks of a team stay within the team's limit.
	RuleTeamLimit Rule = "quota"
	// RulePlacement states that tasks run only in zones that their job allows, and on spot
	// machines only if the job allows those.
	RulePlacement Rule = "wrong_place"
	// RuleAcceptedJobKnown states that no request for the status of an accepted job is answered
	// with 404.
	RuleAcceptedJobKnown Rule = "forgotten"
	// RuleOutcomeFinal states that the reported outcome of a job does not change.
	RuleOutcomeFinal Rule = "went_back"
	// RuleTasksCompleted states that all tasks of a job that is reported as done are done.
	RuleTasksCompleted Rule = "not_done"
	// RuleDependentsCancelled states that a job does not stay pending or running for more than
	// cancel_s after the cancellation of one of its dependencies was confirmed.
	RuleDependentsCancelled Rule = "orphaned"
	// RuleAnswerDecodable states that answers have the form that the protocol defines.
	RuleAnswerDecodable Rule = "unreadable"
	// RuleInvalidRefused states that submissions of jobs that are invalid or can never run are refused.
	RuleInvalidRefused Rule = "accepted_invalid"
	// RuleMessageSize states that the bodies of requests are within the protocol's limit. They are
	// measured in CBOR, which is shorter than the JSON form that the protocol counts.
	RuleMessageSize Rule = "too_large"
	// RuleSettingsValid states that the settings of an upgrade are accepted.
	RuleSettingsValid Rule = "settings_refused"
)

// reportViolation records a violation of a rule.
func (n *Network) reportViolation(rule Rule, format string, args ...any) {
	violation := fmt.Sprintf("%s: %s", rule, fmt.Sprintf(format, args...))
	n.Violations = append(n.Violations, violation)
	n.Trace("BROKEN %s", violation)
}

// forEachAttempt calls f for every attempt on every machine of every cluster, in a
// deterministic order.
func (n *Network) forEachAttempt(f func(machine *Machine, attempt *taskAttempt)) {
	for _, name := range slices.Sorted(maps.Keys(n.clusters)) {
		cluster := n.clusters[name]
		for _, id := range cluster.machineIDs() {
			for _, attempt := range cluster.Machines[id].attempts {
				f(cluster.Machines[id], attempt)
			}
		}
	}
}

// checkStart checks the invariants when a task starts on a machine.
func (c *Cluster) checkStart(machine *Machine, attempt *taskAttempt, job *protocol.Job) {
	c.Trace("  %s starts %s", machine.id, attempt)
	home, task := c.homeTask(attempt.TaskID)
	c.checkRunsOnce(machine, attempt, task)
	c.histories.recordStart(task, c.now)
	home.checkDependenciesDone(attempt, task.Job)
	c.checkTeamLimit(job)
	c.checkPlacement(machine, attempt, job)
	c.checkNotCancelled(attempt, home, task)
}

// checkRunsOnce checks that no other attempt of the task is present in any cluster.
func (c *Cluster) checkRunsOnce(machine *Machine, attempt *taskAttempt, task agent.TaskID) {
	c.forEachAttempt(func(otherMachine *Machine, other *taskAttempt) {
		if other == attempt || !other.present {
			return
		}
		if _, otherTask := otherMachine.cluster.homeTask(other.TaskID); otherTask == task {
			c.reportViolation(RuleRunsOnce, "%s on %s and %s", attempt, otherMachine.id, machine.id)
		}
	})
}

// checkDependenciesDone checks that all dependencies of a job are stored as done.
func (c *Cluster) checkDependenciesDone(attempt *taskAttempt, id string) {
	job := c.jobs[id]
	if job == nil {
		return
	}
	for _, dependency := range job.Dependencies {
		var final shard.FinalRecord
		entry, stored := c.State.entries[shard.FinalKey(dependency)]
		if !stored || protocol.Decode(entry.Value, &final) != nil || final.Status != protocol.JobDone {
			c.reportViolation(RuleDependenciesDone, "%s starts before %s is done", attempt, dependency)
		}
	}
}

// checkTeamLimit checks that the present tasks of the job's team, in all clusters together, do not
// use more cores or GPUs than the team's limit.
func (c *Cluster) checkTeamLimit(job *protocol.Job) {
	team := c.Settings.Team(job.Team)
	if team.CoresMax <= 0 && team.GPUsMax <= 0 {
		return
	}
	var cores, gpus float64
	c.forEachAttempt(func(machine *Machine, attempt *taskAttempt) {
		other := machine.cluster.jobByID(attempt.Job)
		if attempt.present && other != nil && other.Team == job.Team {
			cores += other.Cores
			gpus += other.GPUs
		}
	})
	exceedsCores := team.CoresMax > 0 && cores > team.CoresMax+roundingError
	exceedsGPUs := team.GPUsMax > 0 && gpus > team.GPUsMax+roundingError
	if exceedsCores || exceedsGPUs {
		c.reportViolation(RuleTeamLimit, "%s uses %v cores", job.Team, cores)
	}
}

// checkPlacement checks that the attempt's zone is one that its job allows, and that a spot machine
// runs it only if the job allows spot machines.
func (c *Cluster) checkPlacement(machine *Machine, attempt *taskAttempt, job *protocol.Job) {
	isWrongMachine := machine.spot && !job.AllowSpot
	isWrongZone := job.Zone != "" && job.Zone != machine.zone
	if isWrongMachine || isWrongZone || c.hasWrongZones(machine, job) {
		c.reportViolation(RulePlacement, "%s on %s", attempt, machine.id)
	}
}

// hasWrongZones reports whether a single-zone job runs in several zones, or more than half of
// the tasks of a job that must be spread over zones run in the zone of the given machine.
func (c *Cluster) hasWrongZones(machine *Machine, job *protocol.Job) bool {
	if !job.SingleZone && !job.SpreadZones {
		return false
	}
	tasksByZone := map[string]int{}
	c.forEachAttempt(func(other *Machine, attempt *taskAttempt) {
		if attempt.present && attempt.Job == job.ID {
			tasksByZone[other.zone]++
		}
	})
	half := (job.Tasks + 1) / 2
	return job.SingleZone && len(tasksByZone) > 1 || job.SpreadZones && tasksByZone[machine.zone] > half
}

// checkNotCancelled checks that a task does not start more than cancel_s after the cancellation of
// its job was confirmed.
func (c *Cluster) checkNotCancelled(attempt *taskAttempt, home *Cluster, task agent.TaskID) {
	cancelled := home.cancellations[task.Job]
	if !cancelled.isConfirmed() {
		return
	}
	home.histories.job(task.Job).startsAfterCancellation++
	if c.now > cancelled.confirmedAt+c.maxCancellationDelay() {
		c.reportViolation(RuleCancelledTerminated, "%s starts", attempt)
	}
}

// maxCancellationDelay is the time after the confirmation of a cancellation during which tasks of
// the job may still run.
func (c *Cluster) maxCancellationDelay() time.Duration {
	return env.Seconds(c.Settings.Deployment.Workers.Cancel)
}

// countLaunchAfterCancellation counts a command to launch a task if the cancellation of the task's
// job was confirmed.
func (c *Cluster) countLaunchAfterCancellation(id agent.TaskID) {
	home, task := c.homeTask(id)
	if home.cancellations[task.Job].isConfirmed() {
		home.histories.job(task.Job).launchesAfterCancellation++
	}
}

// cancellationCheckInterval is the interval at which the machines are checked for tasks of a
// cancelled job.
const cancellationCheckInterval = 200 * time.Millisecond

// recordCancellationConfirmed records that a user's cancellation was confirmed now, and
// schedules the check that all tasks of the job have ended in time.
func (c *Cluster) recordCancellationConfirmed(id string) {
	c.cancellations[id] = cancellation{requested: true, confirmedAt: c.now}
	c.trackCancelledJob(id)
	c.after(c.maxCancellationDelay(), func() { c.checkCancelledTerminated(id) })
}

// trackCancelledJob records for how long tasks of a cancelled job remain on this cluster's
// machines.
func (c *Cluster) trackCancelledJob(id string) {
	if len(c.MachinesRunning(id)) == 0 {
		return
	}
	c.histories.job(id).terminationDelay = c.now - c.cancellations[id].confirmedAt
	c.after(cancellationCheckInterval, func() { c.trackCancelledJob(id) })
}

// checkCancelledTerminated checks that no task of a cancelled job is on any machine of any cluster.
func (c *Cluster) checkCancelledTerminated(id string) {
	c.forEachAttempt(func(machine *Machine, attempt *taskAttempt) {
		if _, task := machine.cluster.homeTask(attempt.TaskID); task.Job == id && attempt.present {
			c.reportViolation(RuleCancelledTerminated, "%s is still on %s", attempt, machine.id)
		}
	})
}

// checkDependentsCancelled checks that no job is reported as pending or running more than
// cancel_s after the cancellation of one of its dependencies was confirmed.
func (c *Cluster) checkDependentsCancelled(id string, status protocol.JobStatus) {
	isUnfinished := status == protocol.JobPending || status == protocol.JobRunning
	if isUnfinished && c.hasCancelledDependency(id, c.maxCancellationDelay()) {
		c.reportViolation(RuleDependentsCancelled, "%s is called %s", id, status)
	}
}

// checkOutcomeFinal checks that the status of a job does not change once it was reported as
// finished.
func (c *Cluster) checkOutcomeFinal(id string, before, status protocol.JobStatus) {
	if isFinished(before) && status != before {
		c.reportViolation(RuleOutcomeFinal, "%s was %s, is %s", id, before, status)
	}
}

// checkAllTasksCompleted checks that all tasks of a job that is reported as done are done.
func (c *Cluster) checkAllTasksCompleted(id string) {
	for i := range c.jobs[id].Tasks {
		if !c.completedTasks[agent.TaskID{Job: id, Index: i}] {
			c.reportViolation(RuleTasksCompleted, "%s/%d", id, i)
		}
	}
}

// checkCancellationRequested checks that a job that is reported as cancelled was cancelled by
// its user or because of one of its dependencies.
func (c *Cluster) checkCancellationRequested(id string) {
	if !c.cancellations[id].requested && !c.hasCancelledDependency(id, 0) {
		c.reportViolation(RuleOutcomeFinal, "%s was not cancelled", id)
	}
}

// hasCancelledDependency reports whether the cancellation of a direct or transitive dependency
// of a job was confirmed more than age ago. With age 0, a cancellation that was requested but not
// confirmed counts too, unless the dependency was reported as done.
func (c *Cluster) hasCancelledDependency(id string, age time.Duration) bool {
	job := c.jobs[id]
	if job == nil {
		return false
	}
	for _, dependency := range job.Dependencies {
		cancelled := c.cancellations[dependency]
		isRequested := age == 0 && cancelled.requested && c.reportedStatus[dependency] != protocol.JobDone
		isConfirmed := cancelled.isConfirmed() && c.now > cancelled.confirmedAt+age
		if isConfirmed || isRequested || c.hasCancelledDependency(dependency, age) {
			return true
		}
	}
	return false
}
