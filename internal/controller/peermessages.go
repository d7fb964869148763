package controller

import (
	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
)

// HandlePeerMessage handles a message from another controller. Messages of unknown senders and
// of ended incarnations are ignored.
func (c *Controller) HandlePeerMessage(envelope *peermsg.Envelope) {
	sender := c.members.peers[envelope.From]
	if sender == nil || !sender.acceptIncarnation(envelope.Incarnation, c.env.Now()) {
		return
	}
	sender.unresponsive = false
	switch body := envelope.Body.(type) {
	case *peermsg.Envelope_Status:
		sender.applyStatus(body.Status, c.env.Now(), c.members.aliveTimeout())
		c.placement.updateQueues(body.Status)
	case *peermsg.Envelope_PlacementRequest:
		c.handlePlacementRequest(envelope.From, body.PlacementRequest)
	case *peermsg.Envelope_PlacementResponse:
		c.handlePlacementResponse(body.PlacementResponse)
	case *peermsg.Envelope_OwnershipConfirmation:
		c.handleOwnershipConfirmation(envelope.From, body.OwnershipConfirmation)
	case *peermsg.Envelope_JobNotice:
		c.handleJobNotice(body.JobNotice)
	default:
		if c.registry.OwnerOf(election.LeaderKey) == envelope.From {
			c.handleLeaderMessage(envelope)
		}
	}
}

// handleLeaderMessage handles a message that only the leader may send.
func (c *Controller) handleLeaderMessage(envelope *peermsg.Envelope) {
	switch body := envelope.Body.(type) {
	case *peermsg.Envelope_ShardAssignment:
		c.handleShardAssignment(int(body.ShardAssignment.Shard))
	case *peermsg.Envelope_ShardRelease:
		c.releaseShard(int(body.ShardRelease.Shard))
	case *peermsg.Envelope_MachineTransfer:
		c.handleMachineTransfer(body.MachineTransfer)
	case *peermsg.Envelope_ChunkOffload:
		c.executeOffloadCommand(decodeOffloadCommand(body.ChunkOffload))
	}
}

// handlePlacementRequest answers a controller that asks the leader for a job's shards. It does
// not answer if this controller is not the leader or cannot decode the job.
func (c *Controller) handlePlacementRequest(sender string, request *peermsg.PlacementRequest) {
	job := &protocol.Job{}
	if !c.IsLeader() || protocol.Decode(request.Job, job) != nil || job.Tasks < 1 {
		return
	}
	placement := c.placeJob(job)
	answer := &peermsg.PlacementResponse{
		Id:        request.Id,
		Rank:      int32(placement.Rank),
		ChunkSize: int32(placement.ChunkSize),
	}
	for _, shardID := range placement.Shards {
		answer.Shards = append(answer.Shards, int32(shardID))
	}
	c.env.Send(sender, &peermsg.Envelope{
		Body: &peermsg.Envelope_PlacementResponse{PlacementResponse: answer},
	})
}

func (c *Controller) handlePlacementResponse(answer *peermsg.PlacementResponse) {
	if len(answer.Shards) == 0 {
		return
	}
	if done := c.placement.takeRequest(answer.Id); done != nil {
		done(answer)
	}
}

// handleShardAssignment claims a shard that the leader has assigned to this controller, unless
// agents cannot reach this controller.
func (c *Controller) handleShardAssignment(shardID int) {
	if shardID < 0 || shardID >= len(c.controllerNames) || c.reachability.isUnreachable {
		return
	}
	key := election.ShardKey(shardID)
	if owner := c.registry.OwnerOf(key); owner != c.settings.Name {
		c.registry.Claim(key, owner != "")
	}
}

// handleOwnershipConfirmation handles requests and answers of the ownership confirmation: a
// request lists the sender's keys, an answer lists none.
func (c *Controller) handleOwnershipConfirmation(sender string, message *peermsg.OwnershipConfirmation) {
	if len(message.Keys) > 0 {
		c.confirmOwnership(sender, message)
	} else {
		c.acceptOwnershipConfirmation(sender, message)
	}
}

// handleJobNotice applies a cancellation immediately, and refreshes the cache after any notice.
func (c *Controller) handleJobNotice(notice *peermsg.JobNotice) {
	if notice.Cancelled {
		c.applyPeerCancellation(notice.Job, notice.CancelledBy)
	}
	c.store.Refresh()
}
