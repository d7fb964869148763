package part

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
	"curlewspool/internal/world"
)

// This file stops work of lower ranks for arrays that would be late otherwise. What
// an array's first task waits for says nothing of its last one: seen on days on which
// a guest filled all machines with tasks of seven minutes, where some core was always
// free within a second, arrays of 400 tasks got them one by one, and a third of the
// members' jobs was late behind work that anybody may stop.

// stopShare bounds what is stopped at a time, as a share of a part's cores: the
// next pass, half a second later, sees what the first stops gave.
const stopShare = 1.0 / 8

// slot is what a run holds and when it gives it back.
type slot struct {
	placement
	job *wire.Job
	at  time.Duration
}

// makeRoom looks at the arrays that wait, in their order, and at all that ends
// before each must have started; what is lacking is taken from work of lower ranks.
func (p *Part) makeRoom(q []*Work, rooms []*room, now time.Duration) {
	lowest := p.lowestPlaced()
	var slots []slot
	need := 0.0 // core-seconds of all before, and of this one
	left := 0.0 // cores that may yet be stopped in this pass
	coming, in := 0.0, 0.0
	for _, w := range q {
		j := &w.Rec.Job
		if w.idle == 0 || w.gang() || w.service() || w.borrowed() || w.ending || w.mistaken {
			continue
		}
		estimate := p.estimate(j).Seconds()
		need += float64(w.idle) * j.Cores * estimate
		by, ok := p.startBy(w, now)
		if j.Rank <= lowest || !ok {
			continue
		}
		if slots == nil {
			slots = p.slots(rooms, now)
			coming, in = p.h.Coming()
			for _, r := range rooms {
				left += r.t.Cores * stopShare
			}
		}
		if len(slots) == 0 || left <= 0 {
			return // nothing (more) may be stopped
		}
		open := p.openTo(w, rooms, now)
		boots := coming * max(0, (by-now).Seconds()-in+estimate/2)
		if short := need - boots - p.supply(w, rooms, open, slots, now, by); short > 0 {
			left -= p.stopFor(w, open, slots, short, left, now, by)
		}
	}
}

// openTo tells on which machines an array may have what others leave: not on those
// that are kept for a large job or reserved for the head. (What was stopped there
// made room only for more of the same: on a day of late boots 16,800 stops in three
// minutes, for nothing.)
func (p *Part) openTo(w *Work, rooms []*room, now time.Duration) map[*Machine]bool {
	open := make(map[*Machine]bool, len(rooms))
	for _, r := range rooms {
		left := r.freed()
		open[r.m] = !r.hard && now >= w.avoid[r.m.ID] && p.allowed(r.m, &w.Rec.Job) && p.backfills(r, &w.Rec.Job, now) && !p.kept(&left, w, now)
	}
	return open
}

// lowestPlaced is the lowest rank of what may be stopped here.
func (p *Part) lowestPlaced() int {
	lowest := math.MaxInt
	for _, w := range p.works() {
		if w.nplaced > 0 && !w.gang() && !w.service() && !w.borrowed() {
			lowest = min(lowest, w.Rec.Job.Rank)
		}
	}
	return lowest
}

// startBy is when the last task of an array must have started for the first
// deadline that can still be met; a quarter of the estimate is for what estimates
// miss.
func (p *Part) startBy(w *Work, now time.Duration) (time.Duration, bool) {
	j := &w.Rec.Job
	age := p.h.Wall() - w.Rec.At
	e := p.estimate(j).Seconds()
	for _, due := range p.h.Deadlines(j) {
		if left := due - age - 1.25*e; left > 0 {
			return now + world.Seconds(left), true
		}
	}
	return 0, false
}

// slots lists what runs on machines that arrays may use, and until when.
func (p *Part) slots(rooms []*room, now time.Duration) []slot {
	var out []slot
	for _, r := range rooms {
		if r.hard {
			continue
		}
		for run := range r.m.All() {
			if w := p.Works[run.Job]; w != nil && !run.Over() {
				out = append(out, slot{placement{r.m, run}, &w.Rec.Job, p.endOf(run, &w.Rec.Job, now)})
			}
		}
	}
	return out
}

// endOf is when a run is expected to give its room back. Overrunning its estimate
// (DESIGN's weak spot), it is expected to go on for a tenth of it.
func (p *Part) endOf(run *worker.Run, j *wire.Job, now time.Duration) time.Duration {
	e := p.estimate(j)
	at := max(run.Began, run.Placed) + e
	if run.Halt {
		at = now + world.Seconds(j.Save)
	}
	return max(at, now+e/10)
}

// supply is how many core-seconds there will be for the job up to a time on machines
// that are up, with one more start on each core at its end.
func (p *Part) supply(w *Work, rooms []*room, open map[*Machine]bool, slots []slot, now, by time.Duration) float64 {
	j := &w.Rec.Job
	last := p.estimate(j).Seconds() / 2
	sum := 0.0
	for _, r := range rooms {
		if !open[r.m] {
			continue
		}
		free := wire.MachineType{Cores: r.cores, GPUs: r.gpus, Memory: r.mem}
		sum += float64(free.Fits(j, w.idle)) * j.Cores * ((by - now).Seconds() + last)
	}
	for _, s := range slots {
		if s.at < by && open[s.m] {
			sum += s.job.Cores * ((by - s.at).Seconds() + last)
		}
	}
	return sum
}

// stopFor stops runs of lower ranks until so many core-seconds are won, those first
// that lose least for what they give. It gives the cores it stopped.
func (p *Part) stopFor(w *Work, open map[*Machine]bool, slots []slot, short, most float64, now, by time.Duration) float64 {
	j := &w.Rec.Job
	type victim struct {
		slot
		won, lost float64
	}
	var list []victim
	for _, s := range slots {
		if s.job.Rank >= j.Rank || s.run.Halt || s.run.Foreign || s.job.Shape != wire.Array || !open[s.m] || p.justBegun(p.Works[s.run.Job], now) {
			continue
		}
		save := 0.0
		if s.run.Began > 0 && s.job.Mark > 0 {
			save = s.job.Save
		}
		won := ((min(s.at, by) - now).Seconds() - save) * s.job.Cores
		if lost := stopLoses(s.run, s.job, now); won > 0 && lost < won {
			list = append(list, victim{s, won, lost})
		}
	}
	// Of those that lose about the same, the youngest job's: if each job loses some,
	// none of them ends. (A guest's jobs done were one of six instead of three.)
	sort.SliceStable(list, func(a, b int) bool {
		if x, y := math.Round(8*list[a].lost/list[a].won), math.Round(8*list[b].lost/list[b].won); x != y {
			return x < y
		}
		return p.Works[list[a].run.Job].Rec.At > p.Works[list[b].run.Job].Rec.At
	})
	stopped, n := 0.0, 0
	for _, v := range list {
		if short <= 0 || stopped >= most {
			break
		}
		p.stopRun(p.Works[v.run.Job], &v.placement, "preempted by "+j.ID)
		short -= v.won
		stopped += v.job.Cores
		n++
	}
	if n > 0 {
		slog.Info("part: room is made for an array", "part", p.K, "job", j.ID, "stopped", n, "cores", stopped, "short", max(0, short), "by", (by - now).Seconds())
	}
	return stopped
}
