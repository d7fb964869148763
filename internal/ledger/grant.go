package ledger

import (
	"fmt"
	"log/slog"
	"time"

	"curlewspool/internal/wire"
)

// Grant is the lease that this controller's keys hang on, and with it how long this
// controller may act as their owner: for the grant's life from the older of two
// moments, the last renewal and the one as of which the cache is proven current. A
// renewal says nothing of what was decided meanwhile. (Refused alone for less than
// the grant's life, then out with everybody: a renewal between the two let an owner
// answer workers for two lives on news from before a cancellation. And an owner whose
// key had been taken by force went on for longer than the taker waits.)
type Grant struct {
	l     *Ledger
	ID    uint64
	life  time.Duration
	every time.Duration
	drift float64
	sent  time.Duration // the last renewal, by our clock
	busy  bool
	// Vouched is the latest moment as of which all members vouched that nothing was
	// cancelled or taken that this controller does not know of; 0: they did not. It
	// stands for both moments: see node/vouch.go.
	Vouched time.Duration
	Gained  func()
	Lost    func()
}

// Keep obtains a grant and renews it every so often.
func (g *Grant) Keep(life, every time.Duration, drift float64) {
	g.life, g.every, g.drift = life, every, drift
	g.tick()
}

// Valid tells whether this controller may act on its strength now. The service
// counts a renewal from when it executed it, which is later than it was sent; the
// clocks may drift apart.
func (g *Grant) Valid() bool {
	return g.ID != 0 && g.l.w.Now() < max(min(g.sent, g.l.seenOK), g.Vouched)+time.Duration(float64(g.life)*(1-2*g.drift))
}

func (g *Grant) tick() {
	if g.busy {
		return
	}
	g.busy = true
	sent := g.l.w.Now()
	limit := min(timeout, 2*g.every)
	next := func(ok bool) {
		g.busy = false
		d := g.every
		if !ok {
			d = min(g.every, g.l.retry())
		}
		g.l.w.After(max(0, sent+d-g.l.w.Now()), g.tick)
	}
	if g.ID == 0 {
		out := &wire.Grant{}
		g.l.w.Call(g.l.addr, "POST", "/grants", &wire.GrantRequest{LifeMs: uint64(g.life.Milliseconds())}, out, limit,
			func(status int) {
				if (status == 200 || status == 201) && out.Lease != 0 {
					g.ID = out.Lease
					g.sent = sent
					slog.Info("state: grant", "permit", g.ID)
					if g.Gained != nil {
						g.Gained()
					}
				}
				next(g.ID != 0)
			})
		return
	}
	id := g.ID
	g.l.w.Call(g.l.addr, "POST", fmt.Sprintf("/grants/%d/touch", id), nil, nil, limit, func(status int) {
		g.l.note(status)
		if g.ID == id {
			switch status {
			case 200, 204:
				g.sent = sent
			case 404:
				g.lost()
			}
		}
		next(status == 200 || status == 204)
	})
}

func (g *Grant) lost() {
	if g.ID == 0 {
		return
	}
	slog.Info("state: grant lost", "permit", g.ID)
	g.ID, g.Vouched = 0, 0
	if g.Lost != nil {
		g.Lost()
	}
	if !g.busy {
		g.tick()
	}
}
