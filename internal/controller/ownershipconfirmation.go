package controller

import (
	"math"
	"time"

	"curlewspool/internal/peermsg"
	"curlewspool/internal/settings"
)

// Ownership confirmation lets an owner keep answering agents while the key-value store is
// unavailable, if all members confirm its ownership (off by default; docs/vouch.md). The owner
// needs to know that no other controller has taken its keys, and which jobs have been cancelled.
// Only controllers acquire keys and acknowledge cancellations, so the owner asks all of them. Each
// member confirms that it has taken none of the owner's keys. It also lists the cancellations that
// it has learned of since the owner's cache was current. With all answers, the owner knows every
// cancellation that was acknowledged before its request. For answering agents, this is equivalent
// to refreshing the cache and renewing the lease at the time of the request. A confirmation does
// not permit launching tasks (CanLaunch checks the age of the cache itself) or answering users.

// confirmationRound is a round of requests for ownership confirmation. It succeeds only if all
// members answer in time.
type confirmationRound struct {
	id             uint64
	startedAt      time.Duration
	pendingMembers map[string]bool // members that have not answered yet
}

// maxConfirmedCancellations is the maximum number of cancellations that one answer may list.
const maxConfirmedCancellations = 1024

// confirmationTimeout returns how long a round may take. The request contains the age of the
// owner's cache plus this time. So even if the request was in transit for that long, the answer
// covers the whole period since the cache was current.
func (c *Controller) confirmationTimeout() time.Duration { return c.statusInterval() }

// isOwnershipConfirmationEnabled reports whether this controller takes part in ownership
// confirmation. With partner clusters it does not, because a remote lease can also end without a
// cancellation (docs/vouch.md).
func (c *Controller) isOwnershipConfirmationEnabled() bool {
	return c.settings.StoreLease.ConfirmOwnership && c.federation == nil
}

// requestOwnershipConfirmation begins a round when this controller owns keys and its cache has not
// been refreshed for two renewal intervals of the store lease. It begins at most one round in each
// renewal interval.
func (c *Controller) requestOwnershipConfirmation() {
	now := c.env.Now()
	if !c.isOwnershipConfirmationEnabled() || len(c.registry.HeldKeys()) == 0 || !c.store.Lease.IsValid() {
		return
	}
	isCacheRecent := c.store.Staleness() < 2*c.leaseRenewInterval()
	if isCacheRecent || now-c.confirmationRound.startedAt < c.leaseRenewInterval() {
		return
	}
	c.confirmationRound = confirmationRound{
		id:             c.confirmationRound.id + 1,
		startedAt:      now,
		pendingMembers: map[string]bool{},
	}
	age := now - c.store.CancellationsKnownAsOf() + c.confirmationTimeout()
	// The answering member subtracts this age from the time on its own clock. Both clocks may
	// drift, in opposite directions.
	longestAge := float64(age) * (1 + 2*settings.MaxClockDrift)
	request := &peermsg.OwnershipConfirmation{
		Id:       c.confirmationRound.id,
		Keys:     c.registry.HeldKeys(),
		MaxAgeMs: uint32(math.Ceil(longestAge / float64(time.Millisecond))),
	}
	for _, name := range c.members.names() {
		c.confirmationRound.pendingMembers[name] = true
		c.sendOwnershipConfirmation(name, request)
	}
	c.extendLeaseIfConfirmed()
}

// confirmOwnership answers an owner's request: it confirms the owner's keys and lists the recent
// cancellations. It does not answer if a key has another owner or none. It does not answer either
// if this controller does not know all cancellations of the period, or if there are more than
// maxConfirmedCancellations.
func (c *Controller) confirmOwnership(owner string, request *peermsg.OwnershipConfirmation) {
	if !c.isOwnershipConfirmationEnabled() {
		return
	}
	for _, key := range request.Keys {
		if c.registry.OwnerOf(key) != owner { // acquired by another controller, or free
			return
		}
	}
	since := c.env.Now() - time.Duration(request.MaxAgeMs)*time.Millisecond
	jobs, isComplete := c.userAPI.CancelledSince(since)
	if !isComplete || len(jobs) > maxConfirmedCancellations {
		return
	}
	c.sendOwnershipConfirmation(owner, &peermsg.OwnershipConfirmation{Id: request.Id, CancelledJobs: jobs})
}

func (c *Controller) sendOwnershipConfirmation(member string, message *peermsg.OwnershipConfirmation) {
	c.env.Send(member, &peermsg.Envelope{
		Body: &peermsg.Envelope_OwnershipConfirmation{OwnershipConfirmation: message},
	})
}

// acceptOwnershipConfirmation handles a member's answer. The cancellations that it lists are final
// and are applied even if the answer is late.
func (c *Controller) acceptOwnershipConfirmation(member string, answer *peermsg.OwnershipConfirmation) {
	for _, id := range answer.CancelledJobs {
		c.applyPeerCancellation(id, c.dependencies.graph.CancellationCause(id))
	}
	isInTime := c.env.Now()-c.confirmationRound.startedAt <= c.confirmationTimeout()
	if answer.Id != c.confirmationRound.id || !isInTime {
		return
	}
	delete(c.confirmationRound.pendingMembers, member)
	c.extendLeaseIfConfirmed()
}

// extendLeaseIfConfirmed extends the store lease as if it had been renewed when the round began,
// provided that all members have answered and that the lease has not expired meanwhile.
func (c *Controller) extendLeaseIfConfirmed() {
	if len(c.confirmationRound.pendingMembers) == 0 && c.store.Lease.IsValid() {
		c.store.Lease.ConfirmedByPeersAt = c.confirmationRound.startedAt
	}
}
