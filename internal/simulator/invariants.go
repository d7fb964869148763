package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

func (n *Network) reportViolation(format string, a ...any) {
	n.Violations = append(n.Violations, fmt.Sprintf(format, a...))
	n.Trace("BROKEN "+format, a...)
}

// forEachAttempt calls f for every task on any machine of any cluster, in a fixed order.
func (n *Network) forEachAttempt(f func(machine *Machine, t *attempt)) {
	for _, name := range slices.Sorted(maps.Keys(n.clusters)) {
		cluster := n.clusters[name]
		for _, id := range cluster.machineIDs() {
			for _, t := range cluster.Machines[id].attempts {
				f(cluster.Machines[id], t)
			}
		}
	}
}

// recordStart checks the rules at the moment a task comes to be on a machine.
func (c *Cluster) recordStart(machine *Machine, t *attempt, job *protocol.Job) {
	c.Trace("  %s starts %s", machine.id, t)
	zones := map[string]int{}
	cores, gpus := 0.0, 0.0
	home, whose := c.origin(t.TaskID)
	c.forEachAttempt(func(other *Machine, x *attempt) {
		j := other.cluster.jobByID(x.Job)
		if !x.present || j == nil {
			return
		}
		if _, theirs := other.cluster.origin(x.TaskID); x != t && theirs == whose {
			c.reportViolation("ran_twice: %s on %s and %s", t, other.id, machine.id)
		}
		if x.Job == t.Job {
			zones[other.zone]++
		}
		if j.Team == job.Team {
			cores += j.Cores
			gpus += j.GPUs
		}
	})
	c.histories.recordStart(whose, c.now)
	home.checkDependencies(t, whose.Job)
	team := c.Settings.Team(job.Team)
	if team.CoresMax > 0 && cores > team.CoresMax+1e-9 || team.GPUsMax > 0 && gpus > team.GPUsMax+1e-9 {
		c.reportViolation("quota: %s uses %v cores", job.Team, cores)
	}
	if job.SingleZone && len(zones) > 1 || job.SpreadZones && zones[machine.zone] > (job.Tasks+1)/2 || machine.spot && !job.AllowSpot || job.Zone != "" && job.Zone != machine.zone {
		c.reportViolation("wrong_place: %s on %s", t, machine.id)
	}
	if at := home.cancelledAt[whose.Job]; at > 1 {
		home.histories.job(whose.Job).startsAfterCancellation++
		if c.now > at+time.Duration(c.Settings.Deployment.Workers.Cancel*float64(time.Second)) {
			c.reportViolation("ran_cancelled: %s starts", t)
		}
	}
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
