package federation

import (
	"log/slog"
	"net/http"

	"curlewspool/internal/httpreply"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/shard"
)

// In this file, the host's leader accepts remote leases.

// AcceptLease handles a request to accept a remote lease. An accepted lease is stored before the
// request is answered. A repeated request for the same lease changes nothing. No task of the lease
// starts before home has renewed the lease for the first time.
func (b *Broker) AcceptLease(from string, request *LeaseRequest, reply Reply) {
	key, reason := checkLeaseRequest(from, request)
	if reason != "" {
		httpreply.Reject(reply, http.StatusBadRequest, reason)
		return
	}
	if b.controller.Job(request.ID) != nil {
		reply(http.StatusOK, b.hostedState(request.ID), 0)
		return
	}
	offer := b.heldOffers[request.Offer]
	if !b.isOfferValid(offer, from, request) {
		b.refuseLease(request.ID, reply)
		return
	}
	job := newHostedJob(request.ID, from, &request.Job)
	record := &shard.JobRecord{
		Job:         job,
		AcceptedAt:  b.controller.WallSeconds(),
		ChunkSize:   job.Tasks,
		ChunkShards: []int{offer.shard},
		DoneRanges:  shiftRanges(request.Done, 0, job.Tasks),
		RemoteLease: &shard.RemoteLease{
			HomeCluster: from,
			HomeJobID:   key.Job,
			FirstTask:   key.FirstTask,
			LeaseNumber: key.Number,
			TermMillis:  request.TermMillis,
		},
	}
	if len(protocol.Encode(record)) > b.controller.Settings().MaxRecordBytes() {
		httpreply.Reject(reply, http.StatusBadRequest, "fields too long")
		return
	}
	b.storeLease(record, offer, reply)
}

// checkLeaseRequest returns the key of the remote lease, and the reason why the request is invalid.
// The reason is "" if the request is valid.
func checkLeaseRequest(from string, request *LeaseRequest) (key remotelease.Key, reason string) {
	key, ok := parseLeaseID(request.ID, from)
	switch {
	case !ok || request.Job.ID != request.ID:
		return key, "the loan's name is not one of its home"
	case request.TermMillis < minTermMillis || request.TermMillis > maxTermMillis:
		return key, "term"
	}
	return key, invalidJobReason(&request.Job)
}

// isOfferValid reports whether an offer still holds the capacity that a lease request needs. A nil
// offer is not valid.
func (b *Broker) isOfferValid(offer *heldOffer, from string, request *LeaseRequest) bool {
	return offer != nil && !offer.isTaken && offer.home == from && b.controller.Now() <= offer.until &&
		request.Job.Tasks <= offer.tasks && b.settings.Partner(from).HostedShare > 0
}

// refuseLease refuses a remote lease whose offer is not valid. It first synchronizes the cache,
// because an earlier leader may have accepted the lease.
func (b *Broker) refuseLease(id string, reply Reply) {
	b.controller.Store().Sync(func(isCurrent bool) {
		switch {
		case !isCurrent:
			httpreply.Unavailable(reply, httpreply.ReasonStoreUnreachable)
		case b.controller.Job(id) != nil:
			reply(http.StatusOK, b.hostedState(id), 0)
		default:
			b.Counters.RefusedHere++
			httpreply.Reject(reply, http.StatusConflict, "the offer does not stand any more")
		}
	})
}

// storeLease writes the record of a hosted job and then answers the lease request. The write fails if
// the job has been accepted before, or if this controller is not the leader.
func (b *Broker) storeLease(record *shard.JobRecord, offer *heldOffer, reply Reply) {
	id := record.Job.ID
	b.controller.Store().Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if !b.controller.IsLeader() {
				return nil, nil
			}
			record.Nonce = nonce
			conditions := []protocol.Condition{b.controller.LeaderCondition(), {Key: shard.JobKey(id)}, {Key: shard.FinalKey(id)}}
			return conditions, []protocol.Mutation{{Put: shard.JobKey(id), Value: protocol.Encode(record)}}
		},
		Done: func(ok bool, _ uint64) {
			if !ok { // the job has been accepted before, or another controller is the leader
				httpreply.Unavailable(reply, httpreply.ReasonConflict)
				return
			}
			offer.isTaken = true
			offer.until = b.controller.Now() + 2*b.reportInterval() // hold the capacity until the job has had time to start
			b.Counters.Borrowed++
			slog.Info("federation: remote lease accepted", "job", id, "tasks", record.Job.Tasks, "partner", record.RemoteLease.HomeCluster)
			b.recordEvent(id, StepHosted, "")
			b.controller.AnnounceChange(id)
			reply(http.StatusOK, &LeaseState{Status: StatusQueued}, 0)
		},
		ShouldAbandon: func() bool {
			httpreply.Unavailable(reply, httpreply.ReasonStoreUnreachable)
			return true
		},
	})
}
