package shard

import (
	"log/slog"
	"sort"
	"time"

	"curlewspool/internal/dispatch"
	"curlewspool/internal/peermsg"
)

// This file builds the shard's status for the other controllers: its free capacity and its
// queued jobs.

const (
	// maxFreeReported is the maximum number of machines whose free capacity is reported. Machines
	// with the most free cores come first. The limit keeps a status within a few KB for any
	// number of machines.
	maxFreeReported = 64
	// maxDemandReported is the maximum number of queued jobs whose unmet demand is reported.
	maxDemandReported = 64
)

// Status returns the shard's part of the status that this controller sends to all controllers at
// each heartbeat, and the unmet demand of the shard's queued jobs. maxRank is the highest rank.
func (s *Shard) Status(maxRank int) (*peermsg.ShardStatus, []*peermsg.UnmetDemand) {
	now := s.controller.Now()
	load := dispatch.NewQueueLoad(maxRank)
	var demand []*peermsg.UnmetDemand
	queued := 0
	for _, job := range s.jobsByID() {
		if !job.isReported() {
			continue
		}
		queued += job.idleTasks
		load.Add(min(job.Record.Rank, maxRank), dispatch.WorkOf(&job.Record.Job, job.idleTasks))
		if now >= job.backoffUntil && len(demand) < maxDemandReported && !job.gangFailed && !job.gangStopping {
			demand = append(demand, s.unmetDemand(job, now))
		}
	}
	status := &peermsg.ShardStatus{Shard: int32(s.ID), QueuedWork: load.Work}
	for _, count := range load.Jobs {
		status.QueuedJobs = append(status.QueuedJobs, int32(count))
	}
	s.addUnusableMachines(status)
	s.addFreeCapacity(status, now)
	slog.Debug("shard: status", "shard", s.ID, "machines", len(s.Machines), "jobs", len(s.Jobs),
		"queued", queued, "free", status.FreeCapacity, "has_head", s.headJob != nil)
	return status, demand
}

// isReported reports whether a job counts in the status. Hosted and suspect jobs do not count,
// because the cluster should not scale out for them, and new jobs should not avoid this shard
// because of them.
func (q *QueuedJob) isReported() bool {
	return q.idleTasks > 0 && !q.finishing && !q.isHosted() && !q.suspect
}

// unmetDemand returns what the status reports about a queued job.
func (s *Shard) unmetDemand(job *QueuedJob, now time.Duration) *peermsg.UnmetDemand {
	expectedStart := 0.0
	if job.expectedStart > now {
		expectedStart = (job.expectedStart - now).Seconds()
	}
	return &peermsg.UnmetDemand{
		Job:            job.Record.Job.ID,
		Shard:          int32(s.ID),
		Zone:           job.placedZone(),
		Tasks:          int32(job.idleTasks),
		MissingTasks:   int32(s.missingTasks(job, now)),
		OverdueTasks:   int32(s.overdueTasks(job, now)),
		WaitedS:        (now - job.queuedAt).Seconds(),
		ExpectedStartS: expectedStart,
	}
}

// addUnusableMachines adds the IDs of retiring machines and the number of cores of unreachable
// machines to a status.
func (s *Shard) addUnusableMachines(status *peermsg.ShardStatus) {
	for _, machine := range s.machinesByID() {
		if machine.isRetiring() {
			status.RetiringMachines = append(status.RetiringMachines, machine.ID)
			continue
		}
		machineType := s.controller.MachineType(machine.Type)
		if machineType != nil && machine.IsUnreachable() {
			status.UnreachableCores += machineType.Cores
		}
	}
}

// addFreeCapacity adds the free capacity of machines to a status, machines with the most free cores
// first. It leaves out suspect machines. It also leaves out machines that are reserved for the head
// of the queue, so that jobs which move here for the reported capacity do not delay the head.
func (s *Shard) addFreeCapacity(status *peermsg.ShardStatus, now time.Duration) {
	capacities := s.freeCapacities(now)
	sort.SliceStable(capacities, func(a, b int) bool { return capacities[a].cores > capacities[b].cores })
	for _, free := range capacities {
		if free.cores <= epsilon || len(status.FreeCapacity) >= maxFreeReported {
			return
		}
		machine := free.machine
		if machine.reservation != nil || machine.suspect {
			continue
		}
		status.FreeCapacity = append(status.FreeCapacity, &peermsg.FreeCapacity{
			Machine:     machine.ID,
			Type:        machine.Type,
			Zone:        machine.Zone,
			Spot:        machine.Spot,
			Permanent:   machine.record.IsPermanent,
			Cores:       free.cores,
			Gpus:        free.gpus,
			MemoryGb:    free.memory,
			ReportBytes: new(int32(free.reportBytes)),
			Empty:       len(machine.Attempts) == 0,
			Reclaimable: free.cores+free.reclaimable.cores >= free.machineType.Cores-epsilon,
		})
	}
}

// WaitReasons returns the wait reason of each job with queued tasks, for operators.
func (s *Shard) WaitReasons() map[string]string {
	reasons := map[string]string{}
	for id, job := range s.Jobs {
		if job.idleTasks > 0 {
			reasons[id] = string(job.waitReason)
		}
	}
	return reasons
}
