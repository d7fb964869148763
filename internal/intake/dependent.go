package intake

import (
	"curlewspool/internal/dependency"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// This file has what is particular to jobs that need others.

func endOf(status string) dependency.End {
	switch status {
	case wire.Done:
		return dependency.Done
	case wire.Withdrawn:
		return dependency.Withdrawn
	}
	return dependency.Unknown
}

// dependent is a submission that needs others, while they are looked for.
type dependent struct {
	in    *Intake
	job   *wire.Job
	st    stamps
	reply Reply
	left  int  // needed jobs of which nothing is known yet
	open  bool // some of them is not done
	over  bool // it has been answered
}

// submitDependent takes a job that needs others, each of which must have been accepted.
// One that lives by the cache was, however old the cache is; for any other the state
// service is asked, so that "never accepted" is newer than the request.
func (in *Intake) submitDependent(job *wire.Job, st stamps, reply Reply) {
	d := &dependent{in: in, job: job, st: st, reply: reply, left: len(job.Needs)}
	if !in.h.TakesDependencies() {
		in.unless(job.ID, reply, func() { later(reply, "a controller of the version before is up") })
		return
	}
	for _, need := range job.Needs {
		switch {
		case need == job.ID:
			d.refuse("it needs itself")
		case in.live(need):
			d.alive(need)
		default:
			in.find(need, &lookup{id: need,
				known: func() { d.alive(need) },
				final: func(f part.Final) { d.ended(need, f) },
				never: func() { d.refuse("it needs a job that was never accepted: " + need) },
				fail:  d.unknown,
			})
		}
	}
}

// refuse answers that the job can never run, unless it was accepted before.
func (d *dependent) refuse(why string) {
	if !d.over {
		d.over = true
		d.in.unless(d.job.ID, d.reply, func() { d.reply(422, &wire.Problem{Error: why}, 0) })
	}
}

func (d *dependent) unknown() {
	if !d.over {
		d.over = true
		later(d.reply, "state service not reachable")
	}
}

func (d *dependent) alive(need string) {
	if rec := d.in.h.Job(need); rec != nil && rec.Job.Shape == wire.Service {
		d.refuse("it needs a service: " + need)
		return
	}
	d.open = true
	d.found()
}

func (d *dependent) ended(need string, f part.Final) {
	d.open = d.open || f.Status != wire.Done
	d.found()
}

// found: one more of the needed jobs was accepted. When all were, the job is stored: to
// wait, or as any other if they are all done already.
func (d *dependent) found() {
	d.left--
	if d.left > 0 || d.over {
		return
	}
	d.over = true
	if !d.open {
		d.in.place(d.job, d.st, d.reply)
		return
	}
	d.st.chosen = d.in.w.Now()
	d.in.store(&d.st, &part.JobRecord{Job: *d.job, At: d.in.h.Wall()}, d.reply)
}

// derive answers for a job that lives. One that waits is withdrawn as soon as one that it
// needs is, directly or through others, whether or not that is written in its own record
// yet: the end of the one that was cancelled decides for all, by one key. The cache was
// proven after the question, so whatever was confirmed before it no longer lives there,
// and its end is read.
func (in *Intake) derive(k *lookup) {
	graph := in.h.Dependencies()
	unread := graph.Unread(k.id)
	switch {
	case graph.Cascaded(k.id):
		k.final(part.Final{Status: wire.Withdrawn, Tasks: in.tasks(k.id), Cause: graph.Cause(k.id)})
	case len(unread) == 0:
		k.known()
	default:
		in.readEnds(unread, func(ok bool) {
			k.tries++
			switch {
			case !ok || k.tries > 3:
				k.fail()
			case in.live(k.id):
				in.derive(k)
			default:
				in.find(k.id, k)
			}
		})
	}
}

func (in *Intake) tasks(id string) int {
	if rec := in.h.Job(id); rec != nil {
		return rec.Job.Tasks
	}
	return 0
}

// mostNeedsTold keeps the answer to a question small.
const mostNeedsTold = 100

// openNeeds lists what a job still waits for.
func (in *Intake) openNeeds(id string) []string {
	open := in.h.Dependencies().Needs(id)
	return open[:min(len(open), mostNeedsTold)]
}

// readEnds reads how jobs ended that no longer live; false: not all could be read.
func (in *Intake) readEnds(ids []string, done func(ok bool)) {
	left, all := len(ids), true
	for _, id := range ids {
		in.ReadEnd(id, func(ok bool) {
			left--
			all = all && ok
			if left == 0 {
				done(all)
			}
		})
	}
}

// ReadEnd reads how a job ended that no longer lives. The answer is remembered.
func (in *Intake) ReadEnd(id string, done func(ok bool)) {
	if f, known := in.finals.Get(id); known {
		in.h.Dependencies().End(id, endOf(f.Status))
		done(true)
		return
	}
	in.readFinal(id, func(status int, _ part.Final) { done(status == 200) })
}

// Cascade stores that a job which waits is withdrawn with one that it needs.
func (in *Intake) Cascade(id string, done func(ok bool)) {
	in.storeWithdrawn(id, in.h.Dependencies().Cause(id), done, func() bool { return true })
}
