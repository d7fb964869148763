package lead

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/ledger"
	"curlewspool/internal/mesh"
	"curlewspool/internal/wire"
)

// state is a state service with a clock: transactions wait in held while it is mute.
type state struct {
	now   time.Duration
	later []func()
	data  map[string]wire.Entry
	rev   uint64
	mute  bool
	held  []func()
}

func (w *state) Now() time.Duration          { return time.Hour + w.now }
func (w *state) Wall() time.Time             { return time.Unix(1_700_000_000, 0).Add(w.now) }
func (w *state) Rand() *rand.Rand            { return rand.New(rand.NewPCG(1, 2)) }
func (w *state) Send(string, *mesh.Envelope) {}
func (w *state) After(d time.Duration, f func()) {
	if d < time.Second { // what waits for longer is not needed here
		w.later = append(w.later, f)
	}
}

func (w *state) run() {
	for i := 0; len(w.later) > 0 && i < 200; i++ {
		f := w.later[0]
		w.later = w.later[1:]
		f()
	}
}

func (w *state) Call(_, _, path string, in, out any, _ time.Duration, done func(int)) {
	switch {
	case path == "/grants":
		out.(*wire.Grant).Lease = 7
		done(200)
	case strings.HasPrefix(path, "/store?"):
		l := out.(*wire.EntryList)
		l.Ledger = w.rev
		for _, e := range w.data {
			l.Entries = append(l.Entries, e)
		}
		done(200)
	case strings.Contains(path, "holdMs=0"):
		out.(*wire.Changes).Ledger = w.rev
		done(200)
	case path == "/multi":
		apply := func() {
			w.rev++
			for _, o := range in.(*wire.Txn).Apply {
				w.data[o.Put] = wire.Entry{Key: o.Put, Value: o.Value, Stamp: w.rev, Lease: o.Lease}
			}
			out.(*wire.TxnResult).Ledger = w.rev
			done(200)
		}
		if w.mute {
			w.held = append(w.held, apply)
			return
		}
		apply()
	}
}

const life = 10 * time.Second

// member starts a controller's book on what is stored, and gives what it was told of the
// owner before each key that it took: until when that may answer, from now on.
func (w *state) member(name string) (*Book, *ledger.Ledger, map[string]time.Duration) {
	var b *Book
	l := ledger.New(w, "state", name, ledger.Limits{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 12, Members: 2},
		func(key string, value []byte) { b.Change(key, value) })
	b = New(name, l)
	left := map[string]time.Duration{}
	wall := func() float64 { return float64(w.Wall().UnixMilli()) / 1000 }
	b.Until = func() float64 { return wall() + life.Seconds() }
	b.Taken = func(key string, _ uint64, until float64) {
		left[key] = time.Duration((until - wall()) * float64(time.Second))
	}
	b.Lost = func(string) {}
	l.Start()
	l.Grant.Keep(time.Hour, time.Hour, 0)
	w.run()
	return b, l, left
}

// A key is taken by force, and the claim is carried out long after it was built: it was
// held up, or sent again after an answer that was lost. The owner before, who was well,
// answers for a grant's life from then on, not from when it was built. So it is for the
// taker, for the taker when it is back from an end, and for whoever takes the key when it
// is gone. Found by reading: each of them counted from the building, and the time was over.
func TestForcedAndCarriedOutLate(t *testing.T) {
	w := &state{data: map[string]wire.Entry{}}
	x, _, _ := w.member("x")
	key := PartKey(0)
	x.Claim(key, false)
	w.run()
	if !x.Holds(key) {
		t.Fatal("x does not hold the key")
	}

	b, _, left := w.member("b")
	c, _, leftC := w.member("c")
	w.mute = true
	b.Claim(key, true)
	w.run()
	w.now += 3 * life
	w.mute = false
	w.held[0]()
	w.run()
	if got := left[key]; got < life {
		t.Errorf("the taker counts on %v of the owner before, want %v", got, life)
	}

	again, _, left := w.member("b")
	again.Claim(key, false)
	w.run()
	if got := left[key]; got < life {
		t.Errorf("the taker, back, counts on %v of the owner before, want %v", got, life)
	}

	forced := Owner{Host: "b", Forced: true, Token: TokenStep}
	c.Change(key, wire.Encode(&forced))
	c.Change(key, nil) // with b's grant
	delete(w.data, key)
	c.Claim(key, false)
	w.run()
	if got := leftC[key]; got < life {
		t.Errorf("who takes the key when it is gone counts on %v of the owner before, want %v", got, life)
	}

	// Once that is over nobody waits for it: what is stored says so.
	w.now += 3 * life
	last, _, left := w.member("c")
	last.Claim(key, false)
	w.run()
	if got := left[key]; !last.Holds(key) || got > 0 {
		t.Errorf("long after, the key held: %v, %v of an owner before are counted on, want none", last.Holds(key), got)
	}
}
