package controller

import (
	"log/slog"

	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file notifies the other controllers of changes of jobs, ahead of their caches.

// AnnounceChange has the other controllers refresh their caches, as a job's record changed.
func (c *Controller) AnnounceChange(id string) { c.broadcastNotice(&peermsg.JobNotice{Job: id}) }

// AnnounceCancelled notifies them that a job's cancellation is stored, so that they need not
// wait for their caches. cancelledBy is the job that it needed and with which it was cancelled; "": none.
func (c *Controller) AnnounceCancelled(id, cancelledBy string) {
	c.broadcastNotice(&peermsg.JobNotice{Job: id, Cancelled: true, CancelledBy: cancelledBy})
}

func (c *Controller) broadcastNotice(notice *peermsg.JobNotice) {
	for _, name := range c.members.names() {
		c.env.Send(name, &peermsg.Envelope{Body: &peermsg.Envelope_JobNotice{JobNotice: notice}})
	}
}

// applyPeerCancellation takes another controller's notice that a job's cancellation is stored.
// The cache may not say so for long: the store may refuse this controller alone, and then
// be down for all. The end of a job is final, so the notice is as good as the record: the
// job's tasks are stopped now, none starts, and users get the answer. The record is dropped
// when the cache reports its deletion. (Without a notice the bound of a cancellation holds all the same, by
// the expiry of leases; see docs/design.md.)
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
