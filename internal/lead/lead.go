// Package lead keeps who leads and who owns which part: keys in the state
// service that hang on their holder's grant. Each time a key is taken, a
// token is drawn from one stored counter that only grows.
package lead

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"

	"curlewspool/internal/ledger"
	"curlewspool/internal/wire"
)

// TokenStep leaves room below the next token, for a machine to be given a higher one
// when orders got lost or what they started is reaped (see worker.OrdersLost, Orders).
const TokenStep = 1 << 20

// Leader is the key of leadership; part k has PartKey(k).
const Leader = "a/o/lead"

const counterKey = "a/c/token"

// PartKey is the key of a part's ownership.
func PartKey(k int) string { return "a/o/" + strconv.Itoa(k) }

// Owner is the value of such a key.
type Owner struct {
	W     string `cbor:"w"`
	Host  string `cbor:"h"`
	Token uint64 `cbor:"t"`
	// Until is the time of day, in seconds, up to which an owner from whom the
	// key was taken may go on answering workers; 0: nobody does. It stays when
	// the key is taken again: who took it may end and come back, knowing nothing
	// of that. (Found on a scored day: 121 tasks ran twice.)
	Until float64 `cbor:"u,omitempty"`
	// Forced: the key was taken from an owner that may be well. When that was only
	// the state service knows (a claim without an answer is sent again, or carried
	// out late), so who reads it counts that owner's time from the reading.
	Forced bool `cbor:"f,omitempty"`
}

type counter struct {
	W string `cbor:"w"`
	N uint64 `cbor:"n"`
}

// Book knows all owners and what this controller holds.
type Book struct {
	self     string
	l        *ledger.Ledger
	owners   map[string]Owner
	held     map[string]held
	claiming map[string]bool
	until    map[string]float64 // the latest Owner.Until seen of a key: it outlives the key
	// Taken and Lost are told what this controller gains and loses; until: see
	// Owner.
	Taken func(key string, token uint64, until float64)
	Lost  func(key string)
	// Until gives that time of day for an owner from whom a key is taken now.
	Until func() float64
	// Vouched: owners go on without the state service while all members vouch for
	// them, so that one whose key is gone may still answer workers.
	Vouched bool
}

type held struct {
	stamp uint64
	token uint64
}

// New makes an empty book.
func New(self string, l *ledger.Ledger) *Book {
	return &Book{self: self, l: l, owners: map[string]Owner{}, held: map[string]held{}, claiming: map[string]bool{}, until: map[string]float64{}}
}

// Change takes a change of a key below a/o/.
func (b *Book) Change(key string, value []byte) {
	if !strings.HasPrefix(key, "a/o/") {
		return
	}
	if value == nil {
		delete(b.owners, key)
	} else {
		var o Owner
		if err := wire.Decode(value, &o); err != nil {
			slog.Error("lead: bad owner record", "key", key, "err", err)
			return
		}
		b.owners[key] = o
		b.until[key] = max(b.until[key], o.Until)
		if o.Forced {
			b.until[key] = max(b.until[key], b.Until())
		}
	}
	if h, ok := b.held[key]; ok {
		if e, there := b.l.Get(key); !there || e.Stamp > h.stamp {
			if o := b.owners[key]; there && o.Host == b.self && b.claiming[key] {
				return // our own renewal, about to be confirmed
			}
			b.lose(key, "taken by "+b.owners[key].Host)
		}
	}
}

func (b *Book) lose(key, why string) {
	slog.Info("lead: lost", "key", key, "why", why)
	delete(b.held, key)
	b.Lost(key)
}

// Owner gives the holder of a key; "" if nobody.
func (b *Book) Owner(key string) string { return b.owners[key].Host }

// Holds tells whether this controller holds the key, as far as it can know;
// what is done on the strength of it also needs a valid grant.
func (b *Book) Holds(key string) bool { _, ok := b.held[key]; return ok }

