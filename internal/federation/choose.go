package federation

import (
	"fmt"
	"sort"
	"time"

	"curlewspool/internal/loan"
	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// Waiting is a chunk that waits at home.
type Waiting struct {
	Rec    *part.JobRecord
	Chunk  int
	Tasks  int           // of it that are not done
	Starts time.Duration // until it is expected to start here
	Due    []float64     // by when it is expected to be done, seconds after submission
}

// wait is what passes at the host before a loan starts: the offer, the record
// here, the record there, the renewal and a machine's report.
func wait(s *settings.Settings) time.Duration {
	return world.Seconds(3 * s.Deployment.Workers.Report)
}

// goes tells whether a waiting chunk may and should go to a partner, and why:
// it would start later here by more than the ratio, or miss what is expected of
// it here and not there.
func goes(w *Waiting, p *settings.Partner, team *settings.Team, there time.Duration, wall float64) (string, bool) {
	j := &w.Rec.Job
	switch {
	case w.Rec.Loan != nil: // one hop
		return "", false
	case !p.MayGo(j.Class) || j.Shape == wire.Service && !p.Services:
		return "", false
	case j.Zone != "" || team == nil || team.Limited(): // what its tasks use is counted here
		return "", false
	case j.Shape != wire.Array && w.Rec.Chunks() != 1:
		return "", false
	}
	from, _ := w.Rec.Span(w.Chunk)
	if (loan.Key{Job: j.ID, First: from, No: 1 << 40}).ID(longestName) == "" {
		return "", false
	}
	if w.Starts > time.Duration(p.Ratio*float64(there)) {
		return fmt.Sprintf("would start here in %.0f s, there in %.0f s", w.Starts.Seconds(), there.Seconds()), true
	}
	age := wall - w.Rec.At
	for _, due := range w.Due {
		if age+there.Seconds()+j.Estimate > due {
			continue // late there, too
		}
		if age+w.Starts.Seconds()+j.Estimate > due {
			return fmt.Sprintf("would miss its %.0f s here", due), true
		}
		break
	}
	return "", false
}

const longestName = "aaaaaaaaaaaaaaaaaaaa"

// lendable is how many of the host's cores a partner may have beside what it
// has.
func lendable(p *settings.Partner, cores, lent float64) float64 { return p.Lends*cores - lent }

// offered says how many of a want's tasks may be offered: those that have room
// now, within the share; a gang all or none, of an array at least half.
func offered(j *wire.Job, tasks, room int, cores float64) int {
	n := min(tasks, room)
	if weight := max(j.Cores, j.GPUs); weight > 0 {
		n = min(n, int(cores/weight+1e-9))
	}
	if j.Shape != wire.Array && n < tasks || 2*n < tasks {
		return 0
	}
	return n
}

// first orders waiting chunks: by the user's priority, what is saved by going
// before what is late anyway, then by age.
func first(list []*Waiting, there time.Duration, wall float64) {
	saved := func(w *Waiting) bool {
		for _, due := range w.Due {
			if wall-w.Rec.At+there.Seconds()+w.Rec.Job.Estimate <= due {
				return true
			}
		}
		return len(w.Due) == 0
	}
	sort.SliceStable(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Rec.Job.Rank != b.Rec.Job.Rank {
			return a.Rec.Job.Rank > b.Rec.Job.Rank
		}
		if x, y := saved(a), saved(b); x != y {
			return x
		}
		if a.Rec.At != b.Rec.At {
			return a.Rec.At < b.Rec.At
		}
		return a.Chunk < b.Chunk
	})
}

// shift moves ranges of a loan of so many tasks to the numbers of its job, by
// being 0 to those of the loan; what is not of the loan is left out.
func shift(r [][2]int, by, tasks int) (out [][2]int) {
	for _, x := range r {
		if x[0] >= 0 && x[1] >= x[0] && x[1] < tasks {
			out = append(out, [2]int{x[0] + by, x[1] + by})
		}
	}
	return out
}

// within gives the part of a job's ranges that is in a loan, by its numbers.
func within(r [][2]int, first, tasks int) (out [][2]int) {
	for _, x := range r {
		lo, hi := max(x[0], first)-first, min(x[1], first+tasks-1)-first
		if lo <= hi {
			out = append(out, [2]int{lo, hi})
		}
	}
	return out
}

func count(r [][2]int) (n int) {
	for _, x := range r {
		n += x[1] - x[0] + 1
	}
	return n
}
