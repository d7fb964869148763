package federation

import (
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"curlewspool/internal/shard"
)

// In this file, home's leader asks partners for capacity and offloads chunks to them.

// maxEmptyOffers limits the backoff between offer requests: the pause doubles with each response
// without an offer, up to this number of times.
const maxEmptyOffers = 3

// offloadCandidate is a chunk for which a partner is asked for capacity, with the reason for the
// offload.
type offloadCandidate struct {
	waiting *WaitingChunk
	reason  string
}

func (c *offloadCandidate) chunkKey() jobChunk {
	return jobChunk{c.waiting.Record.Job.ID, c.waiting.Chunk}
}

// requestOffers asks a partner for capacity for chunks that should be offloaded to it.
func (b *Broker) requestOffers(p *partner, now time.Duration) {
	if p.isRequestingOffers || now < p.nextOffersAt || len(p.settings.Classes) == 0 {
		return
	}
	waiting := b.controller.WaitingChunks()
	candidates := b.offloadCandidates(p, waiting)
	slog.Debug("federation: chunks wait for capacity", "chunks", len(waiting), "candidates", len(candidates),
		"partner", p.settings.Name, "empty_offers", p.emptyOffers)
	if len(candidates) == 0 {
		return
	}
	request := &OffersRequest{KeptOffers: b.keptOffers(p)}
	for _, candidate := range candidates {
		job := candidate.waiting.Record.Job
		job.Tasks = candidate.waiting.Tasks
		request.Requests = append(request.Requests, ResourceRequest{Job: job, Tasks: job.Tasks})
	}
	p.isRequestingOffers = true
	response := &OffersResponse{}
	b.callPartner(p, PathOffers, request, response, func(status int) {
		p.isRequestingOffers = false
		hasOffers := false
		if status == http.StatusOK && len(response.Offers) == len(candidates) && b.controller.IsLeader() {
			hasOffers = b.commandOffloads(p, candidates, response.Offers)
		}
		// A partner without capacity is asked less and less often. Otherwise many home clusters
		// would all ask the partner at once as soon as it has free capacity.
		if hasOffers {
			p.emptyOffers = 0
		} else {
			p.emptyOffers = min(p.emptyOffers+1, maxEmptyOffers)
		}
		p.nextOffersAt = b.controller.Now() + b.jitter(b.reportInterval()<<p.emptyOffers/2)
	})
}

// offloadCandidates selects the chunks for which a partner is asked for capacity, the most urgent
// first. At most one chunk of a job is selected, because a job's record takes one change at a time.
func (b *Broker) offloadCandidates(p *partner, waiting []*WaitingChunk) []offloadCandidate {
	s, wall := b.controller.Settings(), b.controller.WallSeconds()
	partnerDelay := partnerStartDelay(s)
	sortByUrgency(waiting, partnerDelay, wall)
	var candidates []offloadCandidate
	hasCandidate := map[string]bool{} // by job ID
	for _, w := range waiting {
		if len(candidates) >= maxResourceRequests {
			break
		}
		candidate := offloadCandidate{waiting: w}
		job := &w.Record.Job
		if _, offered := b.retryAfter[candidate.chunkKey()]; offered || hasCandidate[job.ID] {
			continue
		}
		reason, ok := shouldOffload(w, p.settings, s.Team(job.Team), partnerDelay, wall)
		if ok {
			candidate.reason = reason
			candidates = append(candidates, candidate)
			hasCandidate[job.ID] = true
		}
	}
	return candidates
}

// keptOffers lists the earlier offers that a partner must keep: the offers of remote leases that the
// partner has not accepted yet, and all offers for which this leader has recently commanded an offload
// (commandedOffloads). The latter may include offers of other partners. A partner ignores IDs of
// offers that it does not hold.
func (b *Broker) keptOffers(p *partner) []uint64 {
	kept := []uint64{}
	for _, lease := range b.homeLeases {
		if lease.offloaded.Partner == p.settings.Name && !lease.isAccepted && lease.offloaded.OfferID != 0 {
			kept = append(kept, lease.offloaded.OfferID)
		}
	}
	return append(kept, slices.Sorted(maps.Keys(b.commandedOffloads))...)
}

// commandOffloads commands the offload of each candidate for which a partner has offered capacity.
// offers[i] is for candidates[i]. The result tells whether there was any offer.
func (b *Broker) commandOffloads(p *partner, candidates []offloadCandidate, offers []Offer) bool {
	hasOffers := false
	for i, offer := range offers {
		if offer.ID == 0 {
			continue
		}
		hasOffers = true
		candidate := &candidates[i]
		b.retryAfter[candidate.chunkKey()] = b.controller.Now() + b.reportInterval()
		b.commandedOffloads[offer.ID] = b.controller.Now() + b.reportInterval()
		b.controller.RequestOffload(&shard.OffloadCommand{
			Job:   candidate.waiting.Record.Job.ID,
			Chunk: candidate.waiting.Chunk,
			Offloaded: shard.OffloadedChunk{
				Partner:            p.settings.Name,
				LeaderToken:        b.fencingToken,
				OfferID:            offer.ID,
				Reason:             candidate.reason,
				TermMillis:         p.settings.Term.Milliseconds(),
				MachineLeaseMillis: p.settings.MachineLease.Milliseconds(),
			},
		})
	}
	return hasOffers
}
