package part

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"curlewspool/internal/wire"
)

// Spent is money by what it was paid for, in the catalog's unit.
type Spent map[string]float64

// String lists it by cause.
func (s Spent) String() string {
	var out []string
	for _, cause := range slices.Sorted(maps.Keys(s)) {
		out = append(out, fmt.Sprintf("%s %.4f", cause, s[cause]))
	}
	return strings.Join(out, ", ")
}

// Causes for which a machine that is up is paid.
const (
	Ran      = "ran"      // tasks that run
	Fetched  = "fetched"  // tasks that have not begun: images, orders on their way
	Stopping = "stopping" // tasks that were told to stop
	Reserved = "reserved" // free room, for the head
	Leaving  = "leaving"  // free room of a machine that goes back
	Doubted  = "doubted"  // free room of a machine that is likely sick, or silent
	Idled    = "idle"     // other free room
)

// Spend adds what the part's machines cost in a time, by cause: each core's share of
// the machine's price by what it does now. Boots are the leader's to count.
func (p *Part) Spend(took time.Duration, to Spent) {
	now := p.h.Now()
	for _, m := range p.machines() {
		t := p.h.TypeOf(m.Type)
		if t == nil || t.Cores <= 0 {
			continue
		}
		price := t.Rate(m.Spot) * took.Hours()
		left := t.Cores
		for _, run := range m.Runs {
			w := p.Works[run.Job]
			if w == nil || run.Over() {
				continue
			}
			cause := Ran
			switch {
			case run.Halt || run.State == wire.Flushing:
				cause = Stopping
			case run.Began == 0:
				cause = Fetched
			}
			c := min(w.Rec.Job.Cores, left)
			to[cause] += price * c / t.Cores
			left -= c
		}
		cause := Idled
		switch {
		case m.retiring != "" || m.draining || m.Noticed:
			cause = Leaving
		case m.sick || !m.Resolved || !m.Hears() || now-m.LastHeard > 2*p.report():
			cause = Doubted
		case m.reserved != nil:
			cause = Reserved
		}
		to[cause] += price * left / t.Cores
	}
}
