package federation

import (
	"fmt"
	"sort"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// WaitingChunk is a chunk that waits at home.
type WaitingChunk struct {
	Record          *shard.JobRecord
	Chunk           int
	Tasks           int           // of it that are not done
	StartsIn        time.Duration // until it is expected to start here
	DeadlineSeconds []float64     // by when it is expected to be done, seconds after submission
}

// partnerStartDelay is what passes at the host before a loan starts: the offer, the record
// here, the record there, the renewal and a machine's report.
func partnerStartDelay(s *settings.Settings) time.Duration {
	return env.Seconds(3 * s.Deployment.Workers.Report)
}

// shouldLend tells whether a waiting chunk may and should go to a partner, and why:
// it would start later here by more than the ratio, or miss what is expected of
// it here and not there.
func shouldLend(w *WaitingChunk, p *settings.Partner, team *settings.Team, there time.Duration, wall float64) (string, bool) {
	j := &w.Record.Job
	switch {
	case w.Record.Loan != nil: // one hop
		return "", false
	case !p.MayGo(j.Class) || j.Shape == protocol.ShapeService && !p.Services:
		return "", false
	case j.Zone != "" || team == nil || team.Limited(): // what its tasks use is counted here
		return "", false
	case j.Shape != protocol.ShapeArray && w.Record.ChunkCount() != 1:
		return "", false
	}
	from, _ := w.Record.TaskRange(w.Chunk)
	if (remotelease.Key{Job: j.ID, FirstTask: from, Number: 1 << 40}).JobID(longestClusterName) == "" {
		return "", false
	}
	if w.StartsIn > time.Duration(p.Ratio*float64(there)) {
		return fmt.Sprintf("would start here in %.0f s, there in %.0f s", w.StartsIn.Seconds(), there.Seconds()), true
	}
	age := wall - w.Record.AcceptedAt
	for _, due := range w.DeadlineSeconds {
		if age+there.Seconds()+j.Estimate > due {
			continue // late there, too
		}
		if age+w.StartsIn.Seconds()+j.Estimate > due {
			return fmt.Sprintf("would miss its %.0f s here", due), true
		}
		break
	}
	return "", false
}

const longestClusterName = "aaaaaaaaaaaaaaaaaaaa"

// lendableCores is how many of the host's cores a partner may have beside what it
// has.
func lendableCores(p *settings.Partner, cores, lent float64) float64 { return p.Lends*cores - lent }

// offerableTasks says how many of a want's tasks may be offered: those that have room
// now, within the share; a gang all or none, of an array at least half.
func offerableTasks(j *protocol.Job, tasks, room int, cores float64) int {
	n := min(tasks, room)
	if weight := max(j.Cores, j.GPUs); weight > 0 {
		n = min(n, int(cores/weight+1e-9))
	}
	if j.Shape != protocol.ShapeArray && n < tasks || 2*n < tasks {
		return 0
	}
	return n
}

// sortByUrgency orders waiting chunks: by the user's priority, what is saved by going
// before what is late anyway, then by age.
func sortByUrgency(list []*WaitingChunk, there time.Duration, wall float64) {
	saved := func(w *WaitingChunk) bool {
		for _, due := range w.DeadlineSeconds {
			if wall-w.Record.AcceptedAt+there.Seconds()+w.Record.Job.Estimate <= due {
				return true
			}
		}
		return len(w.DeadlineSeconds) == 0
	}
	sort.SliceStable(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Record.Job.Priority != b.Record.Job.Priority {
			return a.Record.Job.Priority > b.Record.Job.Priority
		}
		if x, y := saved(a), saved(b); x != y {
			return x
		}
		if a.Record.AcceptedAt != b.Record.AcceptedAt {
			return a.Record.AcceptedAt < b.Record.AcceptedAt
		}
		return a.Chunk < b.Chunk
	})
}

// shiftRanges moves ranges of a loan of so many tasks to the numbers of its job, by
// being 0 to those of the loan; what is not of the loan is left out.
func shiftRanges(r [][2]int, by, tasks int) (out [][2]int) {
	for _, x := range r {
		if x[0] >= 0 && x[1] >= x[0] && x[1] < tasks {
			out = append(out, [2]int{x[0] + by, x[1] + by})
		}
	}
	return out
}

// rangesWithin gives the part of a job's ranges that is in a loan, by its numbers.
func rangesWithin(r [][2]int, first, tasks int) (out [][2]int) {
	for _, x := range r {
		lo, hi := max(x[0], first)-first, min(x[1], first+tasks-1)-first
		if lo <= hi {
			out = append(out, [2]int{lo, hi})
		}
	}
	return out
}

func countTasks(r [][2]int) (n int) {
	for _, x := range r {
		n += x[1] - x[0] + 1
	}
	return n
}
