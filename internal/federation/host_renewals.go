package federation

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"curlewspool/internal/remotelease"
	"curlewspool/internal/shard"
)

// In this file, the host's controllers ask homes to renew the remote leases of hosted jobs. Each
// controller asks for the hosted jobs in the shards that it owns.

// renewableLease is the remote lease of a hosted job in a shard that this controller owns.
type renewableLease struct {
	shard    *shard.Shard
	validity *remotelease.Validity
	term     time.Duration
}

const (
	// renewalsPerTerm is the average number of renewal requests in a term if all are answered.
	renewalsPerTerm = 5
	// retriesPerTerm limits the pause before a failed renewal request is retried. The pause is on
	// average the term divided by retriesPerTerm, or maxRetryPause if that is shorter.
	retriesPerTerm = 10
	maxRetryPause  = time.Second
	// pauseWhileInvalid is the average time from an answered renewal request to the next one while
	// a remote lease is not valid.
	pauseWhileInvalid = time.Second / 2
)

// requestRenewals asks a home to renew the remote leases of its jobs in the shards that this
// controller owns. A controller cannot use the renewals of another controller, because a term is
// counted from when the request was sent, by the sender's clock.
func (b *Broker) requestRenewals(p *partner, now time.Duration) {
	if p.isRequestingRenewals {
		return
	}
	leases := b.renewableLeases(p.settings.Name)
	if len(leases) == 0 {
		return
	}
	shortestTerm, hasInvalid := time.Hour, false
	for _, lease := range leases {
		shortestTerm = min(shortestTerm, lease.term)
		hasInvalid = hasInvalid || !lease.validity.IsValid(now)
	}
	isDue := now >= p.nextRenewalAt || hasInvalid && now > p.nextRenewalAt-shortestTerm/renewalsPerTerm+pauseWhileInvalid
	if !isDue {
		return
	}
	p.isRequestingRenewals = true
	request := &RenewalsRequest{
		MachineLeaseMillis: int64(b.controller.Settings().Deployment.Workers.Lease * 1000),
		Leases:             slices.Sorted(maps.Keys(leases)),
	}
	response := &RenewalsResponse{}
	b.callPartner(p, PathRenewals, request, response, func(status int) {
		p.isRequestingRenewals = false
		if status != http.StatusOK {
			b.Counters.RenewalsMissed++
			p.nextRenewalAt = b.controller.Now() + b.jitter(min(shortestTerm/retriesPerTerm, maxRetryPause))
			return
		}
		p.nextRenewalAt = now + b.jitter(shortestTerm/renewalsPerTerm)
		b.applyRenewals(leases, response, now)
	})
}

// renewableLeases returns up to maxLeases remote leases of a home. The keys are the IDs of the hosted
// jobs.
func (b *Broker) renewableLeases(home string) map[string]renewableLease {
	leases := map[string]renewableLease{}
	b.controller.EachHostedJob(func(owner *shard.Shard, record *shard.JobRecord, validity *remotelease.Validity) {
		if record.RemoteLease.HomeCluster != home || len(leases) >= maxLeases {
			return
		}
		term := time.Duration(record.RemoteLease.TermMillis) * time.Millisecond
		leases[record.Job.ID] = renewableLease{owner, validity, term}
	})
	return leases
}

// applyRenewals applies home's answer to a request that was sent at sentAt. It renews the validity of
// the leases in Hold, and revokes the validity of the leases in End.
func (b *Broker) applyRenewals(leases map[string]renewableLease, response *RenewalsResponse, sentAt time.Duration) {
	for _, id := range response.Hold {
		lease, ok := leases[id]
		if !ok {
			continue
		}
		if !lease.validity.IsValid(b.controller.Now()) {
			b.recordEvent(id, StepValid, "")
		}
		lease.validity.Renew(sentAt, lease.term)
		lease.shard.RemoteLeaseRenewed(id)
		b.Counters.Renewed++
	}
	for _, id := range response.End {
		if lease, ok := leases[id]; ok {
			lease.validity.Revoke()
			lease.shard.EndRemoteLease(id)
		}
	}
}
