package kvstore

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
)

// fakeService answers transactions as told and notes them.
type fakeService struct {
	timers       []func()
	sent         []protocol.Transaction
	reply        func(t *protocol.Transaction) (int, protocol.TransactionResult)
	clock        time.Duration
	holdsAnswers bool // answers to transactions wait in held
	heldAnswers  []func()
	keyReads     int // keys read
	read         func(key string) (int, protocol.Entry)
	changes      func() protocol.ChangeLog
}

func (f *fakeService) Now() time.Duration              { return time.Minute + f.clock }
func (f *fakeService) Wall() time.Time                 { return time.Unix(1_700_000_000, 0) }
func (f *fakeService) Rand() *rand.Rand                { return rand.New(rand.NewPCG(1, 2)) }
func (w *fakeService) After(_ time.Duration, f func()) { w.timers = append(w.timers, f) }
func (f *fakeService) Send(string, *peermsg.Envelope)  {}
func (f *fakeService) Call(_, _, path string, in, out any, _ time.Duration, done func(int)) {
	if key, ok := strings.CutPrefix(path, "/store/"); ok && f.read != nil {
		f.keyReads++
		status, e := f.read(key)
		*out.(*protocol.Entry) = e
		done(status)
	}
	if c, ok := out.(*protocol.ChangeLog); ok && f.changes != nil {
		*c = f.changes()
		done(200)
	}
	t, ok := in.(*protocol.Transaction)
	if !ok || path != "/multi" {
		return
	}
	f.sent = append(f.sent, *t)
	answer := func() {
		status, res := f.reply(t)
		*out.(*protocol.TransactionResult) = res
		done(status)
	}
	if f.holdsAnswers {
		f.heldAnswers = append(f.heldAnswers, answer)
		return
	}
	f.clock += 5 * time.Millisecond
	answer()
}

func (w *fakeService) runTimers() {
	for i := 0; len(w.timers) > 0 && i < 100; i++ {
		f := w.timers[0]
		w.timers = w.timers[1:]
		f()
	}
}

func putRequest(key string, done func(bool)) *WriteRequest {
	return &WriteRequest{
		Build: func(string) ([]protocol.Condition, []protocol.Mutation) {
			return []protocol.Condition{{Key: key}}, []protocol.Mutation{{Put: key, Value: protocol.Encode(map[string]string{"w": "x"})}}
		},
		Done: func(ok bool, _ uint64) { done(ok) },
	}
}

func newTestStore(reply func(t *protocol.Transaction) (int, protocol.TransactionResult)) (*fakeService, *Store) {
	w := &fakeService{reply: reply}
	l := New(w, "state", "n0", Limits{RequestsPerSecond: 100, WritesPerSecond: 100, ValueKB: 16, MutationsPerTransaction: 12, Members: 1}, func(string, []byte) {})
	return w, l
}

// A write that is off may queue another as it is told so, while a batch is
// collected: found on a reading, the queue was then written back without it.
func TestWriteQueuedDuringBatchBuild(t *testing.T) {
	w, l := newTestStore(func(*protocol.Transaction) (int, protocol.TransactionResult) {
		return 200, protocol.TransactionResult{StoreRevision: 1}
	})
	stored := false
	l.Write(PriorityNormal, &WriteRequest{
		Build: func(string) ([]protocol.Condition, []protocol.Mutation) { return nil, nil },
		Done:  func(bool, uint64) { l.Write(PriorityNormal, putRequest("d/2", func(ok bool) { stored = ok })) },
	})
	w.runTimers()
	if !stored {
		t.Error("the second write was lost")
	}
}

// Of a batch that fails, only the writes whose conditions failed go alone.
func TestConflictRetriesFailedWritesAlone(t *testing.T) {
	w, l := newTestStore(func(x *protocol.Transaction) (int, protocol.TransactionResult) {
		if slices.ContainsFunc(x.Conditions, func(c protocol.Condition) bool { return c.Key == "d/3" }) {
			return 409, protocol.TransactionResult{FailedKeys: []string{"d/3"}}
		}
		return 200, protocol.TransactionResult{StoreRevision: 1}
	})
	good := 0
	for _, key := range []string{"d/1", "d/2", "d/3", "d/4", "d/5"} {
		l.Write(PriorityLow, putRequest(key, func(ok bool) {
			if ok {
				good++
			}
		}))
	}
	w.runTimers()
	var sizes []int
	for _, x := range w.sent {
		sizes = append(sizes, len(x.Mutations))
	}
	if good != 4 || !slices.Equal(sizes, []int{5, 1, 4}) {
		t.Errorf("%d of 4 were stored, in transactions of %v changes, want 5, 1 and 4", good, sizes)
	}
}

