package part

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"curlewspool/internal/dispatch"
	"curlewspool/internal/ledger"
	"curlewspool/internal/mesh"
	"curlewspool/internal/wire"
)

// This file tells others what the part has, and moves work and machines to other parts.

// freeTold bounds the free rooms told, largest first, so that a status stays
// a few KB with any number of machines.
const freeTold = 64

// Status is told to all members at each heartbeat.
func (p *Part) Status(top int) (*mesh.PartStatus, []*mesh.Gap) {
	now := p.h.Now()
	s := dispatch.NewSlots(top)
	var gaps []*mesh.Gap
	queued := 0
	for _, w := range p.works() {
		if w.idle == 0 || w.ending || w.borrowed() || w.mistaken {
			continue // nothing is rented, and no job goes elsewhere, for what is borrowed or fails
		}
		queued += w.idle
		s.Add(min(w.Rec.Rank, top), dispatch.Work(&w.Rec.Job, w.idle))
		if now >= w.notTo && len(gaps) < 64 && !w.broken && !w.halting {
			starts := 0.0
			if w.starts > now {
				starts = (w.starts - now).Seconds()
			}
			gaps = append(gaps, &mesh.Gap{StartsS: starts,
				Job: w.Rec.Job.ID, Tasks: int32(w.idle), WaitedS: (now - w.queuedAt).Seconds(),
				Part: int32(p.K), Short: int32(p.short(w, now)), Late: int32(p.late(w, now)), Zone: w.zoneOf()})
		}
	}
	out := &mesh.PartStatus{Part: int32(p.K), Load: s.Load}
	for _, c := range s.Count {
		out.Count = append(out.Count, int32(c))
	}
	for _, m := range p.machines() {
		if m.retiring != "" {
			out.Retiring = append(out.Retiring, m.ID)
		} else if t := p.h.TypeOf(m.Type); t != nil && m.Deaf() {
			out.DeafCores += t.Cores
		}
	}
	rooms := p.rooms(now)
	sort.SliceStable(rooms, func(a, b int) bool { return rooms[a].cores > rooms[b].cores })
	for _, r := range rooms {
		if r.cores <= eps || len(out.Free) >= freeTold {
			break
		}
		if r.m.reserved != nil || r.m.sick {
			continue // for the head; the others are free for what does not delay it
		}
		out.Free = append(out.Free, &mesh.Room{Type: r.m.Type, Zone: r.m.Zone, Spot: r.m.Spot, Cores: r.cores, Gpus: r.gpus, MemoryGb: r.mem,
			Machine: r.m.ID, Empty: len(r.m.Runs) == 0, Own: r.m.rec.Own, Whole: r.cores+r.softC >= r.t.Cores-eps})
	}
	slog.Debug("part: status", "part", p.K, "machines", len(p.Machines), "jobs", len(p.Works), "queued", queued, "free", out.Free, "head", p.head != nil)
	return out, gaps
}

// together is how many of a job's tasks need room in this part, whatever others have:
// all of a gang, one of a team with a limit, whose work stays here. (Its part had lost
// its last machine that could take them, none could be rented, and its jobs waited for
// ever beside idle machines of other parts: seven of 600 random days.)
func (p *Part) together(j *wire.Job) int {
	switch t := p.h.Settings().Team(j.Team); {
	case j.Shape == wire.Gang:
		return j.Tasks
	case t != nil && t.Limited():
		return 1
	}
	return 0
}

// short counts those for which the part's machines, were they empty, have no room: the
// leader has machines lent to the part.
func (p *Part) short(w *Work, now time.Duration) int {
	j := &w.Rec.Job
	return p.lacks(j, func(m *Machine) int {
		if m.retiring != "" || m.Deaf() || now-m.LastReport > 3*p.report() || m.lent > now || p.untried(m, w, now) {
			return 0
		}
		return p.h.TypeOf(m.Type).Fits(j, j.Tasks)
	})
}

