package controller

import (
	"time"

	"curlewspool/internal/federation"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
	"curlewspool/internal/userapi"
)

// Controller implements the interfaces through which the components use it.
var (
	_ shard.Controller      = (*Controller)(nil)
	_ userapi.Controller    = (*Controller)(nil)
	_ federation.Controller = (*Controller)(nil)
)

// Now returns the monotonic time since the start of the process.
func (c *Controller) Now() time.Duration { return c.env.Now() }

// WallSeconds returns the wall-clock time in seconds since the Unix epoch.
func (c *Controller) WallSeconds() float64 { return float64(c.env.Wall().UnixMilli()) / 1000 }

// Store returns the controller's client and cache of the key-value store.
func (c *Controller) Store() *kvstore.Store { return c.store }

// Settings returns the settings of the platform and of the operators.
func (c *Controller) Settings() *settings.Settings { return c.settings }

// MachineTypes returns the machine types in the cloud's catalog, by name.
func (c *Controller) MachineTypes() map[string]*protocol.MachineType { return c.machineTypes }

// MachineType returns the machine type with the given name, or nil if it is not in the catalog.
func (c *Controller) MachineType(name string) *protocol.MachineType { return c.machineTypes[name] }

// Job returns the record of a live job from the cache, or nil if there is none that can be
// decoded.
func (c *Controller) Job(id string) *shard.JobRecord { return c.jobs[id] }

// CanLaunch reports whether tasks may be started: the store lease is valid and the cache is recent.
// With an outdated cache, a job could be started after its user has been told that it is cancelled.
func (c *Controller) CanLaunch() bool {
	return c.store.IsLoaded() && c.store.Lease.IsValid() && c.store.Staleness() < c.maxLaunchStaleness()
}

// maxLaunchStaleness returns the age of the cache from which no more tasks are started. The cache
// is normally younger, for two reasons: a watch is answered after at most its hold time even if
// nothing changes, and tick refreshes the cache at the latest when it has half of this age.
func (c *Controller) maxLaunchStaleness() time.Duration {
	return max(time.Second, c.reportInterval())
}

// JobProgress returns the task counts of a live job from the stored progress.
func (c *Controller) JobProgress(id string) userapi.TaskCounts {
	var counts userapi.TaskCounts
	record := c.jobs[id]
	if record == nil {
		return counts
	}
	if len(record.DoneRanges) > 0 || len(record.OffloadedChunks) > 0 {
		// Some of the job's tasks are, or were, offloaded to a partner cluster.
		ranges, running := c.StoredProgress(id)
		counts = userapi.TaskCounts{Done: shard.CountTasks(ranges), Running: running, Started: true}
	} else {
		for _, progress := range c.progress[id] {
			counts.Started = true
			counts.Running += progress.Running
			counts.Done += shard.CountTasks(progress.DoneRanges)
		}
	}
	counts.Done = min(counts.Done, record.Job.Tasks)
	counts.Running = min(counts.Running, record.Job.Tasks-counts.Done)
	return counts
}

// SetActivity records what the event loop works on.
func (c *Controller) SetActivity(activity shard.Activity) { c.onActivity(activity) }

// Deadlines lists a job's deadlines in seconds after its submission: its own deadline, or those
// that the service-level objectives set for its class.
func (c *Controller) Deadlines(job *protocol.Job) []float64 {
	if job.Deadline > 0 {
		return []float64{job.Deadline}
	}
	deadlines, ok := c.classDeadlines[job.Class]
	if !ok {
		deadlines = c.settings.Deadlines(job.Class)
		c.classDeadlines[job.Class] = deadlines
	}
	return deadlines
}

// teamDemandMaxAge is how long computed team demands are reused.
const teamDemandMaxAge = time.Second / 4

// teamDemand holds the resources that a team's unfinished tasks request.
type teamDemand struct {
	cores float64
	gpus  float64
}

// teamDemandCache holds the demands of all teams and when they were computed.
type teamDemandCache struct {
	byTeam     map[string]teamDemand // nil if not computed yet
	computedAt time.Duration
}

// TeamDemand returns the cores and GPUs that a team's unfinished tasks request. The result may
// be a quarter of a second old.
func (c *Controller) TeamDemand(team string) (cores, gpus float64) {
	now := c.env.Now()
	cache := &c.teamDemands
	if cache.byTeam == nil || now-cache.computedAt > teamDemandMaxAge {
		*cache = teamDemandCache{byTeam: c.sumTeamDemands(), computedAt: now}
	}
	demand := cache.byTeam[team]
	return demand.cores, demand.gpus
}

func (c *Controller) sumTeamDemands() map[string]teamDemand {
	byTeam := map[string]teamDemand{}
	for id, record := range c.jobs {
		if record.AwaitsDependencies() {
			continue // a job that awaits dependencies is in no shard yet and requests nothing
		}
		unfinished := float64(record.Job.Tasks - c.JobProgress(id).Done)
		demand := byTeam[record.Job.Team]
		demand.cores += record.Job.Cores * unfinished
		demand.gpus += record.Job.GPUs * unfinished
		byTeam[record.Job.Team] = demand
	}
	return byTeam
}
