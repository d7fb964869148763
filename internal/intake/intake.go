// Package intake answers users: submissions, polls and aborts. Any
// controller answers any user; what it may say is decided by the ledger.
package intake

import (
	"fmt"
	"log/slog"
	"time"

	"curlewspool/internal/dependency"
	"curlewspool/internal/ledger"
	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// Host is what intake needs of its controller.
type Host interface {
	Ledger() *ledger.Ledger
	Settings() *settings.Settings
	Wall() float64
	Types() map[string]*wire.MachineType
	Job(id string) *part.JobRecord
	Counts(id string) (done, running int, started bool)
	// Plan asks the leader for the job's parts.
	Plan(j *wire.Job, done func(rank, chunk int, parts []int))
	// News tells the owners of a job's parts that its record changed.
	News(id string)
	// Withdrawn tells them that its cancellation is stored, and with which other job it
	// was cancelled, if any.
	Withdrawn(id, cause string)
	// Reserved: no user may use such an id.
	Reserved(id string) bool
	// Elsewhere says which of the job's tasks are at partner clusters.
	Elsewhere(id string) []wire.Elsewhere
	// Dependencies says which jobs wait for which.
	Dependencies() *dependency.Graph
	// TakesDependencies: every controller that is heard understands jobs that need others.
	TakesDependencies() bool
}

// Reply answers one request; retry is the Retry-After in seconds, 0: none.
type Reply func(status int, body any, retry int)

// Intake belongs to the owner's loop.
type Intake struct {
	h      Host
	w      world.World
	finals *part.Finals
	log    []withdrawn
	since  time.Duration // the log is complete from then on

	asked  []*lookup
	asking bool
	times  Times
}

// Times of the submissions accepted so far.
func (in *Intake) Times() *Times { return &in.times }

type lookup struct {
	id    string
	tries int
	known func()             // live, by a proven cache
	final func(f part.Final) // ended
	never func()             // proven never accepted
	fail  func()             // no proof
}

// remembered is how many ended jobs are kept in memory for each MB of it, about
// half a percent; the ledger has them all.
const remembered = 20

// New makes an empty intake.
func New(h Host, w world.World) *Intake {
	return &Intake{h: h, w: w, finals: part.NewFinals(int(remembered * h.Settings().Deployment.Limits.RAM)), since: w.Now()}
}

// withdrawn is a job of which this controller learned, at a time, that it is cancelled:
// before that it told nobody so.
type withdrawn struct {
	id string
	at time.Duration
}

// logged bounds the log; what is older than half of it is dropped.
const logged = 2048

// Over remembers a job's end, which the ledger has.
func (in *Intake) Over(id string, f part.Final) {
	if _, known := in.finals.Get(id); !known && f.Status == wire.Withdrawn {
		if len(in.log) >= logged {
			in.since = in.log[logged/2-1].at + 1
			in.log = append(in.log[:0], in.log[logged/2:]...)
		}
		in.log = append(in.log, withdrawn{id, in.w.Now()})
	}
	in.finals.Add(id, f)
	in.h.Dependencies().End(id, endOf(f.Status))
}

// CalledOff lists the jobs that this controller may have said to be cancelled since a
// time, and not before; false: it cannot tell.
func (in *Intake) CalledOff(since time.Duration) (ids []string, ok bool) {
	if since < in.since {
		return nil, false
	}
	for _, x := range in.log {
		if x.at >= since {
			ids = append(ids, x.id)
		}
	}
	return ids, true
}

// patience is about how long users wait for an answer, in seconds.
const patience = 5

// pause is the Retry-After when the state service cannot be used.
const pause = 1

func later(reply Reply, why string) { reply(503, &wire.Problem{Error: why}, pause) }

func finalState(id string, f part.Final) *wire.JobState {
	s := &wire.JobState{ID: id, Status: f.Status, Cause: f.Cause}
	if f.Status == wire.Done {
		zero := 0
		s.Done, s.Running = &f.Tasks, &zero
	}
	return s
}

// live tells whether the cache has the job. One whose record cannot be read is known
// all the same, and can be cancelled; its users would else get no answer for ever.
func (in *Intake) live(id string) bool {
	_, ok := in.h.Ledger().Get(part.JobKey(id))
	return ok || in.h.Job(id) != nil
}

func (in *Intake) liveState(id string) *wire.JobState {
	done, running, started := in.h.Counts(id)
	s := &wire.JobState{ID: id, Status: wire.Pending, Done: &done, Running: &running}
	if started && running > 0 {
		s.Status = wire.Running
	}
	s.Elsewhere, s.Awaits = in.h.Elsewhere(id), in.openNeeds(id)
	return s
}

// Submit handles POST /v2/runs; queued is how long the request waited for the
// owner's loop.
func (in *Intake) Submit(body []byte, queued time.Duration, reply Reply) {
	var s wire.Submission
	bad := ""
	var job *wire.Job
	switch {
	case len(body) > wire.MaxBody:
		bad = "too large"
	case !wire.IsMap(body):
		bad = "not a map"
	default:
		if err := wire.Decode(body, &s); err != nil {
			bad = "invalid field or not CBOR"
		} else if job, bad = s.Check(); bad != "" {
			bad = "missing or invalid: " + bad
		}
	}
	if bad != "" {
		// A repeat of an accepted id is 200 whatever else the body holds.
		var only struct {
			ID any `cbor:"id"`
		}
		id := ""
		if wire.IsMap(body) && len(body) <= wire.MaxBody && wire.Decode(body, &only) == nil {
			id, _ = only.ID.(string)
		}
		if !wire.ValidJobID(id) || in.h.Reserved(id) {
			reply(400, &wire.Problem{Error: bad}, 0)
			return
		}
		in.unless(id, reply, func() { reply(400, &wire.Problem{Error: bad}, 0) })
		return
	}
	if in.h.Reserved(job.ID) {
		reply(400, &wire.Problem{Error: "this id is reserved for borrowed jobs"}, 0)
		return
	}
	if f, ok := in.finals.Get(job.ID); ok {
		reply(200, finalState(job.ID, f), 0)
		return
	}
	if in.h.Ledger().Down() {
		later(reply, "state service not reachable")
		return
	}
	if in.h.Job(job.ID) != nil {
		in.unless(job.ID, reply, func() { later(reply, "try again") })
		return
	}
	if len(in.h.Types()) == 0 {
		later(reply, "machine types not known yet")
		return
	}
	if why := in.hopeless(job); why != "" {
		in.unless(job.ID, reply, func() { reply(422, &wire.Problem{Error: why}, 0) })
		return
	}
	// What would wait for longer than a user does is refused at once.
	if float64(in.h.Ledger().Queued()) > patience*in.h.Settings().Deployment.State.WriteRPS {
		reply(429, &wire.Problem{Error: "overloaded"}, 2*pause)
		return
	}
	st := stamps{queued: queued, came: in.w.Now()}
	if len(job.Needs) > 0 {
		in.submitDependent(job, st, reply)
		return
	}
	in.place(job, st, reply)
}

// place has the leader choose parts for a job and stores it.
func (in *Intake) place(job *wire.Job, st stamps, reply Reply) {
	at := in.h.Wall()
	in.h.Plan(job, func(rank, chunk int, parts []int) {
		st.chosen = in.w.Now()
		single := job.Tasks == 1 && job.Shape == wire.Array && in.h.Ledger().Pressed(in.h.Settings().Dispatch.Anywhere)
		in.store(&st, &part.JobRecord{Job: *job, At: at, Rank: rank, Chunk: chunk, Parts: parts, Anywhere: single}, reply)
	})
}

// unless answers with the state of a known job, and otherwise as told.
func (in *Intake) unless(id string, reply Reply, never func()) {
	in.find(id, &lookup{id: id,
		known: func() { reply(200, in.liveState(id), 0) },
		final: func(f part.Final) { reply(200, finalState(id, f), 0) },
		never: never,
		fail:  func() { later(reply, "state service not reachable") },
	})
}

// hopeless says why a job can never run.
func (in *Intake) hopeless(j *wire.Job) string {
	t := in.h.Settings().Team(j.Team)
	if t == nil {
		return "unknown team"
	}
	n := 1.0
	if j.Shape != wire.Array {
		n = float64(j.Tasks)
	}
	const eps = 1e-9
	if t.CoresMax > 0 && n*j.Cores > t.CoresMax+eps || t.GPUsMax > 0 && n*j.GPUs > t.GPUsMax+eps {
		return "needs more than the team's limit"
	}
	zones := map[string]bool{}
	for _, mt := range in.h.Types() {
		for _, z := range mt.Zones {
			if part.Allows(j, mt, z, false) {
				zones[z] = true
			}
		}
	}
	switch {
	case len(zones) == 0:
		return "fits no allowed machine type"
	case j.Shape == wire.Gang && j.Spread && j.Tasks > 1 && (j.OneZone || len(zones) < 2):
		return "all of it in one zone, which apart rules out"
	}
	return ""
}

func (in *Intake) store(st *stamps, rec *part.JobRecord, reply Reply) {
	id := rec.Job.ID
	l := in.h.Ledger()
	answered := false
	if len(wire.Encode(rec)) > in.h.Settings().MostRecord() {
		in.unless(id, reply, func() { reply(400, &wire.Problem{Error: "fields too long"}, 0) })
		return
	}
	once := func(status int, body any, retry int) {
		if !answered {
			answered = true
			reply(status, body, retry)
		}
	}
	// Users wait 5 s; an answer without a result comes well before.
	in.w.After(3*time.Second, func() { once(503, &wire.Problem{Error: "state service slow"}, pause) })
	l.Write(ledger.Urgent, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			if answered {
				return nil, nil
			}
			rec.W = nonce
			st.sentAt = in.w.Now()
			return []wire.Cond{{Key: part.JobKey(id)}, {Key: part.FinalKey(id)}},
				[]wire.Op{{Put: part.JobKey(id), Value: wire.Encode(rec)}}
		},
		Done: func(ok bool, _ uint64) {
			if _, over := in.finals.Get(id); ok && !over && in.live(id) { // else the answer came late
				slog.Debug("intake: accepted", "job", id, "rank", rec.Rank, "parts", rec.Parts)
				in.h.News(id)
				in.times.accepted(*st, in.w.Now())
				status := wire.Pending
				if in.h.Dependencies().Cascaded(id) {
					status = wire.Withdrawn
				}
				once(201, &wire.JobState{ID: id, Status: status}, 0)
				return
			}
			if !answered {
				in.unless(id, once, func() { later(once, "try again") })
			}
		},
		Refused: func() bool {
			once(503, &wire.Problem{Error: "state service not reachable"}, pause)
			return true
		},
	})
}