// late counts those of a job that has not begun, though it should soon, for which
// nothing is free now. Its part could hold it; but what is there may be others'
// for minutes. A team's limit that is used up is no lack of room. (Hunted day
// visitors 525561969326: a gang of three waited for 416 s in a part of five large
// machines, while later ones began at once in other parts.)
func (p *Part) late(w *Work, now time.Duration) int {
	j := &w.Rec.Job
	if p.stuck(w) {
		return 1
	}
	if s := &p.h.Settings().Score; p.together(j) == 0 || p.toBegin(w, p.h.Wall()-w.Rec.At) < s.BeginWeight {
		return 0
	}
	if c, g := p.allowance(j.Team); c < j.Cores || g < j.GPUs {
		return 0
	}
	return p.lacks(j, func(m *Machine) int {
		r := p.roomOf(m, now)
		if r == nil || p.untried(m, w, now) {
			return 0
		}
		return max(0, (&wire.MachineType{Cores: r.cores, GPUs: r.gpus, Memory: r.mem}).Fits(j, j.Tasks))
	})
}

// stuck: some of an array has waited for long in a part in which another of its tasks has
// started, so that the rest cannot move to where room is. The leader lends the part a machine
// that is idle in one where nothing waits. (Random day 10526: 16 tasks in a part with one
// machine, for 114 s beside machines of other parts that went back as idle.)
func (p *Part) stuck(w *Work) bool {
	j := &w.Rec.Job
	return j.Shape == wire.Array && !j.Spread && p.together(j) == 0 && w.nplaced > 0 && w.idle > 0 && !w.mistaken && !w.borrowed() &&
		p.h.Wall()-w.Rec.At > p.h.Settings().Score.Begin/4
}

// zoneOf is the zone in which a job in one zone is; "": it may be in any.
func (w *Work) zoneOf() string {
	if w.Rec.Job.OneZone {
		for _, pl := range w.runs {
			return pl.m.Zone
		}
	}
	return ""
}

// lacks counts the tasks that need room here beyond what there is room for on the part's
// machines, all zones together or each by itself, as it may be placed.
func (p *Part) lacks(j *wire.Job, room func(m *Machine) int) int {
	zone, need := map[string]int{}, p.together(j)
	if need == 0 {
		return 0
	}
	for _, m := range p.machines() {
		if p.allowed(m, j) {
			zone[m.Zone] += room(m)
		}
	}
	return max(0, need-Holds(j, zone))
}

// Holds gives how many of a job's tasks may be together in the room that zones
// have: in the best of them for a job in one zone, at most half of the tasks (the
// larger half) in each for one apart. (Without the latter a gang apart went to and
// fro between parts of one zone each for ever, as each seemed to have room.)
func Holds(j *wire.Job, room map[string]int) int {
	sum, most := 0, 0
	for _, k := range room {
		most = max(most, k)
		if j.Spread {
			k = min(k, Half(j))
		}
		sum += k
	}
	if j.OneZone {
		return most
	}
	return sum
}

// Half is the most tasks that a job apart may have in one zone.
func Half(j *wire.Job) int { return (j.Tasks + 1) / 2 }

// Lend hands a machine over as soon as nothing is, or may be, on it.
func (p *Part) Lend(id string, to int) {
	now := p.h.Now()
	m := p.Machines[id]
	if m == nil || to == p.K || m.retiring != "" {
		return
	}
	m.lent = now + p.report() // nothing new; the leader asks again
	if len(m.Runs) > 0 || !m.Resolved || m.Doubtful() || m.lending {
		return
	}
	m.lending = true
	p.h.Reassign(id, to, p.guard,
		func() bool { return p.Machines[id] == m && len(m.Runs) == 0 && !m.Doubtful() },
		func(ok bool) {
			m.lending = false
			if ok {
				slog.Info("part: machine lent", "machine", id, "from", p.K, "to", to)
			}
		})
}

