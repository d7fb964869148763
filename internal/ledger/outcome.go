package ledger

import (
	"log/slog"
	"slices"
	"strings"

	"curlewspool/internal/wire"
)

// This file sends transactions and finds out what became of them.

func (l *Ledger) send(b *batch) {
	if b.over {
		return
	}
	out, sent, answered := &wire.TxnResult{}, l.w.Now(), false
	l.w.Call(l.addr, "POST", "/multi", b.txn, out, timeout, func(status int) {
		answered = true
		if status == 200 && out.Ledger == 0 {
			status = 0 // of no revision: whether it was applied is to be found out
		}
		l.note(status)
		if status == 200 {
			l.answers.add(l.w.Now() - sent)
		}
		if b.over {
			return
		}
		switch status {
		case 200:
			l.applied(b, out.Ledger)
		case 409:
			if b.doubt {
				l.settle(b)
				return
			}
			l.conflict(b, out.Failed)
		case 400:
			if b.doubt && !strings.Contains(out.Error, "lease") && !strings.Contains(out.Error, "permit") {
				l.settle(b)
				return
			}
			slog.Error("state: transaction refused", "err", out.Error, "first", b.txn.Apply[0].Put)
			if out.Error != "" && strings.Contains(out.Error, "no such") {
				l.Grant.lost()
			}
			l.conflict(b, nil)
		case 429, 503: // not executed
			if b.doubt {
				l.w.After(l.retry(), func() { l.send(b) })
				return
			}
			l.pauseTo = l.w.Now() + l.retry()
			l.inFlight--
			for i := len(b.writes) - 1; i >= 0; i-- { // to be built anew
				if w := b.writes[i]; status != 503 || w.Refused == nil || !w.Refused() {
					l.queue[Urgent] = append([]*Write{w}, l.queue[Urgent]...)
				}
			}
			l.again(l.retry())
		default:
			// It may have been applied or may be yet. The same conditions
			// hold for the second copy, so at most one of the two takes
			// effect; the nonce tells whether one has.
			b.doubt = true
			l.w.After(l.retry(), func() { l.send(b) })
		}
	})
	if d, ok := l.answers.late(); ok && b.put() != "" {
		l.w.After(d, func() {
			if !answered && !b.over {
				l.look(b)
			}
		})
	}
}

// put is a key that the batch writes; none if it only deletes.
func (b *batch) put() string {
	i := slices.IndexFunc(b.txn.Apply, func(o wire.Op) bool { return o.Put != "" })
	if i < 0 {
		return ""
	}
	return b.txn.Apply[i].Put
}

// read tells whether what the batch writes is stored; status 0, 429 and 503: not
// known. A value that is not the batch's proves nothing while it is under way.
func (l *Ledger) read(b *batch, done func(status int, stored bool, stamp uint64)) {
	l.Fetch(b.put(), func(status int, value []byte, stamp uint64) {
		var v struct {
			W string `cbor:"w"`
		}
		done(status, status == 200 && wire.Decode(value, &v) == nil && v.W == b.nonce, stamp)
	})
}

// settle finds out whether a doubtful batch was applied.
func (l *Ledger) settle(b *batch) {
	if b.put() == "" {
		l.conflict(b, nil)
		return
	}
	l.read(b, func(status int, stored bool, stamp uint64) {
		switch {
		case b.over:
		case stored:
			l.applied(b, stamp)
		case status == 200 || status == 404:
			l.conflict(b, nil)
		default:
			l.w.After(l.retry(), func() { l.settle(b) })
		}
	})
}

func (l *Ledger) applied(b *batch, stamp uint64) {
	b.over = true
	l.inFlight--
	for _, o := range b.txn.Apply {
		key := o.Put + o.Delete
		// What the cache has passed it knows better than an answer that comes late: a
		// key that is not there any more was deleted since. (A chunk's move, its answer
		// held up, and the job called off by then through another controller: the answer
		// put the job back into this one's cache, for good, where it was started again.)
		if !strings.HasPrefix(key, Root) || l.cache[key].Stamp >= stamp || l.loaded && stamp <= l.rev {
			continue
		}
		if o.Put != "" {
			l.cache[key] = Entry{o.Value, stamp, o.Lease}
		} else {
			delete(l.cache, key)
			if stamp > l.rev {
				l.gone[key] = stamp
			}
		}
		if l.loaded {
			l.change(key, o.Value)
		}
	}
	if l.loaded {
		l.change("", nil)
	}
	for _, w := range b.writes {
		w.Done(true, stamp)
	}
	l.pump()
}

// conflict: none of the batch was applied. A lone write is told so, once the
// cache shows why. Of several, those whose conditions failed are tried again
// one by one; their company goes back to where it waited. (One stale write
// among twenty would otherwise cost twenty transactions.)
func (l *Ledger) conflict(b *batch, failed []string) {
	l.inFlight--
	if len(b.writes) > 1 {
		for i := len(b.writes) - 1; i >= 0; i-- {
			w, u := b.writes[i], b.writes[i].urgency
			if len(failed) == 0 || slices.ContainsFunc(b.conds[i], func(c wire.Cond) bool { return slices.Contains(failed, c.Key) }) {
				w.tries++
				u = Urgent
			}
			l.queue[u] = append([]*Write{w}, l.queue[u]...)
		}
		l.pump()
		return
	}
	w := b.writes[0]
	l.tell(w)
	l.pump()
}

// tell says that w was not applied, but not before the cache shows why: an
// owner that goes on with what it knew before could act on what is no longer
// its own.
func (l *Ledger) tell(w *Write) {
	l.Prove(func(ok bool) {
		if !ok {
			l.w.After(l.retry(), func() { l.tell(w) })
			return
		}
		w.Done(false, 0)
	})
}