// Poll handles GET /v2/runs/{id}.
func (in *Intake) Poll(id string, reply Reply) {
	if !wire.ValidJobID(id) || in.h.Reserved(id) {
		reply(404, &wire.Problem{Error: "no such job"}, 0)
		return
	}
	in.find(id, &lookup{id: id,
		known: func() { reply(200, in.liveState(id), 0) },
		final: func(f part.Final) { reply(200, finalState(id, f), 0) },
		never: func() { reply(404, &wire.Problem{Error: "no such job"}, 0) },
		fail:  func() { later(reply, "state service not reachable") },
	})
}

// Abort handles POST /v2/runs/{id}/abort.
func (in *Intake) Abort(id string, reply Reply) {
	if !wire.ValidJobID(id) || in.h.Reserved(id) {
		reply(404, &wire.Problem{Error: "no such job"}, 0)
		return
	}
	in.abort(id, reply, 0)
}

func (in *Intake) abort(id string, reply Reply, tries int) {
	in.find(id, &lookup{id: id,
		known: func() { in.withdraw(id, reply, tries) },
		final: func(f part.Final) { reply(200, &wire.JobState{ID: id, Status: f.Status}, 0) },
		never: func() { reply(404, &wire.Problem{Error: "no such job"}, 0) },
		fail:  func() { later(reply, "state service not reachable") },
	})
}

