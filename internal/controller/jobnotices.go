package controller

import (
	"log/slog"

	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file notifies the other controllers of changed jobs before their caches show the change.

// AnnounceChange notifies the other controllers that a job's record has changed, so that they
// refresh their caches.
func (c *Controller) AnnounceChange(id string) { c.broadcastNotice(&peermsg.JobNotice{Job: id}) }

// AnnounceCancelled sends the other controllers a cancellation notice, which says that a job's
// cancellation is stored. They then need not wait until their caches show the cancellation.
// cancelledBy is the dependency with which the job was cancelled; it is empty if there is none.
func (c *Controller) AnnounceCancelled(id, cancelledBy string) {
	c.broadcastNotice(&peermsg.JobNotice{Job: id, Cancelled: true, CancelledBy: cancelledBy})
}

func (c *Controller) broadcastNotice(notice *peermsg.JobNotice) {
	for _, name := range c.members.names() {
		c.env.Send(name, &peermsg.Envelope{Body: &peermsg.Envelope_JobNotice{JobNotice: notice}})
	}
}

// applyPeerCancellation applies another controller's cancellation notice, which says that a job's
// cancellation is stored. It may take long until the cache shows the cancellation, for instance if
// the store first refuses this controller alone and then fails for all. A cancellation is final, so
// the notice is as good as the stored record: the job's tasks are stopped now, no more are started,
// and users receive the outcome. The job's record is dropped when the cache reports its deletion.
// If no notice arrives, the tasks still stop within the time limit of a cancellation, because
// leases expire (docs/design.md).
func (c *Controller) applyPeerCancellation(id, cancelledBy string) {
	record := c.jobs[id]
	if record == nil || c.knownCancelled[id] {
		return
	}
	c.knownCancelled[id] = true
	slog.Info("controller: job cancelled by a peer's notice", "job", id)
	c.userAPI.RecordFinished(id, shard.FinalRecord{
		Status:        protocol.JobCancelled,
		Tasks:         record.Job.Tasks,
		CancelledWith: cancelledBy,
	})
	c.eachShard(func(s *shard.Shard) { s.UpdateJob(id, nil, 0) })
}