// A state service that applies at once and answers late: what is stored is read,
// and the answer, whatever it says, tells nothing more. While the key holds
// another's value nothing is concluded, and the answer decides.
func TestLateAnswerResolvedByRead(t *testing.T) {
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
		w, l := newTestStore(func(*protocol.Transaction) (int, protocol.TransactionResult) {
			return c.answer, protocol.TransactionResult{StoreRevision: 8}
		})
		l.latency.observe(5 * time.Millisecond)
		w.holdsAnswers = true
		nonce, told := "", []bool(nil)
		w.read = func(string) (int, protocol.Entry) {
			who := "another"
			if c.mine {
				who = nonce
			}
			return 200, protocol.Entry{Value: protocol.Encode(map[string]string{"w": who}), Revision: 7}
		}
		l.Write(PriorityHigh, &WriteRequest{
			Build: func(n string) ([]protocol.Condition, []protocol.Mutation) {
				nonce = n
				return []protocol.Condition{{Key: "d/1"}}, []protocol.Mutation{{Put: "d/1", Value: protocol.Encode(map[string]string{"w": n})}}
			},
			Done: func(ok bool, _ uint64) { told = append(told, ok) },
		})
		w.runTimers()
		if !slices.Equal(told, c.before) || w.keyReads != 1 {
			t.Errorf("%s: before the answer the writer was told %v after %d looks, want %v after one", c.name, told, w.keyReads, c.before)
		}
		w.holdsAnswers = false
		for _, f := range w.heldAnswers {
			f()
		}
		w.runTimers()
		if !slices.Equal(told, c.after) || len(w.sent) != 1 {
			t.Errorf("%s: after the answer %v in %d sends, want %v in one", c.name, told, len(w.sent), c.after)
		}
		if l.batchesInFlight != 0 {
			t.Errorf("%s: %d batches are counted as under way, want none", c.name, l.batchesInFlight)
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
		op    protocol.Mutation
		later []protocol.Change // made by others after it
		told  []string          // what the cache's readers were told
		stamp uint64            // of the key in the end; 0: it is not there
	}{
		{"put, deleted by another", protocol.Mutation{Put: "a/j/x"}, []protocol.Change{{Put: "a/j/x", Revision: 11}, {Delete: "a/j/x", Revision: 12}}, []string{"11", "gone"}, 0},
		{"put, written anew by another", protocol.Mutation{Put: "a/j/x"}, []protocol.Change{{Put: "a/j/x", Revision: 11}, {Put: "a/j/x", Revision: 12}}, []string{"11", "12"}, 12},
		{"deleted, written anew by another", protocol.Mutation{Delete: "a/j/x"}, []protocol.Change{{Delete: "a/j/x", Revision: 11}, {Put: "a/j/x", Revision: 12}}, []string{"gone", "12"}, 12},
		{"put, nothing since", protocol.Mutation{Put: "a/j/x"}, nil, []string{"11"}, 11},
	} {
		w, l := newTestStore(func(*protocol.Transaction) (int, protocol.TransactionResult) {
			return 200, protocol.TransactionResult{StoreRevision: 11}
		})
		var told []string
		l.onChange = func(key string, value []byte) {
			switch e, ok := l.Get(key); {
			case key == "":
			case !ok:
				told = append(told, "gone")
			default:
				told = append(told, strconv.FormatUint(e.Revision, 10))
			}
		}
		l.isLoaded, l.revision, w.holdsAnswers = true, 10, true
		done := []bool(nil)
		l.Write(PriorityHigh, &WriteRequest{
			Build: func(n string) ([]protocol.Condition, []protocol.Mutation) {
				op := c.op
				if op.Put != "" {
					op.Value = protocol.Encode(map[string]string{"w": n})
				}
				return []protocol.Condition{{Key: "a/j/x"}}, []protocol.Mutation{op}
			},
			Done: func(ok bool, _ uint64) { done = append(done, ok) },
		})
		w.runTimers()
		if len(c.later) > 0 {
			l.applyChanges(&protocol.ChangeLog{StoreRevision: 12, Changes: c.later})
		}
		for _, f := range w.heldAnswers {
			f()
		}
		w.runTimers()
		e, _ := l.Get("a/j/x")
		if !slices.Equal(told, c.told) || e.Revision != c.stamp || !slices.Equal(done, []bool{true}) {
			t.Errorf("%s: readers were told %v, the cache has stamp %d, the writer heard %v; want %v, %d and that it was applied", c.name, told, e.Revision, done, c.told, c.stamp)
		}
	}
}

