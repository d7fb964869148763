package simulator

import (
	"fmt"
	"slices"
	"strings"

	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// leaderProcess is the controller that leads, as the first that is up sees it; n0 if none does.
func (c *Cluster) leaderProcess() *ControllerProcess {
	for _, name := range c.runningControllers() {
		if process := c.Controllers[c.Controllers[name].Controller.DebugState().Leader]; process != nil {
			return process
		}
	}
	return c.Controllers["n0"]
}

// nonLeaderOwner is a controller that owns a shard and does not lead.
func (c *Cluster) nonLeaderOwner() *ControllerProcess {
	for _, name := range c.runningControllers() {
		if process := c.Controllers[name]; process != c.leaderProcess() && len(process.Controller.DebugState().Shards) > 0 {
			return process
		}
	}
	return c.leaderProcess()
}

// largestOwner is the owner of most machines but the leader.
func (c *Cluster) largestOwner() *ControllerProcess {
	best, most := c.leaderProcess(), -1
	for _, name := range c.runningControllers() {
		all := 0
		for _, p := range c.Controllers[name].Controller.DebugState().Shards {
			all += p.Machines
		}
		if process := c.Controllers[name]; process != c.leaderProcess() && all > most {
			best, most = process, all
		}
	}
	return best
}

func leaderOnly(cluster *Cluster) []string { return []string{cluster.leaderProcess().name} }

func largestOwnerOnly(cluster *Cluster) []string { return []string{cluster.largestOwner().name} }

func leaderAndLargestOwner(cluster *Cluster) []string {
	return []string{cluster.leaderProcess().name, cluster.largestOwner().name}
}

// ownerOf is the controller that owns the shard of a machine.
func (c *Cluster) ownerOf(machine *Machine) *ControllerProcess {
	return c.Controllers[c.controllerNames[machine.controllerIndex%len(c.controllerNames)]]
}

// machinesWith lists the machines that hold tasks of a job now.
func (c *Cluster) machinesWith(job string) (out []*Machine) {
	for _, id := range c.MachinesRunning(job) {
		out = append(out, c.Machines[id])
	}
	return out
}

// runningMachines lists the machines that are up.
func (c *Cluster) runningMachines() (running []*Machine) {
	for _, id := range c.machineIDs() {
		if machine := c.Machines[id]; machine.running && !machine.deleted {
			running = append(running, machine)
		}
	}
	return running
}

// tasksStartedOnce counts the tasks of a job that started once only.
func (c *Cluster) tasksStartedOnce(id string) (n int) {
	for i := range c.jobs[id].Tasks {
		if strings.Count(c.TraceText(), fmt.Sprintf("starts %s/%d\n", id, i)) == 1 {
			n++
		}
	}
	return n
}

// staleCaches lists what controllers have in their caches that the state service does not
// have, or has otherwise, and what their shards have of jobs that are over, when all has
// been calm for long.
func (c *Cluster) staleCaches() (wrong []string) {
	for _, name := range c.runningControllers() {
		l := c.Controllers[name].Controller.Store()
		mine := 0
		for _, key := range c.State.keys("a/") {
			mine++
			if e, ok := l.Get(key); !ok || e.Revision != c.State.entries[key].Revision {
				wrong = append(wrong, fmt.Sprintf("%s has not %s as it is", name, key))
			}
		}
		if l.IsLoaded() && l.CachedKeys() > mine {
			wrong = append(wrong, fmt.Sprintf("%s has %d keys, there are %d", name, l.CachedKeys(), mine))
		}
		for _, p := range c.Controllers[name].Controller.DebugState().Shards {
			if p.Jobs > len(c.State.keys(shard.JobKey(""))) {
				wrong = append(wrong, fmt.Sprintf("part %d of %s has %d jobs, there are %d", p.Shard, name, p.Jobs, len(c.State.keys(shard.JobKey("")))))
			}
		}
	}
	return wrong
}

// checkDay tells what was wrong with a day that is over: broken rules, what the users
// added to them, caches that differ from the state service, and jobs that have not
// ended. outages: a user may have given up a submission that fell into one.
func (c *Cluster) checkDay(outages bool) (wrong []string) {
	if len(c.staleCaches()) > 0 { // not for something that is on its way just now
		c.Run(c.now.Seconds() + 5)
		wrong = append(wrong, c.staleCaches()...)
	}
	wrong = append(wrong, c.Violations...)
	wrong = append(wrong, c.ServiceLevelViolations()...)
	for id := range c.jobs {
		got := c.ReportedStatus(id)
		gaveUp := outages && got == "" && c.failedSubmissions[id] > 15 // of 31 tries
		if got != protocol.JobDone && got != protocol.JobCancelled && !gaveUp {
			wrong = append(wrong, c.describeUnfinished(id))
		}
	}
	slices.Sort(wrong)
	return wrong
}

// describeUnfinished says of a job that has not ended what it is and why it waits.
func (c *Cluster) describeUnfinished(id string) string {
	job, why := c.jobs[id], ""
	for _, name := range c.runningControllers() {
		if x := c.Controllers[name].Controller.DebugState().WaitingJobs[id]; x != "" {
			why += name + ": " + x + "; "
		}
	}
	return fmt.Sprintf("%s is %q at the end (%s %d x %v one zone %v apart %v): %s", id, c.ReportedStatus(id), job.Shape, job.Tasks, job.Cores, job.SingleZone, job.SpreadZones, why)
}
