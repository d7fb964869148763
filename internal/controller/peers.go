package controller

import (
	"slices"
	"time"

	"curlewspool/internal/election"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
)

// This file follows the other controllers.

type peer struct {
	lastStatusAt      time.Duration // of its latest status
	readySince        time.Duration // ready without a break since
	lastReadyAt       time.Duration // of its latest status that said ready
	storeAnsweredAt   time.Duration // the latest moment at which the state service is known to have answered it
	livenessSeenAt    time.Duration // of its latest sign of life in the state service
	unresponsive      bool          // it left a question unanswered and has said nothing since
	status            *peermsg.Status
	incarnation       uint64   // of its process
	endedIncarnations []uint64 // of those before, the latest ones
}

// dead processes remembered of a member.
const maxEndedIncarnations = 8

// acceptIncarnation follows a member's process by what it calls itself; false: the message is of
// one that has ended. (Back within a fraction of a second, a process was never
// seen to be gone; what its predecessor sent may still be on the way.)
func (p *peer) acceptIncarnation(incarnation uint64, now time.Duration) bool {
	if incarnation == p.incarnation {
		return true
	}
	if slices.Contains(p.endedIncarnations, incarnation) {
		return false
	}
	if p.incarnation != 0 {
		p.endedIncarnations = append(p.endedIncarnations, p.incarnation)
		p.endedIncarnations = p.endedIncarnations[max(0, len(p.endedIncarnations)-maxEndedIncarnations):]
		p.readySince = now
	}
	p.incarnation = incarnation
	return true
}

// isAbsent: not heard as ready for long, though this controller has been.
func (c *Controller) isAbsent(name string) bool {
	p := c.peers[name]
	if p == nil {
		return name != c.settings.Name
	}
	now := c.env.Now()
	limit := time.Duration(float64(c.workerLease()) * c.settings.Grants.Absent)
	if c.isBypassed(name) {
		// Its workers' leases are running out. More than the time in which a
		// process is restarted, which then takes its own back.
		limit = limit * 7 / 10
	}
	if !c.isReady() {
		return false
	}
	// It says itself that the state service has not answered it for long, while
	// this controller is answered, and has been for longer than others take to
	// find that an outage is over. Waiting as for one that is not heard would
	// leave its part still for half a minute after an outage.
	if p.status != nil && c.isPeerAlive(name) && !p.status.Ready && p.status.StoreAgeMs > 0 &&
		now-p.storeAnsweredAt > c.workerLease()/4 && now-c.readySince > c.workerLease()/8 {
		return true
	}
	return now-max(p.lastReadyAt, p.livenessSeenAt) > limit && now-c.readySince > limit
}

// isPeerAlive tells whether a member's messages arrive.
func (c *Controller) isPeerAlive(name string) bool {
	p := c.peers[name]
	return p == nil || c.env.Now()-p.lastStatusAt < 3*c.statusInterval()
}

// isIsolated: neither the state service nor any other controller is heard, though its
// workers and users may be.
func (c *Controller) isIsolated() bool {
	now, limit := c.env.Now(), 4*c.statusInterval()
	failingSince := c.store.Health().FailingSince
	if failingSince == 0 || now-failingSince < limit || len(c.peers) == 0 {
		return false
	}
	for _, p := range c.peers {
		if now-p.lastStatusAt < limit {
			return false
		}
	}
	return true
}

func livenessKey(name string) string { return "a/h/" + name }

type livenessRecord struct {
	Nonce string `cbor:"w"`
}

// publishLiveness: while it does not hear some member, a controller leaves signs of
// life in the state service. A zone that is cut off with a controller inside
// goes on working; taking its parts away would only end the leases of workers
// that nobody else reaches.
func (c *Controller) publishLiveness(now time.Duration) {
	allAlive := true
	for name := range c.peers {
		allAlive = allAlive && c.isPeerAlive(name)
	}
	if allAlive || !c.isReady() || c.isLivenessWritePending || now-c.livenessWrittenAt < c.workerLease()/12 {
		return
	}
	c.isLivenessWritePending, c.livenessWrittenAt = true, now
	key := livenessKey(c.settings.Name)
	c.store.Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			return []protocol.Condition{c.store.UnchangedCondition(key)}, []protocol.Mutation{{Put: key, Value: protocol.Encode(&livenessRecord{Nonce: nonce}), Lease: c.store.Lease.ID}}
		},
		Done: func(bool, uint64) { c.isLivenessWritePending = false },
	})
}

