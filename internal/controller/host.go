package controller

import (
	"time"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// This file is what the slices ask of their controller.

// Now is the steady clock.
func (c *Controller) Now() time.Duration { return c.env.Now() }

// WallSeconds is the time of day, in seconds.
func (c *Controller) WallSeconds() float64 { return float64(c.env.Wall().UnixMilli()) / 1000 }

// Store is the controller's view of the state service.
func (c *Controller) Store() *kvstore.Store { return c.store }

// Settings are those of the platform and of the operators.
func (c *Controller) Settings() *settings.Settings { return c.settings }

// MachineTypes are the machine types that the cloud rents, by name.
func (c *Controller) MachineTypes() map[string]*protocol.MachineType { return c.machineTypes }

// MachineType is one of them; nil: it is not known.
func (c *Controller) MachineType(name string) *protocol.MachineType { return c.machineTypes[name] }

// Job is a live job's record in the cache; nil: there is none that can be read.
func (c *Controller) Job(id string) *shard.JobRecord { return c.jobs[id] }

// CanLaunch tells whether the cache is recent enough for tasks to be started. With
// an older one a job could be started that its user was told is cancelled.
func (c *Controller) CanLaunch() bool {
	return c.store.IsLoaded() && c.store.Lease.IsValid() && c.store.Staleness() < c.maxLaunchStaleness()
}

// maxLaunchStaleness: a watch is answered after at most its hold time when nothing
// changes, so a syncing tick keeps the cache younger than this.
func (c *Controller) maxLaunchStaleness() time.Duration {
	return max(time.Second, time.Duration(c.settings.Deployment.Workers.Report*float64(time.Second)))
}

// JobProgress is what the ledger says of a live job's tasks.
func (c *Controller) JobProgress(id string) (doneTasks, running int, started bool) {
	rec := c.jobs[id]
	if rec == nil {
		return 0, 0, false
	}
	for _, p := range c.progress[id] {
		started = true
		running += p.Running
		for _, r := range p.DoneRanges {
			doneTasks += r[1] - r[0] + 1
		}
	}
	if len(rec.DoneRanges) > 0 || len(rec.LentChunks) > 0 { // some of it was, or is, at a partner
		ranges, abroad := c.StoredProgress(id)
		doneTasks, running, started = 0, abroad, true
		for _, r := range ranges {
			doneTasks += r[1] - r[0] + 1
		}
	}
	doneTasks = min(doneTasks, rec.Job.Tasks)
	return doneTasks, min(running, rec.Job.Tasks-doneTasks), started
}

// Deadlines of a job: one without its own has those that the objectives set
// for its class (ours).
func (c *Controller) Deadlines(j *protocol.Job) []float64 {
	if j.Deadline > 0 {
		return []float64{j.Deadline}
	}
	d, ok := c.classDeadlines[j.Class]
	if !ok {
		d = c.settings.Deadlines(j.Class)
		c.classDeadlines[j.Class] = d
	}
	return d
}

// TeamDemand sums a team's unfinished jobs.
func (c *Controller) TeamDemand(team string) (cores, gpus float64) {
	now := c.env.Now()
	if c.teamDemands == nil || now-c.teamDemandsAt > time.Second/4 {
		c.teamDemands, c.teamDemandsAt = map[string][2]float64{}, now
		for id, rec := range c.jobs {
			if rec.AwaitsDependencies() {
				continue // it holds nothing of a guarantee
			}
			done, _, _ := c.JobProgress(id)
			t := c.teamDemands[rec.Job.Team]
			t[0] += rec.Job.Cores * float64(rec.Job.Tasks-done)
			t[1] += rec.Job.GPUs * float64(rec.Job.Tasks-done)
			c.teamDemands[rec.Job.Team] = t
		}
	}
	t := c.teamDemands[team]
	return t[0], t[1]
}
