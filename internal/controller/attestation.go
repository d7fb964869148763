package controller

import (
	"math"
	"time"

	"curlewspool/internal/peermsg"
	"curlewspool/internal/settings"
)

// This file lets an owner go on answering workers while the state service is away, on
// the word of all members (off by default; docs/vouch.md). Only controllers confirm
// cancellations and take keys. So if each of them says what it has learned to be
// cancelled since the moment of this owner's news, and that it holds none of its keys,
// then all that was confirmed before the question is known here: it is as good as news
// and a renewal of that moment. Nothing is started on it (MayLaunch asks for the cache's
// own age), and users get no answers from it.

// attestation is a round of questions; one that is not answered by all in time says nothing.
type attestation struct {
	id        uint64
	startedAt time.Duration
	awaited   map[string]bool // members whose word is missing
}

// attestationTimeout is how long a round may take. It is counted into the age that is asked
// for, so that a question that was on its way for that long asks for no less.
func (c *Controller) attestationTimeout() time.Duration { return c.statusInterval() }

// maxAttestedCancellations is how many cancellations one word names.
const maxAttestedCancellations = 1024

// requestAttestation begins a round when the news of an owner grow old.
func (c *Controller) requestAttestation() {
	now := c.env.Now()
	if !c.settings.Grants.Vouch || c.federation != nil || len(c.registry.HeldKeys()) == 0 || !c.store.Lease.IsValid() ||
		c.store.Staleness() < 2*c.leaseRenewInterval() || now-c.attestation.startedAt < c.leaseRenewInterval() {
		return
	}
	c.attestation = attestation{c.attestation.id + 1, now, map[string]bool{}}
	age := float64(now-c.store.CancellationsKnownAsOf()+c.attestationTimeout()) * (1 + 2*settings.Drift)
	v := &peermsg.OwnershipConfirmation{Id: c.attestation.id, Keys: c.registry.HeldKeys(), MaxAgeMs: uint32(math.Ceil(age / float64(time.Millisecond)))}
	for _, name := range sortedKeys(c.peers) {
		c.attestation.awaited[name] = true
		c.env.Send(name, &peermsg.Envelope{Body: &peermsg.Envelope_OwnershipConfirmation{OwnershipConfirmation: v}})
	}
	c.completeAttestation()
}

// answerAttestation gives an owner this controller's word, if it can.
func (c *Controller) answerAttestation(owner string, request *peermsg.OwnershipConfirmation) {
	if !c.settings.Grants.Vouch || c.federation != nil {
		return
	}
	for _, key := range request.Keys {
		if c.registry.OwnerOf(key) != owner { // taken, or gone and free to be
			return
		}
	}
	ids, ok := c.userAPI.CancelledSince(c.env.Now() - time.Duration(request.MaxAgeMs)*time.Millisecond)
	if !ok || len(ids) > maxAttestedCancellations {
		return
	}
	c.env.Send(owner, &peermsg.Envelope{Body: &peermsg.Envelope_OwnershipConfirmation{OwnershipConfirmation: &peermsg.OwnershipConfirmation{Id: request.Id, CancelledJobs: ids}}})
}

// acceptAttestation takes a member's word. What it names is final, however late it comes.
func (c *Controller) acceptAttestation(member string, answer *peermsg.OwnershipConfirmation) {
	for _, id := range answer.CancelledJobs {
		c.applyPeerCancellation(id, c.dependencies.graph.CancellationCause(id))
	}
	if answer.Id == c.attestation.id && c.env.Now()-c.attestation.startedAt <= c.attestationTimeout() {
		delete(c.attestation.awaited, member)
		c.completeAttestation()
	}
}

// completeAttestation: the round counts from when it was asked, if what was vouched for has
// not lapsed meanwhile.
func (c *Controller) completeAttestation() {
	if len(c.attestation.awaited) == 0 && c.store.Lease.IsValid() {
		c.store.Lease.ConfirmedByPeersAt = c.attestation.startedAt
	}
}