// withdraw makes the abort durable: the final record stands and the live one
// is gone, so nobody can start or finish the job afterwards.
func (in *Intake) withdraw(id string, reply Reply, tries int) {
	if !in.live(id) || tries > 5 {
		later(reply, "try again")
		return
	}
	answered := false
	once := func(status int, body any, retry int) {
		if !answered {
			answered = true
			reply(status, body, retry)
		}
	}
	in.w.After(3*time.Second, func() { once(503, &wire.Problem{Error: "state service slow"}, pause) })
	in.storeWithdrawn(id, "", func(ok bool) {
		if ok {
			once(200, &wire.JobState{ID: id, Status: wire.Withdrawn}, 0)
			return
		}
		if !answered { // moved, or over, meanwhile
			in.abort(id, once, tries+1)
		}
	}, func() bool {
		once(503, &wire.Problem{Error: "state service not reachable"}, pause)
		return true
	})
}

// storeWithdrawn stores that a job is cancelled, by its user or, if cause is not empty,
// with another. refused: see ledger.Write.
func (in *Intake) storeWithdrawn(id, cause string, done func(ok bool), refused func() bool) {
	l, tasks := in.h.Ledger(), in.tasks(id)
	var f part.Final
	l.Write(ledger.Urgent, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			c := l.Stamp(part.JobKey(id))
			if c.Stamp == 0 {
				return nil, nil
			}
			f = part.Final{W: nonce, Status: wire.Withdrawn, Tasks: tasks, At: in.h.Wall(), Cause: cause}
			return []wire.Cond{c, {Key: part.FinalKey(id)}},
				[]wire.Op{{Put: part.FinalKey(id), Value: wire.Encode(&f)}, {Delete: part.JobKey(id)}}
		},
		Done: func(ok bool, _ uint64) {
			if ok {
				slog.Info("intake: withdrawn", "job", id)
				in.Over(id, f)
				in.h.Withdrawn(id, cause)
			}
			done(ok)
		},
		Refused: refused,
	})
}