// memberReadySince is when a member became ready, as far as is known here.
func (c *Controller) memberReadySince(name string) time.Duration {
	if p := c.peers[name]; p != nil {
		return p.readySince
	}
	return c.readySince
}

func (c *Controller) memberZone(name string) string {
	for _, m := range c.settings.Members {
		if m.Name == name {
			return m.Zone
		}
	}
	return c.settings.Zone
}

// liveStatuses are what the members that are heard told last, and this controller's.
func (c *Controller) liveStatuses() []*peermsg.Status {
	var out []*peermsg.Status
	for _, name := range sortedKeys(c.peers) {
		if p := c.peers[name]; p.status != nil && c.isPeerAlive(name) {
			out = append(out, p.status)
		}
	}
	if c.ownStatus != nil {
		out = append(out, c.ownStatus)
	}
	return out
}

// HandlePeerMessage takes a message from another controller.
func (c *Controller) HandlePeerMessage(e *peermsg.Envelope) {
	p := c.peers[e.From]
	if p == nil {
		return
	}
	now := c.env.Now()
	if !p.acceptIncarnation(e.Incarnation, now) {
		return
	}
	p.unresponsive = false
	switch b := e.Body.(type) {
	case *peermsg.Envelope_Status:
		p.lastStatusAt, p.status = now, b.Status
		if age := b.Status.StoreAgeMs; age > 0 {
			p.storeAnsweredAt = max(p.storeAnsweredAt, now-time.Duration(age)*time.Millisecond)
		}
		if b.Status.Ready {
			if now-p.lastReadyAt > 3*c.statusInterval() {
				p.readySince = now
			}
			p.lastReadyAt = now
		}
		c.learnShardQueues(b.Status)
	case *peermsg.Envelope_PlacementRequest:
		j := &protocol.Job{}
		if !c.isLeader() || protocol.Decode(b.PlacementRequest.Job, j) != nil || j.Tasks < 1 {
			return
		}
		rank, chunk, parts := c.placeJob(j)
		a := &peermsg.PlacementResponse{Id: b.PlacementRequest.Id, Rank: int32(rank), ChunkSize: int32(chunk)}
		for _, k := range parts {
			a.Shards = append(a.Shards, int32(k))
		}
		c.env.Send(e.From, &peermsg.Envelope{Body: &peermsg.Envelope_PlacementResponse{PlacementResponse: a}})
	case *peermsg.Envelope_PlacementResponse:
		if f := c.placementRequests[b.PlacementResponse.Id]; f != nil && len(b.PlacementResponse.Shards) > 0 {
			delete(c.placementRequests, b.PlacementResponse.Id)
			f(b.PlacementResponse)
		}
	case *peermsg.Envelope_ShardAssignment:
		k := int(b.ShardAssignment.Shard)
		if k < 0 || k >= len(c.controllerNames) || c.registry.OwnerOf(election.LeaderKey) != e.From || c.reachability.isUnreachable {
			return
		}
		key := election.ShardKey(k)
		if o := c.registry.OwnerOf(key); o != c.settings.Name {
			c.registry.Claim(key, o != "")
		}
	case *peermsg.Envelope_ShardRelease:
		if c.registry.OwnerOf(election.LeaderKey) == e.From {
			c.releaseShard(int(b.ShardRelease.Shard))
		}
	case *peermsg.Envelope_MachineTransfer:
		if c.registry.OwnerOf(election.LeaderKey) == e.From {
			c.handOverMachine(b.MachineTransfer)
		}
	case *peermsg.Envelope_ChunkOffload:
		if c.registry.OwnerOf(election.LeaderKey) == e.From {
			c.executeLendOrder(decodeLendOrder(b.ChunkOffload))
		}
	case *peermsg.Envelope_OwnershipConfirmation:
		if len(b.OwnershipConfirmation.Keys) > 0 {
			c.answerAttestation(e.From, b.OwnershipConfirmation)
		} else {
			c.acceptAttestation(e.From, b.OwnershipConfirmation)
		}
	case *peermsg.Envelope_JobNotice:
		if b.JobNotice.Cancelled {
			c.applyPeerCancellation(b.JobNotice.Job, b.JobNotice.CancelledBy)
		}
		c.store.Refresh()
	}
}
