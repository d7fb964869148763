package ledger

import (
	"fmt"
	"time"

	"curlewspool/internal/wire"
)

// This file queues writes and groups them into transactions, within the budget of changes.

// Write is one atomic group of changes. Its conditions are worked out when it
// is sent, so a waiting write never carries an old stamp or value.
type Write struct {
	// Build gives conditions and changes; every key written must be among
	// the conditions, or a delayed copy of the transaction could undo a newer
	// one. Values must carry nonce (field "w"). No changes: the write is off.
	Build func(nonce string) ([]wire.Cond, []wire.Op)
	// Done tells whether it was applied; false: it was not and never will be.
	Done func(ok bool, stamp uint64)
	// Refused, if given, is told that the service refuses requests for now;
	// true gives the write up (it was not applied).
	Refused func() bool
	tries   int
	urgency int
}

// Urgency of a write.
const (
	Urgent = iota // grants, accepts, aborts, ends
	Soon          // starts
	Later         // progress
)

func (l *Ledger) rate() float64 {
	return 0.9 * l.lim.WriteRPS / max(1, 0.7*float64(l.lim.Members))
}

// Queued is the number of writes that wait.
func (l *Ledger) Queued() int { return len(l.queue[0]) + len(l.queue[1]) + len(l.queue[2]) }

// Pressed tells whether writes wait that take the budget of so many seconds.
func (l *Ledger) Pressed(seconds float64) bool { return float64(l.Queued()) >= seconds*l.rate() }

// Write queues a transaction.
func (l *Ledger) Write(urgency int, w *Write) {
	w.urgency = urgency
	l.queue[urgency] = append(l.queue[urgency], w)
	// Sent after the current batch of commands, so that what belongs
	// together is committed together.
	if !l.pumping {
		l.pumping = true
		l.w.After(0, func() { l.pumping = false; l.pump() })
	}
}

type batch struct {
	writes []*Write
	nonce  string
	txn    *wire.Txn
	conds  [][]wire.Cond // each write's
	doubt  bool          // an earlier send may have been, or yet be, applied
	over   bool          // seen to be applied before its answer came
}

func (l *Ledger) pump() {
	for l.inFlight < 3 && l.Queued() > 0 {
		now := l.w.Now()
		if now < l.pauseTo {
			l.again(l.pauseTo - now)
			return
		}
		l.budget = min(l.rate(), l.budget+l.rate()*(now-l.budgetAt).Seconds())
		l.budgetAt = now
		b := l.collect()
		if b == nil {
			if l.Queued() > 0 {
				l.again(time.Duration(float64(time.Second) / l.rate()))
			}
			return
		}
		l.inFlight++
		l.send(b)
	}
}

func (l *Ledger) again(d time.Duration) {
	if l.pumping {
		return
	}
	l.pumping = true
	l.w.After(d, func() { l.pumping = false; l.pump() })
}

// collect fills a batch, urgent writes first. Lesser ones leave a part of
// the budget untouched for urgent ones to come.
func (l *Ledger) collect() *batch {
	l.nonces++
	b := &batch{nonce: fmt.Sprintf("%s.%d", l.nonce, l.nonces), txn: &wire.Txn{}}
	seen := map[string]uint64{}
	size := 0
	for u := range l.queue {
		floor := []float64{-l.rate(), 0, 0.25 * l.rate()}[u]
		// Done may queue another write: it must not be lost with the old list.
		var left []*Write
		queued := l.queue[u]
		l.queue[u] = nil
		for i, w := range queued {
			if len(b.writes) > 0 && w.tries > 0 { // a write that failed in company goes alone
				left = append(left, w)
				continue
			}
			conds, ops := w.Build(b.nonce)
			if len(ops) == 0 {
				w.Done(false, 0)
				continue
			}
			sz := 0
			clash := false
			for _, o := range ops {
				sz += 2*len(o.Value) + len(o.Put) + len(o.Delete) + 64
			}
			for _, c := range conds {
				sz += len(c.Key) + 40
				if s, ok := seen[c.Key]; ok && s != c.Stamp {
					clash = true
				}
			}
			for _, o := range ops {
				if _, ok := seen["w:"+o.Put+o.Delete]; ok {
					clash = true
				}
			}
			if clash || len(b.txn.Apply)+len(ops) > l.lim.TxnOps || len(b.txn.When)+len(conds) > 4*l.lim.TxnOps ||
				size+sz > 60<<10 || l.budget-float64(len(ops)) < floor && !(u == Urgent && len(b.writes) == 0 && l.budget > -l.rate()) {
				left = append(left, queued[i:]...)
				break
			}
			size += sz
			l.budget -= float64(len(ops))
			for _, c := range conds {
				if _, ok := seen[c.Key]; !ok {
					b.txn.When = append(b.txn.When, c)
				}
				seen[c.Key] = c.Stamp
			}
			for _, o := range ops {
				seen["w:"+o.Put+o.Delete] = 1
			}
			b.conds = append(b.conds, conds)
			b.txn.Apply = append(b.txn.Apply, ops...)
			b.writes = append(b.writes, w)
			if w.tries > 0 {
				left = append(left, queued[i+1:]...)
				l.queue[u] = append(left, l.queue[u]...)
				return b
			}
		}
		l.queue[u] = append(left, l.queue[u]...)
		if len(left) > 0 && len(b.writes) > 0 {
			break
		}
	}
	if len(b.writes) == 0 {
		return nil
	}
	return b
}
