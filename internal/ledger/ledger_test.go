package ledger

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/mesh"
	"curlewspool/internal/wire"
)

// service answers transactions as told and notes them.
type service struct {
	later   []func()
	sent    []wire.Txn
	reply   func(t *wire.Txn) (int, wire.TxnResult)
	clock   time.Duration
	slow    bool // answers to transactions wait in held
	held    []func()
	looks   int // keys read
	read    func(key string) (int, wire.Entry)
	changes func() wire.Changes
}

func (w *service) Now() time.Duration              { return time.Minute + w.clock }
func (w *service) Wall() time.Time                 { return time.Unix(1_700_000_000, 0) }
func (w *service) Rand() *rand.Rand                { return rand.New(rand.NewPCG(1, 2)) }
func (w *service) After(_ time.Duration, f func()) { w.later = append(w.later, f) }
func (w *service) Send(string, *mesh.Envelope)     {}
func (w *service) Call(_, _, path string, in, out any, _ time.Duration, done func(int)) {
	if key, ok := strings.CutPrefix(path, "/store/"); ok && w.read != nil {
		w.looks++
		status, e := w.read(key)
		*out.(*wire.Entry) = e
		done(status)
	}
	if c, ok := out.(*wire.Changes); ok && w.changes != nil {
		*c = w.changes()
		done(200)
	}
	t, ok := in.(*wire.Txn)
	if !ok || path != "/multi" {
		return
	}
	w.sent = append(w.sent, *t)
	answer := func() {
		status, res := w.reply(t)
		*out.(*wire.TxnResult) = res
		done(status)
	}
	if w.slow {
		w.held = append(w.held, answer)
		return
	}
	w.clock += 5 * time.Millisecond
	answer()
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

// A state service that applies at once and answers late: what is stored is read,
// and the answer, whatever it says, tells nothing more. While the key holds
// another's value nothing is concluded, and the answer decides.
func TestLateAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		mine   bool // the key shows this write
		answer int  // that comes in the end
		before []bool
		after  []bool // what the writer was told, before the answer and after it
	}{
		{"applied", true, 200, []bool{true}, []bool{true}},
		{"applied, and the answer is lost", true, 0, []bool{true}, []bool{true}},
		{"not applied yet", false, 200, nil, []bool{true}},
	} {
		w, l := open(func(*wire.Txn) (int, wire.TxnResult) { return c.answer, wire.TxnResult{Ledger: 8} })
		l.answers.add(5 * time.Millisecond)
		w.slow = true
		nonce, told := "", []bool(nil)
		w.read = func(string) (int, wire.Entry) {
			who := "another"
			if c.mine {
				who = nonce
			}
			return 200, wire.Entry{Value: wire.Encode(map[string]string{"w": who}), Stamp: 7}
		}
		l.Write(Urgent, &Write{
			Build: func(n string) ([]wire.Cond, []wire.Op) {
				nonce = n
				return []wire.Cond{{Key: "d/1"}}, []wire.Op{{Put: "d/1", Value: wire.Encode(map[string]string{"w": n})}}
			},
			Done: func(ok bool, _ uint64) { told = append(told, ok) },
		})
		w.settle()
		if !slices.Equal(told, c.before) || w.looks != 1 {
			t.Errorf("%s: before the answer the writer was told %v after %d looks, want %v after one", c.name, told, w.looks, c.before)
		}
		w.slow = false
		for _, f := range w.held {
			f()
		}
		w.settle()
		if !slices.Equal(told, c.after) || len(w.sent) != 1 {
			t.Errorf("%s: after the answer %v in %d sends, want %v in one", c.name, told, len(w.sent), c.after)
		}
		if l.inFlight != 0 {
			t.Errorf("%s: %d batches are counted as under way, want none", c.name, l.inFlight)
		}
	}
}