// Held lists what this controller holds.
func (b *Book) Held() []string { return slices.Sorted(maps.Keys(b.held)) }

// Token is the token drawn when the key was taken; 0 if it is not held.
func (b *Book) Token(key string) uint64 { return b.held[key].token }

// Guard is the condition that makes a write fail once the key has changed
// hands.
func (b *Book) Guard(key string) wire.Cond {
	h, ok := b.held[key]
	if !ok {
		return wire.Cond{Key: key, Stamp: 1<<63 - 1} // fails for certain
	}
	return wire.Cond{Key: key, Stamp: h.stamp}
}

// DropAll forgets everything held: the grant is over.
func (b *Book) DropAll() {
	for _, key := range slices.Sorted(maps.Keys(b.held)) {
		b.lose(key, "the grant is over")
	}
}

// Forget empties the list of owners, to be told anew.
func (b *Book) Forget() { b.owners = map[string]Owner{} }

// Given tells whether a token can have been given to anybody, as far as the cache
// knows.
func (b *Book) Given(token uint64) bool {
	var c counter
	if e, ok := b.l.Get(counterKey); !ok || wire.Decode(e.Value, &c) != nil {
		return false
	}
	return token/TokenStep <= c.N
}

// Stale tells whether the key is held by this controller's name, but from
// before its restart.
func (b *Book) Stale(key string) bool {
	return b.owners[key].Host == b.self && !b.Holds(key)
}

// Claim takes a key: a free one, our own from before a restart, or (force)
// another's. An owner that holds it draws a new token this way.
func (b *Book) Claim(key string, force bool) {
	if b.claiming[key] || !b.l.Grant.Valid() {
		return
	}
	b.claiming[key] = true
	was := b.owners[key].Host
	var token uint64
	forced := was != b.self && (was != "" || b.Vouched)
	b.l.Write(ledger.Urgent, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			if !b.l.Grant.Valid() || b.owners[key].Host != was || was != "" && was != b.self && !force {
				return nil, nil
			}
			var c counter
			if e, ok := b.l.Get(counterKey); ok {
				if err := wire.Decode(e.Value, &c); err != nil {
					return nil, nil
				}
			}
			c.W = nonce
			c.N++
			token = c.N * TokenStep
			// It stays: the taker's grant may end before the one it took the key from stops.
			until := b.until[key]
			if forced {
				until = max(until, b.Until())
			}
			return []wire.Cond{b.l.Stamp(key), b.l.Stamp(counterKey)}, []wire.Op{
				{Put: key, Value: wire.Encode(&Owner{W: nonce, Host: b.self, Token: token, Until: until, Forced: forced}), Lease: b.l.Grant.ID},
				{Put: counterKey, Value: wire.Encode(&c)}}
		},
		Done: func(ok bool, stamp uint64) {
			delete(b.claiming, key)
			if !ok || !b.l.Grant.Valid() {
				return
			}
			if e, there := b.l.Get(key); !there || e.Stamp != stamp {
				return // taken away again meanwhile
			}
			b.held[key] = held{stamp, token}
			if forced { // it was carried out before now, whenever it was sent
				b.until[key] = max(b.until[key], b.Until())
			}
			b.owners[key] = Owner{Host: b.self, Token: token, Until: b.until[key], Forced: forced}
			slog.Info("lead: taken", "key", key, "token", token, "from", was)
			b.Taken(key, token, b.until[key])
		},
	})
}

// Release gives a key up.
func (b *Book) Release(key string) {
	if !b.Holds(key) {
		return
	}
	guard := b.Guard(key)
	b.lose(key, "released")
	b.l.Write(ledger.Urgent, &ledger.Write{
		Build: func(string) ([]wire.Cond, []wire.Op) {
			return []wire.Cond{guard}, []wire.Op{{Delete: key}}
		},
		Done: func(ok bool, _ uint64) {
			if !ok {
				slog.Info("lead: release failed", "key", key)
			}
		},
	})
}
