package federation

import (
	"fmt"
	"sort"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// This file decides which chunks are offloaded, and how much capacity is offered.

// WaitingChunk is a chunk of a job of this cluster that waits for capacity.
type WaitingChunk struct {
	Record          *shard.JobRecord
	Chunk           int
	Tasks           int
	StartsIn        time.Duration // expected delay until the chunk starts in this cluster
	DeadlineSeconds []float64     // deadlines of the job in ascending order, in seconds after its submission
}

// ageSeconds returns the time since the job was submitted. wall is the current Unix time in seconds.
func (w *WaitingChunk) ageSeconds(wall float64) float64 { return wall - w.Record.AcceptedAt }

// partnerStartDelay returns the expected delay until an offloaded chunk starts at a partner. The delay
// covers the offer, the writes in both clusters, the first renewal, and an agent's report.
func partnerStartDelay(s *settings.Settings) time.Duration {
	return env.Seconds(3 * s.Deployment.Workers.Report)
}

// shouldOffload reports whether a waiting chunk may and should be offloaded to a partner, and the
// reason. A chunk should be offloaded if its expected start delay here is more than MinWaitRatio times
// the expected start delay at the partner. A chunk should also be offloaded if it would miss a
// deadline here that it could meet at the partner. wall is the current Unix time in seconds.
func shouldOffload(
	w *WaitingChunk, partner *settings.Partner, team *settings.Team, partnerDelay time.Duration, wall float64,
) (reason string, ok bool) {
	if !mayOffload(w, partner, team) {
		return "", false
	}
	if w.StartsIn > time.Duration(partner.MinWaitRatio*float64(partnerDelay)) {
		return fmt.Sprintf("would start here in %.0f s, there in %.0f s", w.StartsIn.Seconds(), partnerDelay.Seconds()), true
	}
	age, estimate := w.ageSeconds(wall), w.Record.Job.Estimate
	for _, deadline := range w.DeadlineSeconds {
		if age+partnerDelay.Seconds()+estimate > deadline {
			continue // the chunk would miss this deadline at the partner, too
		}
		if age+w.StartsIn.Seconds()+estimate > deadline {
			return fmt.Sprintf("would miss its %.0f s here", deadline), true
		}
		break
	}
	return "", false
}

// mayOffload reports whether a waiting chunk is allowed to be offloaded to a partner.
func mayOffload(w *WaitingChunk, partner *settings.Partner, team *settings.Team) bool {
	job := &w.Record.Job
	switch {
	case w.Record.RemoteLease != nil: // hosted jobs are not offloaded again
		return false
	case !partner.MayOffload(job.Class) || job.Shape == protocol.ShapeService && !partner.OffloadServices:
		return false
	case job.Zone != "":
		return false
	case team == nil || team.Limited(): // tasks at a partner do not count toward a team's limit
		return false
	case job.Shape != protocol.ShapeArray && w.Record.ChunkCount() != 1:
		return false
	}
	// The ID of the hosted job must not be too long, whatever the lease's number and the name of
	// this cluster are.
	first, _ := w.Record.TaskRange(w.Chunk)
	key := remotelease.Key{Job: job.ID, FirstTask: first, Number: 1 << 40}
	return key.JobID(longestClusterName) != ""
}

// longestClusterName is a cluster name of the maximum length.
const longestClusterName = "aaaaaaaaaaaaaaaaaaaa"

// unusedShareCores returns how many more cores of this cluster a partner's jobs may use. usedCores is
// the part of the partner's share that is already taken.
func unusedShareCores(partner *settings.Partner, totalCores, usedCores float64) float64 {
	return partner.HostedShare*totalCores - usedCores
}

// offerableTasks returns how many of the requested tasks may be offered. Only tasks that could start
// now, within the partner's share of the cores, may be offered. The result is 0 if fewer than half of
// an array's tasks could be offered, or not all tasks of a job of another shape.
func offerableTasks(job *protocol.Job, tasks, startable int, shareCores float64) int {
	offerable := min(tasks, startable)
	if weight := max(job.Cores, job.GPUs); weight > 0 {
		offerable = min(offerable, int(shareCores/weight+1e-9))
	}
	if job.Shape != protocol.ShapeArray && offerable < tasks || 2*offerable < tasks {
		return 0
	}
	return offerable
}

// sortByUrgency sorts waiting chunks by the user's priority, highest first. Within a priority, chunks
// that have deadlines but would miss all of them at the partner come last. The remaining ties are sorted by
// the age of the job, oldest first, and then by the index of the chunk.
func sortByUrgency(waiting []*WaitingChunk, partnerDelay time.Duration, wall float64) {
	canMeetDeadline := func(w *WaitingChunk) bool {
		for _, deadline := range w.DeadlineSeconds {
			if w.ageSeconds(wall)+partnerDelay.Seconds()+w.Record.Job.Estimate <= deadline {
				return true
			}
		}
		return len(w.DeadlineSeconds) == 0
	}
	sort.SliceStable(waiting, func(i, k int) bool {
		first, second := waiting[i], waiting[k]
		if first.Record.Job.Priority != second.Record.Job.Priority {
			return first.Record.Job.Priority > second.Record.Job.Priority
		}
		if canMeet := canMeetDeadline(first); canMeet != canMeetDeadline(second) {
			return canMeet
		}
		if first.Record.AcceptedAt != second.Record.AcceptedAt {
			return first.Record.AcceptedAt < second.Record.AcceptedAt
		}
		return first.Chunk < second.Chunk
	})
}