// A transaction is carried out at once and its answer held up; meanwhile another
// controller deletes what it wrote, or writes it anew, and the watch brings both. The
// answer must not put back what is gone: nothing would ever take it out again. Before,
// a job that was called off while the answer to its chunk's move was late lived on.
func TestLateAnswerAfterDeletion(t *testing.T) {
	for _, c := range []struct {
		name  string
		op    wire.Op
		later []wire.Change // made by others after it
		told  []string      // what the cache's readers were told
		stamp uint64        // of the key in the end; 0: it is not there
	}{
		{"put, deleted by another", wire.Op{Put: "a/j/x"}, []wire.Change{{Put: "a/j/x", Stamp: 11}, {Delete: "a/j/x", Stamp: 12}}, []string{"11", "gone"}, 0},
		{"put, written anew by another", wire.Op{Put: "a/j/x"}, []wire.Change{{Put: "a/j/x", Stamp: 11}, {Put: "a/j/x", Stamp: 12}}, []string{"11", "12"}, 12},
		{"deleted, written anew by another", wire.Op{Delete: "a/j/x"}, []wire.Change{{Delete: "a/j/x", Stamp: 11}, {Put: "a/j/x", Stamp: 12}}, []string{"gone", "12"}, 12},
		{"put, nothing since", wire.Op{Put: "a/j/x"}, nil, []string{"11"}, 11},
	} {
		w, l := open(func(*wire.Txn) (int, wire.TxnResult) { return 200, wire.TxnResult{Ledger: 11} })
		var told []string
		l.change = func(key string, value []byte) {
			switch e, ok := l.Get(key); {
			case key == "":
			case !ok:
				told = append(told, "gone")
			default:
				told = append(told, strconv.FormatUint(e.Stamp, 10))
			}
		}
		l.loaded, l.rev, w.slow = true, 10, true
		done := []bool(nil)
		l.Write(Urgent, &Write{
			Build: func(n string) ([]wire.Cond, []wire.Op) {
				op := c.op
				if op.Put != "" {
					op.Value = wire.Encode(map[string]string{"w": n})
				}
				return []wire.Cond{{Key: "a/j/x"}}, []wire.Op{op}
			},
			Done: func(ok bool, _ uint64) { done = append(done, ok) },
		})
		w.settle()
		if len(c.later) > 0 {
			l.absorb(&wire.Changes{Ledger: 12, Log: c.later})
		}
		for _, f := range w.held {
			f()
		}
		w.settle()
		e, _ := l.Get("a/j/x")
		if !slices.Equal(told, c.told) || e.Stamp != c.stamp || !slices.Equal(done, []bool{true}) {
			t.Errorf("%s: readers were told %v, the cache has stamp %d, the writer heard %v; want %v, %d and that it was applied", c.name, told, e.Stamp, done, c.told, c.stamp)
		}
	}
}

// Answers of the state service that cannot be one: none proves that the cache is
// current, or changes it, or ends the process; a transaction that is said to be
// applied under no revision is looked for.
func TestBadAnswers(t *testing.T) {
	good := []wire.Change{{Put: "a/j/x", Value: wire.Encode(1), Stamp: 12}}
	for _, c := range []struct {
		name string
		c    wire.Changes
		ok   bool
	}{
		{"good", wire.Changes{Ledger: 12, Log: good}, true},
		{"nothing new", wire.Changes{Ledger: 10}, true},
		{"no revision", wire.Changes{}, false},
		{"no revision, with events", wire.Changes{Log: good}, false},
		{"a revision that goes back", wire.Changes{Ledger: 9}, false},
		{"an event from before", wire.Changes{Ledger: 12, Log: []wire.Change{{Delete: "a/j/x", Stamp: 10}}}, false},
		{"an event later than the revision", wire.Changes{Ledger: 11, Log: good}, false},
		{"an event of no key", wire.Changes{Ledger: 12, Log: []wire.Change{{Stamp: 12}}}, false},
		{"an event of two keys", wire.Changes{Ledger: 12, Log: []wire.Change{{Put: "a/j/x", Delete: "a/j/y", Stamp: 12}}}, false},
		{"an event of a key that is not ours", wire.Changes{Ledger: 12, Log: []wire.Change{{Delete: "b/j/x", Stamp: 12}}}, false},
	} {
		if got := sound(200, &c.c, 10) == 200; got != c.ok {
			t.Errorf("%s: taken %v, want %v", c.name, got, c.ok)
		}
	}

	w, l := open(nil)
	l.loaded, l.rev, l.seenOK = true, 10, w.Now()
	before := l.seenOK
	w.changes = func() wire.Changes { return wire.Changes{} }
	w.clock += time.Second
	proven := []bool{}
	l.Prove(func(ok bool) { proven = append(proven, ok) })
	w.settle()
	if len(proven) != 1 || proven[0] || l.seenOK != before || l.rev != 10 {
		t.Errorf("an answer without revision: proven %v, cache as of %v at %d", proven, l.seenOK-before, l.rev)
	}

	// Said to be applied, under no revision; the key shows that it is.
	tries, told, nonce := 0, []bool(nil), ""
	w, l = open(nil)
	w.reply = func(*wire.Txn) (int, wire.TxnResult) {
		tries++
		return map[bool]int{true: 200, false: 409}[tries == 1], wire.TxnResult{}
	}
	w.read = func(string) (int, wire.Entry) {
		return 200, wire.Entry{Value: wire.Encode(map[string]string{"w": nonce}), Stamp: 7}
	}
	l.Write(Urgent, &Write{
		Build: func(n string) ([]wire.Cond, []wire.Op) {
			nonce = n
			return []wire.Cond{{Key: "d/1"}}, []wire.Op{{Put: "d/1", Value: wire.Encode(map[string]string{"w": n})}}
		},
		Done: func(ok bool, stamp uint64) { told = append(told, ok && stamp == 7) },
	})
	w.settle()
	if !slices.Equal(told, []bool{true}) || tries != 2 {
		t.Errorf("applied under no revision: told %v after %d sends, want once, after 2", told, tries)
	}
}
