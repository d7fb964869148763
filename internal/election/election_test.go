package election

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
)

// fakeService is a state service with a clock: transactions wait in held while it is mute.
type fakeService struct {
	now               time.Duration
	timers            []func()
	data              map[string]protocol.Entry
	revision          uint64
	holdsTransactions bool
	heldTransactions  []func()
}

func (f *fakeService) Now() time.Duration             { return time.Hour + f.now }
func (f *fakeService) Wall() time.Time                { return time.Unix(1_700_000_000, 0).Add(f.now) }
func (f *fakeService) Rand() *rand.Rand               { return rand.New(rand.NewPCG(1, 2)) }
func (f *fakeService) Send(string, *peermsg.Envelope) {}
func (w *fakeService) After(d time.Duration, f func()) {
	if d < time.Second { // what waits for longer is not needed here
		w.timers = append(w.timers, f)
	}
}

func (w *fakeService) runTimers() {
	for i := 0; len(w.timers) > 0 && i < 200; i++ {
		f := w.timers[0]
		w.timers = w.timers[1:]
		f()
	}
}

func (f *fakeService) Call(_, _, path string, in, out any, _ time.Duration, done func(int)) {
	switch {
	case path == "/grants":
		out.(*protocol.LeaseGrant).Lease = 7
		done(200)
	case strings.HasPrefix(path, "/store?"):
		l := out.(*protocol.EntryList)
		l.StoreRevision = f.revision
		for _, e := range f.data {
			l.Entries = append(l.Entries, e)
		}
		done(200)
	case strings.Contains(path, "holdMs=0"):
		out.(*protocol.ChangeLog).StoreRevision = f.revision
		done(200)
	case path == "/multi":
		apply := func() {
			f.revision++
			for _, o := range in.(*protocol.Transaction).Mutations {
				f.data[o.Put] = protocol.Entry{Key: o.Put, Value: o.Value, Revision: f.revision, Lease: o.Lease}
			}
			out.(*protocol.TransactionResult).StoreRevision = f.revision
			done(200)
		}
		if f.holdsTransactions {
			f.heldTransactions = append(f.heldTransactions, apply)
			return
		}
		apply()
	}
}

const leaseTTL = 10 * time.Second

// startMember starts a controller's book on what is stored, and gives what it was told of the
// owner before each key that it took: until when that may answer, from now on.
func (f *fakeService) startMember(name string) (*Registry, *kvstore.Store, map[string]time.Duration) {
	var b *Registry
	l := kvstore.New(f, "state", name, kvstore.Limits{RequestsPerSecond: 100, WritesPerSecond: 100, ValueKB: 8, MutationsPerTransaction: 12, Members: 2},
		func(key string, value []byte) { b.ApplyChange(key, value) })
	b = New(name, l)
	left := map[string]time.Duration{}
	wall := func() float64 { return float64(f.Wall().UnixMilli()) / 1000 }
	b.PreviousOwnerDeadline = func() float64 { return wall() + leaseTTL.Seconds() }
	b.OnAcquired = func(key string, _ uint64, until float64) {
		left[key] = time.Duration((until - wall()) * float64(time.Second))
	}
	b.OnLost = func(string) {}
	l.Start()
	l.Lease.KeepAlive(time.Hour, time.Hour, 0)
	f.runTimers()
	return b, l, left
}

// A key is taken by force, and the claim is carried out long after it was built: it was
// held up, or sent again after an answer that was lost. The owner before, who was well,
// answers for a grant's life from then on, not from when it was built. So it is for the
// taker, for the taker when it is back from an end, and for whoever takes the key when it
// is gone. Found by reading: each of them counted from the building, and the time was over.
func TestForcedClaimAppliedLate(t *testing.T) {
	w := &fakeService{data: map[string]protocol.Entry{}}
	x, _, _ := w.startMember("x")
	key := ShardKey(0)
	x.Claim(key, false)
	w.runTimers()
	if !x.Holds(key) {
		t.Fatal("x does not hold the key")
	}

	b, _, left := w.startMember("b")
	c, _, leftC := w.startMember("c")
	w.holdsTransactions = true
	b.Claim(key, true)
	w.runTimers()
	w.now += 3 * leaseTTL
	w.holdsTransactions = false
	w.heldTransactions[0]()
	w.runTimers()
	if got := left[key]; got < leaseTTL {
		t.Errorf("the taker counts on %v of the owner before, want %v", got, leaseTTL)
	}

	again, _, left := w.startMember("b")
	again.Claim(key, false)
	w.runTimers()
	if got := left[key]; got < leaseTTL {
		t.Errorf("the taker, back, counts on %v of the owner before, want %v", got, leaseTTL)
	}

	forced := OwnerRecord{Host: "b", TakenByForce: true, FencingToken: FencingTokenStep}
	c.ApplyChange(key, protocol.Encode(&forced))
	c.ApplyChange(key, nil) // with b's grant
	delete(w.data, key)
	c.Claim(key, false)
	w.runTimers()
	if got := leftC[key]; got < leaseTTL {
		t.Errorf("who takes the key when it is gone counts on %v of the owner before, want %v", got, leaseTTL)
	}

	// Once that is over nobody waits for it: what is stored says so.
	w.now += 3 * leaseTTL
	last, _, left := w.startMember("c")
	last.Claim(key, false)
	w.runTimers()
	if got := left[key]; !last.Holds(key) || got > 0 {
		t.Errorf("long after, the key held: %v, %v of an owner before are counted on, want none", last.Holds(key), got)
	}
}