// Answers of the state service that cannot be one: none proves that the cache is
// current, or changes it, or ends the process; a transaction that is said to be
// applied under no revision is looked for.
func TestInvalidAnswersIgnored(t *testing.T) {
	good := []protocol.Change{{Put: "a/j/x", Value: protocol.Encode(1), Revision: 12}}
	for _, c := range []struct {
		name string
		c    protocol.ChangeLog
		ok   bool
	}{
		{"good", protocol.ChangeLog{StoreRevision: 12, Changes: good}, true},
		{"nothing new", protocol.ChangeLog{StoreRevision: 10}, true},
		{"no revision", protocol.ChangeLog{}, false},
		{"no revision, with events", protocol.ChangeLog{Changes: good}, false},
		{"a revision that goes back", protocol.ChangeLog{StoreRevision: 9}, false},
		{"an event from before", protocol.ChangeLog{StoreRevision: 12, Changes: []protocol.Change{{Delete: "a/j/x", Revision: 10}}}, false},
		{"an event later than the revision", protocol.ChangeLog{StoreRevision: 11, Changes: good}, false},
		{"an event of no key", protocol.ChangeLog{StoreRevision: 12, Changes: []protocol.Change{{Revision: 12}}}, false},
		{"an event of two keys", protocol.ChangeLog{StoreRevision: 12, Changes: []protocol.Change{{Put: "a/j/x", Delete: "a/j/y", Revision: 12}}}, false},
		{"an event of a key that is not ours", protocol.ChangeLog{StoreRevision: 12, Changes: []protocol.Change{{Delete: "b/j/x", Revision: 12}}}, false},
	} {
		if got := checkChanges(200, &c.c, 10) == 200; got != c.ok {
			t.Errorf("%s: taken %v, want %v", c.name, got, c.ok)
		}
	}

	w, l := newTestStore(nil)
	l.isLoaded, l.revision, l.currentAsOf = true, 10, w.Now()
	before := l.currentAsOf
	w.changes = func() protocol.ChangeLog { return protocol.ChangeLog{} }
	w.clock += time.Second
	proven := []bool{}
	l.Sync(func(ok bool) { proven = append(proven, ok) })
	w.runTimers()
	if len(proven) != 1 || proven[0] || l.currentAsOf != before || l.revision != 10 {
		t.Errorf("an answer without revision: proven %v, cache as of %v at %d", proven, l.currentAsOf-before, l.revision)
	}

	// Said to be applied, under no revision; the key shows that it is.
	tries, told, nonce := 0, []bool(nil), ""
	w, l = newTestStore(nil)
	w.reply = func(*protocol.Transaction) (int, protocol.TransactionResult) {
		tries++
		return map[bool]int{true: 200, false: 409}[tries == 1], protocol.TransactionResult{}
	}
	w.read = func(string) (int, protocol.Entry) {
		return 200, protocol.Entry{Value: protocol.Encode(map[string]string{"w": nonce}), Revision: 7}
	}
	l.Write(PriorityHigh, &WriteRequest{
		Build: func(n string) ([]protocol.Condition, []protocol.Mutation) {
			nonce = n
			return []protocol.Condition{{Key: "d/1"}}, []protocol.Mutation{{Put: "d/1", Value: protocol.Encode(map[string]string{"w": n})}}
		},
		Done: func(ok bool, stamp uint64) { told = append(told, ok && stamp == 7) },
	})
	w.runTimers()
	if !slices.Equal(told, []bool{true}) || tries != 2 {
		t.Errorf("applied under no revision: told %v after %d sends, want once, after 2", told, tries)
	}
}
