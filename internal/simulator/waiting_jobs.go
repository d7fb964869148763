package simulator

import (
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// monitorWaitingJobs follows, once all troubles are over, which jobs wait beside room for them.
func (c *Cluster) monitorWaitingJobs() {
	c.after(2*time.Second, c.monitorWaitingJobs)
	if c.now < c.histories.FaultsOver {
		return
	}
	for id, job := range c.jobs {
		history := c.histories.job(id)
		was := c.reportedStatus[id]
		if was == "" || was == protocol.JobDone || was == protocol.JobCancelled || c.cancelledAt[id] > 0 || c.FailingJobs[id] || c.hasOpenDependencies(job) || !c.hasCapacityFor(job) {
			history.waitingSince = 0
			continue
		}
		if history.waitingSince == 0 {
			history.waitingSince = c.now
		}
		history.longestWait = max(history.longestWait, c.now-history.waitingSince)
	}
}

// hasCapacityFor tells whether some of a job waits, of a gang all, though machines that fit
// have room for one more task, for a gang's all, and its team is under its limit.
func (c *Cluster) hasCapacityFor(job *protocol.Job) bool {
	on, there, done := 0, map[string]int{}, 0
	var cores, gpus float64
	free := map[*Machine]*protocol.MachineType{}
	for _, id := range c.machineIDs() {
		machine := c.Machines[id]
		left := machine.machineType
		for _, t := range machine.attempts {
			other := c.jobByID(t.Job)
			if t.state == protocol.TaskEnded || other == nil {
				continue
			}
			left.Cores, left.GPUs, left.MemoryGB = left.Cores-other.Cores, left.GPUs-other.GPUs, left.MemoryGB-other.MemoryGB
			if other.Team == job.Team {
				cores, gpus = cores+other.Cores, gpus+other.GPUs
			}
			if t.Job == job.ID {
				on++
				there[machine.zone]++
			}
		}
		if machine.running && !machine.deleted && !machine.Hung && !machine.Faulty && !machine.evictionAnnounced && !c.inboundPartitioned[machine.address] {
			free[machine] = &left
		}
	}
	for i := range job.Tasks {
		if c.completedTasks[agent.TaskID{Job: job.ID, Index: i}] {
			done++
		}
	}
	need := 1.0
	if job.Shape == protocol.ShapeGang {
		need = float64(job.Tasks)
		if on > 0 {
			return false // it comes to be there, or goes
		}
	}
	team := c.Settings.Team(job.Team)
	if on+done >= job.Tasks || team.CoresMax > 0 && cores+need*job.Cores > team.CoresMax || team.GPUsMax > 0 && gpus+need*job.GPUs > team.GPUsMax {
		return false
	}
	zones := map[string]int{}
	for machine, left := range free {
		n := 0
		if shard.CanRunOn(job, &machine.machineType, machine.zone, machine.spot) {
			n = max(0, left.TasksThatFit(job, int(need)))
		}
		switch {
		case job.SingleZone && on > 0 && there[machine.zone] == 0:
		case job.SpreadZones && there[machine.zone] >= shard.MaxPerZone(job):
		default:
			zones[machine.zone] += n
		}
	}
	return float64(shard.MaxPlaceable(job, zones)) >= need
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
