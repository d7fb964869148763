package shard

import (
	"math"
	"sort"
	"time"
)

// WaitReason tells operators why a queued job waits.
type WaitReason string

// Reasons for which queued jobs wait. Further reasons, for hosted jobs, are in hosted.go.
const (
	waitUnreconciled      WaitReason = "may be on a machine that is silent"
	waitBackoff           WaitReason = "its last start failed"
	waitSuspect           WaitReason = "it fails on every machine: one task at a time is tried"
	waitGangStopping      WaitReason = "its last attempt is being cleared"
	waitTeamLimit         WaitReason = "its team's limit is reached"
	waitNoCapacity        WaitReason = "no room"
	waitNoCapacityForGang WaitReason = "no room for the whole gang"
	waitMoreCapacity      WaitReason = "no room for more"
	waitHead              WaitReason = "is the head and waits for room"
	waitNoSuitableMachine WaitReason = "no machine of this part can take it"
	waitHosted            WaitReason = "borrowed: starts in room that nothing of this cluster waits for"
)

// queueByScore lists the jobs whose tasks may start now, the highest score first.
func (s *Shard) queueByScore(now time.Duration) []*QueuedJob {
	unreconciled := s.unreconciledMachines()
	var queue []*QueuedJob
	shortest := math.Inf(1)
	for _, job := range s.jobsByID() {
		if !s.admitToQueue(job, unreconciled, now) {
			continue
		}
		queue = append(queue, job)
		if estimate := job.remainingEstimate(); estimate > 0 {
			shortest = min(shortest, estimate)
		}
	}
	for _, job := range queue {
		s.scoreJob(job, shortest)
	}
	sort.SliceStable(queue, func(a, b int) bool { return queue[a].score > queue[b].score })
	return queue
}

// admitToQueue reports whether tasks of a job may start now. If not, it records why the job waits.
// It records no reason for a job without idle tasks, nor while the job's final record or a move of
// one of its chunks is being written.
func (s *Shard) admitToQueue(job *QueuedJob, unreconciled []*Machine, now time.Duration) bool {
	switch {
	case job.idleTasks == 0 || job.finishing || job.moveInFlight:
		return false
	case s.mayHaveUnseenAttempts(job, unreconciled):
		job.waitReason = waitUnreconciled
		return false
	case job.isHosted() && !s.canStartHosted(job, now):
		return false // canStartHosted has set the wait reason
	case job.suspect && (now < job.backoffUntil || job.placedTasks > 0):
		job.waitReason = waitSuspect
		return false
	case now < job.backoffUntil:
		job.waitReason = waitBackoff
		return false
	case job.isGang() && (job.gangFailed || job.gangStopping || job.placedTasks > 0):
		job.waitReason = waitGangStopping
		return false
	}
	return true
}
