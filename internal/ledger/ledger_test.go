package ledger

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/mesh"
	"curlewspool/internal/wire"
)

// service answers transactions as told and notes them.
type service struct {
	later []func()
	sent  []wire.Txn
	reply func(t *wire.Txn) (int, wire.TxnResult)
}

func (w *service) Now() time.Duration              { return time.Minute }
func (w *service) Wall() time.Time                 { return time.Unix(1_700_000_000, 0) }
func (w *service) Rand() *rand.Rand                { return rand.New(rand.NewPCG(1, 2)) }
func (w *service) After(_ time.Duration, f func()) { w.later = append(w.later, f) }
func (w *service) Send(string, *mesh.Envelope)     {}
func (w *service) Call(_, _, path string, in, out any, _ time.Duration, done func(int)) {
	t, ok := in.(*wire.Txn)
	if !ok || path != "/multi" {
		return
	}
	w.sent = append(w.sent, *t)
	status, res := w.reply(t)
	*out.(*wire.TxnResult) = res
	done(status)
}

func (w *service) settle() {
	for i := 0; len(w.later) > 0 && i < 100; i++ {
		f := w.later[0]
		w.later = w.later[1:]
		f()
	}
}

func put(key string, done func(bool)) *Write {
	return &Write{
		Build: func(string) ([]wire.Cond, []wire.Op) {
			return []wire.Cond{{Key: key}}, []wire.Op{{Put: key, Value: wire.Encode(map[string]string{"w": "x"})}}
		},
		Done: func(ok bool, _ uint64) { done(ok) },
	}
}

func open(reply func(t *wire.Txn) (int, wire.TxnResult)) (*service, *Ledger) {
	w := &service{reply: reply}
	l := New(w, "state", "n0", Limits{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 12, Members: 1}, func(string, []byte) {})
	return w, l
}

// A write that is off may queue another as it is told so, while a batch is
// collected: found on a reading, the queue was then written back without it.
func TestWriteQueuedWhileCollecting(t *testing.T) {
	w, l := open(func(*wire.Txn) (int, wire.TxnResult) { return 200, wire.TxnResult{Ledger: 1} })
	stored := false
	l.Write(Soon, &Write{
		Build: func(string) ([]wire.Cond, []wire.Op) { return nil, nil },
		Done:  func(bool, uint64) { l.Write(Soon, put("d/2", func(ok bool) { stored = ok })) },
	})
	w.settle()
	if !stored {
		t.Error("the second write was lost")
	}
}

// Of a batch that fails, only the writes whose conditions failed go alone.
func TestConflictSendsFaultyAlone(t *testing.T) {
	w, l := open(func(x *wire.Txn) (int, wire.TxnResult) {
		if slices.ContainsFunc(x.When, func(c wire.Cond) bool { return c.Key == "d/3" }) {
			return 409, wire.TxnResult{Failed: []string{"d/3"}}
		}
		return 200, wire.TxnResult{Ledger: 1}
	})
	good := 0
	for _, key := range []string{"d/1", "d/2", "d/3", "d/4", "d/5"} {
		l.Write(Later, put(key, func(ok bool) {
			if ok {
				good++
			}
		}))
	}
	w.settle()
	var sizes []int
	for _, x := range w.sent {
		sizes = append(sizes, len(x.Apply))
	}
	if good != 4 || !slices.Equal(sizes, []int{5, 1, 4}) {
		t.Errorf("%d of 4 were stored, in transactions of %v changes, want 5, 1 and 4", good, sizes)
	}
}
