package federation

import (
	"log/slog"
	"net/http"
	"time"

	"curlewspool/internal/httpreply"
	"curlewspool/internal/remotelease"
)

// In this file, home's leader answers renewal requests.

// AnswerRenewals answers a renewal request of a partner's controller. The answer lists which of the
// requested remote leases are renewed, and which have ended.
func (b *Broker) AnswerRenewals(from string, request *RenewalsRequest, reply Reply) {
	if len(request.Leases) > maxLeases {
		httpreply.Reject(reply, http.StatusBadRequest, "too many loans")
		return
	}
	p := b.settings.Partner(from)
	machineLease := time.Duration(request.MachineLeaseMillis) * time.Millisecond
	if p.MachineLease > 0 && machineLease > p.MachineLease {
		slog.Error("federation: a partner's machine lease is longer than the settings say: nothing may run there",
			"partner", from, "theirs", machineLease, "settings", p.MachineLease)
		httpreply.Reject(reply, http.StatusConflict, "lease_s of this partner is longer than home's settings say")
		return
	}
	// The cache is synchronized first, because the answer must reflect everything that was stored
	// before the request: cancellations, returns of chunks and changes of the leader.
	b.controller.Store().Sync(func(isCurrent bool) {
		if !isCurrent || !b.controller.IsLeader() {
			httpreply.Unavailable(reply, httpreply.ReasonStoreUnreachable)
			return
		}
		reply(http.StatusOK, b.renewalsResponse(from, request.Leases), 0)
	})
}

// renewalsResponse returns the answer for the given lease IDs and records the renewals. The cached
// job records must be current.
func (b *Broker) renewalsResponse(partnerName string, leases []string) *RenewalsResponse {
	now := b.controller.Now()
	response := &RenewalsResponse{Hold: []string{}, End: []string{}}
	for _, id := range leases {
		key, ok := parseLeaseID(id, b.settings.Cluster)
		if !ok {
			continue
		}
		switch b.decideRenewal(key, partnerName) {
		case renewalGranted:
			b.renewals.RecordRenewed(key, now)
			response.Hold = append(response.Hold, id)
		case renewalDenied:
			response.End = append(response.End, id)
		case renewalDeferred: // the lease is listed neither as renewed nor as ended
		}
	}
	return response
}

// renewalDecision is home's answer about one remote lease in a renewal request.
type renewalDecision int

const (
	renewalDenied   renewalDecision = iota // the remote lease has ended, or has never existed
	renewalGranted                         // the chunk is offloaded to the partner
	renewalDeferred                        // the chunk is returning, or will return because the partner has finished or refused the lease
)

// decideRenewal decides whether a remote lease that a partner hosts is renewed. It uses the job's
// record and this leader's state of the lease.
func (b *Broker) decideRenewal(key remotelease.Key, partnerName string) renewalDecision {
	record := b.controller.Job(key.Job)
	if record == nil {
		return renewalDenied
	}
	for _, offloaded := range record.OffloadedChunks {
		if offloaded.LeaseNumber != key.Number || offloaded.FirstTask != key.FirstTask || offloaded.Partner != partnerName {
			continue
		}
		lease := b.homeLeases[key]
		if lease != nil && (lease.isReturning || lease.finishedAtHost || lease.refusalReason != "") {
			return renewalDeferred
		}
		return renewalGranted
	}
	return renewalDenied
}
