package shard

import (
	"math"
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// This file reserves room for the head, and stops others for it.

// reserveForHead finds where the head can start at the earliest and marks it; work
// of lower priority is stopped if that lets it start now.
func (s *Shard) reserveForHead(job *QueuedJob, capacities []*freeCapacity, now time.Duration) bool {
	spec := &job.Record.Job
	need := 1
	if job.isGang() {
		need = spec.Tasks
	}
	type option struct {
		r    *freeCapacity
		at   time.Duration
		n    int
		c, g float64
		mem  float64
	}
	var options []option
	for _, r := range capacities {
		if !s.canRunOn(r.machine, spec) || now < job.avoidUntil[r.machine.ID] || r.machine.suspect {
			continue
		}
		type end struct {
			at  time.Duration
			job *protocol.Job
		}
		var ends []end
		for _, run := range r.machine.Attempts {
			o := s.Jobs[run.Job]
			if run.HasEnded() || o == nil {
				continue
			}
			ends = append(ends, end{s.expectedEnd(run, &o.Record.Job, now), &o.Record.Job})
		}
		sort.Slice(ends, func(a, b int) bool { return ends[a].at < ends[b].at })
		c, g, mem, at := r.cores, r.gpus, r.memory, now
		for k := 0; ; k++ {
			n := 0
			for n < need && c-float64(n)*spec.Cores+epsilon >= spec.Cores && g-float64(n)*spec.GPUs+epsilon >= spec.GPUs && mem-float64(n)*spec.MemoryGB+epsilon >= spec.MemoryGB {
				n++
			}
			if n > 0 && (len(options) == 0 || options[len(options)-1].r != r || n > options[len(options)-1].n) {
				options = append(options, option{r, at, n, c, g, mem})
			}
			if n >= need || k >= len(ends) {
				break
			}
			c += ends[k].job.Cores
			g += ends[k].job.GPUs
			mem += ends[k].job.MemoryGB
			at = ends[k].at
		}
	}
	sort.SliceStable(options, func(a, b int) bool { return options[a].at < options[b].at })
	// The earliest moment at which enough is free, in one zone if it must be.
	var best map[*freeCapacity]option
	var start time.Duration
	for _, zone := range candidateZones(spec, capacities) {
		have, at, set := 0, now, map[*freeCapacity]option{}
		there, on := map[string]int{}, map[*freeCapacity]int{}
		for _, o := range options {
			if zone != "" && o.r.machine.Zone != zone {
				continue
			}
			n := o.n - on[o.r]
			if spec.SpreadZones {
				n = min(n, MaxPerZone(spec)-there[o.r.machine.Zone])
			}
			if n <= 0 {
				continue
			}
			have += n
			on[o.r] += n
			there[o.r.machine.Zone] += n
			set[o.r] = o
			at = max(at, o.at)
			if have >= need {
				break
			}
		}
		if have >= need && (best == nil || at < start) {
			best, start = set, at
		}
	}
	if best == nil {
		return s.preempt(job, capacities, need, now, nil)
	}
	job.expectedStart = start
	// What is borrowed gives way to a job of this cluster that would wait.
	if s.borrowedCount > 0 && start > now && s.preempt(job, capacities, need, now, (*QueuedJob).isBorrowed) {
		return true
	}
	fetch := time.Duration(0)
	for r := range best {
		fetch = max(fetch, s.imageFetchTime(r, spec))
	}
	if s.missesStartTarget(job, start, now, fetch) && s.preempt(job, capacities, need, now, nil) {
		return true
	}
	for r, o := range best {
		r.isReserved, r.reservedFrom = true, o.at
		r.spareCores = o.c - float64(o.n)*spec.Cores
		r.spareGPUs = o.g - float64(o.n)*spec.GPUs
		r.spareMemory = o.mem - float64(o.n)*spec.MemoryGB
	}
	return true
}

// candidateZones lists the zones to try one by one for a job that may only be in
// one; else one empty name, for all of them.
func candidateZones(spec *protocol.Job, capacities []*freeCapacity) []string {
	if !spec.SingleZone {
		return []string{""}
	}
	var zones []string
	for _, free := range capacities {
		if !contains(zones, free.machine.Zone) {
			zones = append(zones, free.machine.Zone)
		}
	}
	return zones
}

// missesStartTarget tells whether starting at the given time, and fetching the image then,
// misses what is expected of the job. If it does not, stopping others would only
// cost their work. The time follows from estimates, which are often too low; so
// what waits is not left to them beyond the last moment at which stopping others,
// who save first, would still be in time. (Gangs used to be let wait for ends
// that did not come, and stopped others when they were late themselves.)
func (s *Shard) missesStartTarget(job *QueuedJob, start, now, fetch time.Duration) bool {
	spec := &job.Record.Job
	age := s.controller.WallSeconds() - job.Record.AcceptedAt
	wait := age + (start - now).Seconds() + fetch.Seconds()
	// A pass may be half a report away, and the word that they have saved.
	lastChance := func() float64 {
		return age + s.longestCheckpointSave(spec.Priority) + fetch.Seconds() + s.reportInterval().Seconds()
	}
	expected := false
	for _, objective := range s.controller.Settings().Deployment.Objectives {
		if objective.Class == spec.Class && objective.Kind == "wait" {
			expected = true
			if wait > objective.Within || start > now && lastChance() > objective.Within {
				return true
			}
		}
	}
	for _, deadline := range s.controller.Deadlines(spec) {
		expected = true
		if wait+spec.Estimate > deadline {
			return true
		}
	}
	return !expected && (start-now).Seconds() > spec.Estimate/2 || s.withinGuarantee(spec.Team)
}

// longestCheckpointSave is how long work of lower ranks that is placed takes to save, in
// seconds.
func (s *Shard) longestCheckpointSave(rank int) (longest float64) {
	for _, other := range s.jobsByID() {
		if other.placedTasks > 0 && other.Record.Job.Priority < rank {
			longest = max(longest, other.Record.Job.CheckpointDuration)
		}
	}
	return longest
}

// preempt stops work that may be stopped for w (PROTOCOL, "Preemption") if
// that frees room for the tasks it needs. While victims save, their room
// stays reserved for w. only: of what may be stopped, that; nil: all.
func (s *Shard) preempt(job *QueuedJob, capacities []*freeCapacity, need int, now time.Duration, isEligible func(*QueuedJob) bool) bool {
	spec := &job.Record.Job
	entitled := s.withinGuarantee(spec.Team)
	type plan struct {
		r       *freeCapacity
		victims []*placement
		lost    float64
	}
	var plans []plan
	for _, r := range capacities {
		if !s.canRunOn(r.machine, spec) || s.headroomBlocks(r, job, now) || now < job.avoidUntil[r.machine.ID] || r.machine.suspect {
			continue
		}
		var vs []*placement
		for run := range r.machine.AllAttempts() {
			o := s.Jobs[run.Job]
			if o == nil || run.HasEnded() || o == job || isEligible != nil && !isEligible(o) || s.isPreemptionProtected(o, now) {
				continue
			}
			if o.Record.Job.Priority < spec.Priority || entitled && s.exceedsGuarantee(o.Record.Job.Team, spec.Team) {
				vs = append(vs, &placement{r.machine, run})
			}
		}
		lost := func(v *placement) float64 {
			return preemptionCost(v.attempt, &s.Jobs[v.attempt.Job].Record.Job, now)
		}
		sort.SliceStable(vs, func(a, b int) bool { return lost(vs[a]) < lost(vs[b]) })
		c, g, mem := r.cores, r.gpus, r.memory
		pl := plan{r: r}
		for _, v := range vs {
			if c+epsilon >= spec.Cores && g+epsilon >= spec.GPUs && mem+epsilon >= spec.MemoryGB {
				break
			}
			o := &s.Jobs[v.attempt.Job].Record.Job
			c, g, mem = c+o.Cores, g+o.GPUs, mem+o.MemoryGB
			pl.victims = append(pl.victims, v)
			pl.lost += lost(v)
		}
		if c+epsilon >= spec.Cores && g+epsilon >= spec.GPUs && mem+epsilon >= spec.MemoryGB {
			plans = append(plans, pl)
		}
	}
	sort.SliceStable(plans, func(a, b int) bool { return plans[a].lost < plans[b].lost })
	var chosen []plan
	least := math.Inf(1)
	for _, zone := range candidateZones(spec, capacities) {
		var set []plan
		lost, there := 0.0, map[string]int{}
		for _, pl := range plans {
			if len(set) < need && (zone == "" || pl.r.machine.Zone == zone) && (!spec.SpreadZones || there[pl.r.machine.Zone] < MaxPerZone(spec)) {
				set = append(set, pl)
				there[pl.r.machine.Zone]++
				lost += pl.lost
			}
		}
		if len(set) == need && lost < least {
			chosen, least = set, lost
		}
	}
	any := false
	for _, pl := range chosen {
		for _, v := range pl.victims {
			any = true
			if !v.attempt.StopRequested {
				s.stopAttempt(s.Jobs[v.attempt.Job], v, "preempted by "+spec.ID)
			}
		}
		pl.r.isReserved, pl.r.reservedFrom = true, now
		pl.r.spareCores, pl.r.spareGPUs, pl.r.spareMemory = 0, 0, 0
	}
	return any
}

// preemptionCost is how many core-seconds stopping a run costs: its save, or all that it
// has done.
func preemptionCost(attempt *agent.Attempt, spec *protocol.Job, now time.Duration) float64 {
	if attempt.StartedAt == 0 || attempt.StopRequested {
		return 0
	}
	if spec.CheckpointInterval > 0 {
		return spec.CheckpointDuration * spec.Cores
	}
	return (now - attempt.StartedAt).Seconds() * spec.Cores
}

// exceedsGuarantee: the team runs more here than its guarantee.
func (s *Shard) exceedsGuarantee(team, requester string) bool {
	if team == requester {
		return false
	}
	quota := s.controller.Settings().Team(team)
	var cores, gpus float64
	for _, job := range s.Jobs {
		if job.Record.Job.Team == team {
			cores += job.Record.Job.Cores * float64(job.placedTasks)
			gpus += job.Record.Job.GPUs * float64(job.placedTasks)
		}
	}
	return quota == nil || cores > quota.Cores+epsilon || gpus > quota.GPUs+epsilon
}
