package ledger

import (
	"fmt"
	"log/slog"
	"time"

	"curlewspool/internal/wire"
)

// Grant is the lease that this controller's keys hang on.
type Grant struct {
	l      *Ledger
	ID     uint64
	life   time.Duration
	every  time.Duration
	drift  float64
	until  time.Duration // by our clock, less drift: the key cannot be gone before
	busy   bool
	Gained func()
	Lost   func()
}

// Keep obtains a grant and renews it every so often.
func (g *Grant) Keep(life, every time.Duration, drift float64) {
	g.life, g.every, g.drift = life, every, drift
	g.tick()
}

// Until is the moment up to which the grant surely holds; 0 without one.
func (g *Grant) Until() time.Duration {
	if g.ID == 0 {
		return 0
	}
	return g.until
}

// Valid tells whether it surely holds now.
func (g *Grant) Valid() bool { return g.ID != 0 && g.l.w.Now() < g.until }

// hold notes a renewal that was sent at the given time. The service counts
// from when it executed it, which is later; the clocks may drift apart.
func (g *Grant) hold(sent time.Duration) {
	g.until = sent + time.Duration(float64(g.life)*(1-2*g.drift))
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
				if status == 200 || status == 201 {
					g.ID = out.Lease
					g.hold(sent)
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
				g.hold(sent)
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
	g.ID = 0
	if g.Lost != nil {
		g.Lost()
	}
	if !g.busy {
		g.tick()
	}
}