// Move hands a queued chunk to a part that has free room for it now, beside
// what its head is reserved; others are the parts' latest statuses. At most one
// move is under way.
func (p *Part) Move(others []*mesh.PartStatus) {
	now := p.h.Now()
	if !p.h.MayLaunch() {
		return
	}
	for _, w := range p.queue(now) {
		j := &w.Rec.Job
		if t := p.h.Settings().Team(j.Team); t != nil && t.Limited() {
			continue
		}
		if w.mistaken || now-w.queuedAt < p.report()/8 || w.borrowed() && now-w.queuedAt < 2*p.report() {
			continue // what is borrowed needs its home's word anew in another part
		}
		for c, k := range w.Rec.Parts {
			if k != p.K {
				continue
			}
			n, on := w.chunk(c)
			if on || n == 0 {
				continue
			}
			for _, o := range others {
				if int(o.Part) != p.K && p.roomFor(w, n, o, now) {
					p.move(w, c, int(o.Part))
					return
				}
			}
		}
	}
}

// roomFor counts the tasks that fit into another part's free room, and takes
// them from the copy of its status, so that the next move sees the rest.
func (p *Part) roomFor(w *Work, n int, o *mesh.PartStatus, now time.Duration) bool {
	j, zone := &w.Rec.Job, map[string]int{}
	for _, f := range o.Free {
		// Twice as long as it waits for kept machines here: it would else be sent
		// to and fro, each part having had no time to start it.
		t := p.h.TypeOf(f.Type)
		zone[f.Zone] += min(n, RoomFor(p.h, j, f, t == nil || !p.stalled(w, t, 2, now)))
	}
	fit := Holds(j, zone)
	want := n
	switch {
	case w.gang():
	case p.barren(j):
		want = 1
	default:
		want = (n + 1) / 2
	}
	if fit < want {
		return false
	}
	left := n
	for _, f := range o.Free {
		k := min(RoomFor(p.h, j, f, false), left)
		f.Cores -= float64(k) * j.Cores
		f.Gpus -= float64(k) * j.GPUs
		f.MemoryGb -= float64(k) * j.Memory
		left -= k
	}
	return true
}

// barren: no machine of the part can take a task of the job, now or later. It then goes
// to wherever one can begin. (All machines of a part were deaf and returned, the cloud
// had no others, and no other part had room for half of what waited there: it waited
// for ever beside idle machines.)
func (p *Part) barren(j *wire.Job) bool {
	return !slices.ContainsFunc(p.machines(), func(m *Machine) bool { return m.retiring == "" && p.allowed(m, j) })
}

func (p *Part) move(w *Work, c, to int) {
	id := w.Rec.Job.ID
	w.moving = true
	l := p.h.Ledger()
	l.Write(ledger.Soon, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			if p.Works[id] != w || c >= len(w.Rec.Parts) || w.Rec.Parts[c] != p.K {
				return nil, nil
			}
			if _, on := w.chunk(c); on {
				return nil, nil
			}
			rec := *w.record
			rec.W = nonce
			rec.Parts = append([]int(nil), rec.Parts...)
			rec.Parts[c] = to
			return []wire.Cond{p.guard(), {Key: JobKey(id), Stamp: w.Stamp}}, []wire.Op{{Put: JobKey(id), Value: wire.Encode(&rec)}}
		},
		Done: func(ok bool, _ uint64) {
			w.moving = false
			p.dirty = true
			if ok {
				slog.Info("part: chunk moved to free room", "job", id, "chunk", c, "from", p.K, "to", to)
				p.leave(w)
			}
		},
	})
}

// Waiting says for each queued job why it waits.
func (p *Part) Waiting() map[string]string {
	out := map[string]string{}
	for id, w := range p.Works {
		if w.idle > 0 {
			out[id] = w.why
		}
	}
	return out
}
