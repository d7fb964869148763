package part

import (
	"log/slog"
	"time"

	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// This file judges machines: which are silent, taken, idle, and go back.

// retire takes a machine out of use for good; the leader has it deleted.
func (p *Part) retire(m *Machine, why string) {
	if m.retiring != "" {
		return
	}
	slog.Info("part: machine is returned", "part", p.K, "machine", m.ID, "type", m.Type, "spot", m.Spot, "why", why)
	m.retiring = why
}

// watch judges one machine.
func (p *Part) watch(m *Machine, now time.Duration) {
	lease := p.lease()
	// Whether it reports does not matter: a deaf machine does, and its lease ends all
	// the same. (Jobs that might be on one waited for ever for its answer.)
	if m.LeaseOver(now, lease, settings.Drift) && (!m.Resolved || m.MayHold()) {
		slog.Info("part: lease is over", "part", p.K, "machine", m.ID, "runs", len(m.Runs))
		p.handle(m, m.Expire(now))
		p.dirty = true
	}
	if m.Deaf() {
		p.takeOff(m, true)
	}
	if m.retiring != "" {
		return
	}
	if m.Noticed {
		p.drain(m, now)
		if now > m.Notice+p.report() && now-m.LastHeard > 2*p.report() {
			p.retire(m, "taken")
			return
		}
	}
	if now-m.LastHeard > lease/2 && p.alone(m, now) || now-m.LastHeard > 3*lease {
		p.retire(m, "silent")
		return
	}
	// One that answers orders and reaches nobody lives; what is on it ends with its lease
	// if it goes on so. (Returned like a silent one it lost, half a lease early, what a
	// shorter trouble would have let it keep: eleven machines of a recorded day.)
	if since := now - m.LastReport; since > lease && !m.MayHold() && p.alone(m, now) || since > 3*lease {
		p.retire(m, "mute")
		return
	}
	// What may be on a deaf one runs on until its lease ends, and is gone then.
	if since := m.DeafSince(); since > 0 && (now-since > lease && p.alone(m, now) || now-since > 3*lease) {
		p.retire(m, "deaf")
		return
	}
	switch {
	case !m.Resolved || len(m.Runs) > 0 && !m.draining && !p.movable(m, now):
		m.idleAt = now
	case !m.draining && !p.idleTooLong(m, now):
	case len(m.Runs) == 0:
		p.retire(m, "idle")
	default:
		m.draining = true
		for run := range m.All() {
			if w := p.Works[run.Job]; w != nil && !run.Over() && !run.Halt && !run.Foreign {
				p.stopRun(w, &placement{m, run}, "its machine is returned")
			}
		}
	}
}

// movable: an ordinary machine that only holds tasks which lose nothing when
// they are stopped, and which free spot machines of the part would take, is
// as good as idle.
func (p *Part) movable(m *Machine, now time.Duration) bool {
	if m.Spot || m.rec.Own {
		return false
	}
	need := 0.0
	for _, run := range m.Runs {
		w := p.Works[run.Job]
		if run.Over() {
			continue
		}
		if w == nil || w.gang() || w.Rec.Job.Mark <= 0 || !w.Rec.Job.Spot || run.Began == 0 {
			return false
		}
		need += w.Rec.Job.Cores
	}
	if p.softFree < 0 { // once a tick
		p.softFree = 0
		for _, r := range p.rooms(now) {
			if r.m.Spot {
				p.softFree += r.cores
			}
		}
	}
	return p.softFree >= need
}

// alone tells whether a silent, or deaf, machine is so by itself: if many are, in
// the part or in the machine's zone, the network or this controller is at
// fault, and deleting them would only destroy work. (With zones apart, the 70
// machines of a part's smaller zone were once deleted.)
func (p *Part) alone(m *Machine, now time.Duration) bool {
	// few counts in a zone, or in all of them.
	few := func(zone string) (ok bool, all int) {
		silent := 0
		for _, o := range p.Machines {
			if o.retiring != "" || zone != "" && o.Zone != zone {
				continue
			}
			all++
			if now-o.LastReport > 2*p.report() || o.Deaf() {
				silent++
			}
		}
		return silent*3 <= all || silent == 1, all
	}
	inPart, all := few("")
	inZone, _ := few(m.Zone)
	return all > 1 && inPart && inZone
}

// drain stops what can save its progress before a spot machine is taken, and
// cannot end before.
func (p *Part) drain(m *Machine, now time.Duration) {
	for run := range m.All() {
		w := p.Works[run.Job]
		if w == nil || run.Over() || run.Halt || run.Foreign {
			continue
		}
		j := &w.Rec.Job
		ends := run.Began + p.estimate(j)
		if run.Began > 0 && ends < m.Notice {
			continue
		}
		if j.Mark <= 0 && run.Began > 0 && !w.service() {
			continue // nothing to save, it may yet end in time
		}
		p.stopRun(w, &placement{m, run}, "spot notice")
	}
}

// forLarge is for how many times the time that idle machines are kept, after the
// last large job was seen, they are kept for the next.
const forLarge = 10

// idleKept is how long an idle machine is kept: for as long as a new one takes to
// boot costs what the boot of a new one would, and waiting longer than that on
// luck costs more.
func idleKept(h Host, own bool, t *wire.MachineType) time.Duration {
	if own {
		return world.Seconds(t.Boot * h.Settings().Rent.OwnIdleBoots)
	}
	return world.Seconds(t.Boot * h.Settings().Rent.IdleBoots)
}

func (p *Part) idleTooLong(m *Machine, now time.Duration) bool {
	t := p.h.TypeOf(m.Type)
	if t == nil {
		return false
	}
	keep := idleKept(p.h, m.rec.Own, t)
	large := false
	for _, s := range p.h.Large() {
		// Few machines take such jobs: one that does is kept as long as the
		// next may be expected.
		if 2*s.Job.Cores > t.Cores && now-s.Seen < forLarge*keep && p.allowed(m, &s.Job) {
			large = true
			if now-m.idleAt >= keep && !p.h.Spare(m, &s.Job) {
				keep *= 6
				break
			}
		}
	}
	if !large && !m.Spot && !m.rec.Own && p.h.Spared() {
		keep /= 3 // it was rented for a rush that is over
	}
	if now-m.idleAt < keep {
		return false
	}
	return !p.h.Wanted(m, m.Spot || m.rec.Own || !p.h.Spared())
}
