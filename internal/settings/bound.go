package settings

import (
	"fmt"
	"math"
)

// This file has the bound that a cancellation rests on (docs/design.md, "The bound of
// a cancellation").

// ofTheRest is the share of what a lease leaves of cancel_s that a grant may last; the
// rest covers what has no figure: timers that fire late, a report that is on its way.
const ofTheRest = 0.9

// GrantLife is how long, in seconds, an owner may act on the older of its last renewal
// and its last news. Long enough for the state service's ordinary outages not to cost
// workers their leases; short enough that what an owner renews without knowing of a
// cancellation is gone within cancel_s of it.
func (s *Settings) GrantLife() float64 {
	w := &s.Deployment.Workers
	return min(w.Lease*s.Grants.Life, ofTheRest*(w.Cancel-w.Lease*(1+3*Drift)))
}

// RenewEvery is how often, in seconds, a grant is renewed: not more often than a
// quarter of the state service's requests allows for all members.
func (s *Settings) RenewEvery() float64 { return max(s.GrantLife()*s.Grants.Renew, s.leastEvery()) }

func (s *Settings) leastEvery() float64 {
	return 4 * float64(len(s.Names())) / s.Deployment.State.RPS
}

// Term is one stretch of the time from a cancellation's confirmation until the last of
// the job's tasks is surely gone.
type Term struct {
	What    string
	Seconds float64 // of true time, at the most
}

// CancelBound lists the terms for an owner that cannot know of the cancellation. One
// that knows adds nothing: each answer that could renew the lease holds the halt, which
// ends the task at once; launches on their way are carried out in the session that they
// are for or never, and a machine that hangs goes on within its lease or never.
func (s *Settings) CancelBound() []Term {
	return []Term{
		// Counted by the owner's clock from before the state service gave the news.
		{"the owner's last answer, on news from before", s.GrantLife() * (1 - 2*Drift) / (1 - Drift)},
		// Counted by the worker's clock from when the report that was answered was sent.
		{"the lease that it renews", s.Deployment.Workers.Lease / (1 - Drift)},
	}
}

// cancelBound refuses settings under which no grant is both short enough for the bound
// and long enough to be renewed, and names what stands in the way and from which value
// on it no longer does: cancel_s, the grants' own life, or the state service's requests.
func (s *Settings) cancelBound() error {
	w, rps := &s.Deployment.Workers, s.Deployment.State.RPS
	least := 4 * s.leastEvery()
	up := func(v float64) float64 { return math.Ceil(v*1000+1e-6) / 1000 } // what is just enough may be refused for its last digit
	switch own := w.Lease * s.Grants.Life; {
	case w.Lease < least:
		return fmt.Errorf("deployment.state.rps is %v, must be %v or more: %d controllers could not renew their grants within lease_s %v on a quarter of it", rps, up(rps*least/w.Lease), len(s.Names()), w.Lease)
	case own < least:
		return fmt.Errorf("[grants] life is %v, must be %v or more: grants of %.2f s could not be renewed on a quarter of state.rps %v", s.Grants.Life, up(least/w.Lease), own, rps)
	case s.GrantLife() < least:
		return fmt.Errorf("deployment.workers.cancel_s is %v, must be %v or more: what lease_s leaves of it is the life of the owners' grants", w.Cancel, up(w.Lease*(1+3*Drift)+least/ofTheRest))
	}
	return nil
}

// Warnings says what will work badly though it breaks no rule.
func (s *Settings) Warnings() (out []string) {
	if life, w := s.GrantLife(), &s.Deployment.Workers; life < w.Lease/4 {
		out = append(out, fmt.Sprintf("cancel_s %v is little more than lease_s %v: when the state service is away for %.1f s workers are answered no more", w.Cancel, w.Lease, life))
	}
	return out
}
