package simulator

import (
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file judges jobs that need others.

// DependsOn makes a job need others.
func DependsOn(needs ...string) func(submission *protocol.Submission) {
	return func(submission *protocol.Submission) { submission.Dependencies = needs }
}

// checkDependencies: when a task of a job starts, all that the job needs is durably done.
func (c *Cluster) checkDependencies(t *attempt, id string) {
	job := c.jobs[id]
	if job == nil {
		return
	}
	for _, need := range job.Dependencies {
		var f shard.FinalRecord
		entry, stored := c.State.entries[shard.FinalKey(need)]
		if !stored || protocol.Decode(entry.Value, &f) != nil || f.Status != protocol.JobDone {
			c.reportViolation("too_early: %s starts before %s is done", t, need)
		}
	}
}

// hasOpenDependencies tells whether something that a job needs is not done.
func (c *Cluster) hasOpenDependencies(job *protocol.Job) bool {
	for _, need := range job.Dependencies {
		if n := c.jobs[need]; n == nil || len(c.histories.job(need).completedTasks) < n.Tasks {
			return true
		}
	}
	return false
}

// hasCancelledDependency tells whether a user was told, longer ago than a time, that a job which
// this one needs, directly or through others, is cancelled; with 0: or asked for that.
func (c *Cluster) hasCancelledDependency(id string, ago time.Duration) bool {
	job := c.jobs[id]
	if job == nil {
		return false
	}
	for _, need := range job.Dependencies {
		at := c.cancelledAt[need]
		asked := ago == 0 && at > 0 && c.reportedStatus[need] != protocol.JobDone
		if at > 1 && c.now > at+ago || asked || c.hasCancelledDependency(need, ago) {
			return true
		}
	}
	return false
}
