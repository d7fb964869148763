package standin

import (
	"time"

	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// This file judges jobs that need others.

// After makes a job need others.
func After(needs ...string) func(x *wire.Submission) {
	return func(x *wire.Submission) { x.Awaits = needs }
}

// checkNeeds: when a task of a job starts, all that the job needs is durably done.
func (s *Sim) checkNeeds(t *task, id string) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	for _, need := range j.Needs {
		var f part.Final
		e, stored := s.State.data[part.FinalKey(need)]
		if !stored || wire.Decode(e.Value, &f) != nil || f.Status != wire.Done {
			s.broken("too_early: %s starts before %s is done", t, need)
		}
	}
}

// waitsForOthers tells whether something that a job needs is not done.
func (s *Sim) waitsForOthers(j *wire.Job) bool {
	for _, need := range j.Needs {
		if n := s.jobs[need]; n == nil || len(s.history.job(need).ended) < n.Tasks {
			return true
		}
	}
	return false
}

// cancelledAbove tells whether a user was told, longer ago than a time, that a job which
// this one needs, directly or through others, is cancelled; with 0: or asked for that.
func (s *Sim) cancelledAbove(id string, ago time.Duration) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	for _, need := range j.Needs {
		at := s.aborted[need]
		asked := ago == 0 && at > 0 && s.told[need] != wire.Done
		if at > 1 && s.now > at+ago || asked || s.cancelledAbove(need, ago) {
			return true
		}
	}
	return false
}