// find settles what is known of a job; anything but an end needs proof.
func (in *Intake) find(id string, k *lookup) {
	if f, ok := in.finals.Get(id); ok {
		k.final(f)
		return
	}
	if in.h.Ledger().Down() {
		k.fail()
		return
	}
	if !in.live(id) {
		in.look(k)
		return
	}
	in.h.Ledger().Prove(func(ok bool) {
		switch f, over := in.finals.Get(id); {
		case over:
			k.final(f)
		case !ok:
			k.fail()
		case in.live(id):
			in.derive(k)
		default:
			in.look(k)
		}
	})
}

// look asks the state service about a job that the cache does not have; one
// comparison serves all that wait.
func (in *Intake) look(k *lookup) {
	// Each question holds a connection; half of them are for users.
	if in.h.Ledger().Down() || len(in.asked) > in.h.Settings().Deployment.Limits.Sockets/2 {
		k.fail()
		return
	}
	in.asked = append(in.asked, k)
	in.ask()
}

func (in *Intake) ask() {
	if in.asking || len(in.asked) == 0 {
		return
	}
	in.asking = true
	s := &in.h.Settings().Deployment.State
	// Waiting a little lets one request serve many.
	in.w.After(time.Duration(float64(len(in.h.Settings().Names()))/s.RPS*float64(time.Second)), func() {
		n := min(len(in.asked), 2*s.TxnOps)
		batch := in.asked[:n:n]
		in.asked = in.asked[n:]
		var when []wire.Cond
		seen := map[string]bool{}
		for _, k := range batch {
			if !seen[k.id] {
				seen[k.id] = true
				when = append(when, wire.Cond{Key: part.JobKey(k.id)}, wire.Cond{Key: part.FinalKey(k.id)})
			}
		}
		in.h.Ledger().Compare(when, func(status int) {
			in.asking = false
			switch {
			case status == 200: // neither live nor ended, all at one moment
				for _, k := range batch {
					k.never()
				}
			case status == 409:
				for _, k := range batch {
					in.settle(k)
				}
			default:
				for _, k := range batch {
					k.fail()
				}
			}
			in.ask()
		})
	})
}

// settle: at least one of a batch is known. The ended are read; the rest are
// looked for in a proven cache, and compared again if they are not there.
func (in *Intake) settle(k *lookup) {
	in.readFinal(k.id, func(status int, f part.Final) {
		switch status {
		case 200:
			k.final(f)
		case 404:
			in.h.Ledger().Prove(func(ok bool) {
				switch {
				case !ok || k.tries > 3:
					k.fail()
				case in.live(k.id):
					in.derive(k)
				default:
					k.tries++
					in.look(k)
				}
			})
		default:
			k.fail()
		}
	})
}

// readFinal reads a job's end, and remembers it. status 200: it has ended so; 404: it has
// not; any other: not known.
func (in *Intake) readFinal(id string, done func(status int, f part.Final)) {
	in.h.Ledger().Fetch(part.FinalKey(id), func(status int, value []byte, _ uint64) {
		var f part.Final
		switch {
		case status == 200 && wire.Decode(value, &f) == nil:
			in.Over(id, f)
		case status == 200:
			status = 0
		}
		done(status, f)
	})
}

// String says in one line how much is remembered and how many look-ups wait.
func (in *Intake) String() string {
	return fmt.Sprintf("%d ended jobs in memory, %d look-ups wait", in.finals.Len(), len(in.asked))
}
