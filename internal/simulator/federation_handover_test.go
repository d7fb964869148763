package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/federation"
	"curlewspool/internal/protocol"
)

// Home's leader ends at each step of a hand-over; another leads, which does not
// know what the one before answered.
func TestLeaderFailsAtEachHandoverStep(t *testing.T) {
	for at := 6.0; at < 16; at += 0.4 {
		what := fmt.Sprintf("leader lost at %.1f", at)
		var ids []string
		west, east := playFederation(t, what, 13, 200, func(west, east *Cluster) {
			ids = overloadWest(west, east)
			west.At(at, func() {
				if line := west.LeaderName(); line != "" {
					west.Controllers[line].Crash()
					west.At(at+40, west.Controllers[line].Start)
				}
			})
		})
		expectFinished(t, west, east, protocol.JobDone, ids...)
		if t.Failed() {
			t.Fatal(what)
		}
	}
}

// Who asks at each step of a hand-over, or the leader of the cluster that is
// asked, stands still at that moment, for less than the term and for longer,
// before or after the request has left.
func TestControllerPausedAtEachHandoverStep(t *testing.T) {
	for i, step := range []string{federation.PathOffers, federation.PathLeases, federation.PathStates, federation.PathRenewals} {
		for variant := 0; variant < 8; variant++ {
			holds, asked, duration := variant&1 > 0, variant&2 > 0, 6*time.Second
			if variant&4 > 0 {
				duration = 30 * time.Second
			}
			what := fmt.Sprintf("%s, for %v, held %v, the other side %v", step, duration, holds, asked)
			var ids []string
			done := false
			west, east := playFederation(t, what, uint64(200+8*i+variant), 250, func(west, east *Cluster) {
				ids = overloadWest(west, east)
				west.OnRequest = func(from, _, path string) {
					if done || !strings.HasSuffix(path, step) {
						return
					}
					who := west.controllers[from]
					if asked {
						other := east
						if who.cluster == east {
							other = west
						}
						who = other.Controllers[other.LeaderName()]
					}
					if who != nil {
						done = true
						who.Pause(duration, holds)
					}
				}
			})
			if !done {
				t.Errorf("%s: the step never came", what)
			}
			expectStatus(t, west, protocol.JobDone, ids...)
			expectNoLoans(t, west, east)
			if t.Failed() {
				t.Fatal(what)
			}
		}
	}
}

// A job is cancelled at each step, and the partner cannot be told: within
// cancel_s nothing of it is on any machine (the stand-in's users look).
func TestCancellationAtEachHandoverStep(t *testing.T) {
	for at := 5.5; at < 21; at += 0.9 {
		for _, cut := range []bool{false, true} {
			what := fmt.Sprintf("abort at %.1f, cut %v", at, cut)
			var ids []string
			west, east := playFederation(t, what, 14, 200, func(west, east *Cluster) {
				ids = overloadWest(west, east)
				if cut {
					west.partitionClustersFor(west, east, false, at, 150)
				}
				for _, id := range ids {
					west.Cancel(at, id)
				}
			})
			expectFinished(t, west, east, protocol.JobCancelled, ids...)
			if t.Failed() {
				t.Fatal(what)
			}
		}
	}
}

// Half of what one cluster asks of the other arrives again, up to a minute
// later: offers, hand-overs, renewals, questions how loans are.
func TestDuplicatedFederationRequests(t *testing.T) {
	var ids []string
	again := 0
	west, east := playTracedFederation(t, "duplicated-requests", 15, 200, func(west, east *Cluster) {
		ids = overloadWest(west, east)
		west.DuplicateRequest = func(to string) time.Duration {
			if !strings.Contains(to, "fed-") || west.random.IntN(2) > 0 {
				return 0
			}
			again++
			return time.Duration(west.random.IntN(60000)) * time.Millisecond
		}
	})
	expectFinished(t, west, east, protocol.JobDone, ids...)
	if again < 20 {
		t.Errorf("%d messages were repeated", again)
	}
}
