package controller

import (
	"log/slog"
	"slices"

	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/shard"
)

// This file moves queued chunks to other shards and offloads them to partner clusters. The
// leader decides which chunks are offloaded, and sends a command to the owner of the chunk's shard.

// moveChunks lets the shards owned here move queued chunks to shards with free capacity.
func (c *Controller) moveChunks() {
	statuses := slices.Collect(shardStatuses(c.members.liveStatuses()))
	c.eachShard(func(candidate *shard.Shard) {
		if c.ownedShard(candidate.ID) != nil {
			candidate.MoveQueuedChunk(statuses)
		}
	})
}

// RequestOffload passes a command to offload a chunk to the owner of the chunk's shard. The
// command is dropped if the shard has no owner.
func (c *Controller) RequestOffload(command *shard.OffloadCommand) {
	shardID := c.shardOfChunk(command)
	if shardID < 0 {
		return
	}
	switch owner := c.registry.OwnerOf(election.ShardKey(shardID)); owner {
	case "":
	case c.settings.Name:
		c.executeOffloadCommand(command)
	default:
		offload := encodeOffloadCommand(command)
		c.env.Send(owner, &peermsg.Envelope{Body: &peermsg.Envelope_ChunkOffload{ChunkOffload: offload}})
	}
}

// shardOfChunk returns the shard of the chunk that a command names. The result is negative if the
// job is unknown or the chunk is in no shard of this cluster.
func (c *Controller) shardOfChunk(command *shard.OffloadCommand) int {
	record := c.jobs[command.Job]
	if record == nil || command.Chunk < 0 || command.Chunk >= len(record.ChunkShards) {
		return shard.OffloadedShard
	}
	return record.ChunkShards[command.Chunk]
}

// executeOffloadCommand offloads the chunk that a command names. It does nothing if the chunk's
// shard is not owned here.
func (c *Controller) executeOffloadCommand(command *shard.OffloadCommand) {
	owned := c.ownedShard(c.shardOfChunk(command))
	if owned == nil {
		slog.Debug("controller: offload command for a shard not owned here", "job", command.Job, "chunk", command.Chunk)
		return
	}
	owned.OffloadChunk(command)
}

func encodeOffloadCommand(command *shard.OffloadCommand) *peermsg.ChunkOffload {
	offload := &command.Offloaded
	return &peermsg.ChunkOffload{
		Job:         command.Job,
		Chunk:       int32(command.Chunk),
		ToCluster:   offload.Partner,
		LeaderToken: offload.LeaderToken,
		OfferId:     offload.OfferID,
		Reason:      offload.Reason,
		TermMs:      offload.TermMillis,
		LeaseMs:     offload.MachineLeaseMillis,
	}
}

func decodeOffloadCommand(message *peermsg.ChunkOffload) *shard.OffloadCommand {
	return &shard.OffloadCommand{
		Job:   message.Job,
		Chunk: int(message.Chunk),
		Offloaded: shard.OffloadedChunk{
			Partner:            message.ToCluster,
			LeaderToken:        message.LeaderToken,
			OfferID:            message.OfferId,
			Reason:             message.Reason,
			TermMillis:         message.TermMs,
			MachineLeaseMillis: message.LeaseMs,
		},
	}
}
