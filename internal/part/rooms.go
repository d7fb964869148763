package part

import (
	"time"

	"curlewspool/internal/wire"
)

// This file works out what is free on machines, and which may take a job.

// room is what is free on a machine during one pass.
type room struct {
	m                *Machine
	t                *wire.MachineType
	cores, gpus, mem float64
	reserved         bool
	cost             float64       // of the job looked at
	at               time.Duration // when the head is to start here
	spareC, spareG   float64       // what the head leaves at that time
	spareM           float64
	// held by work of the lowest rank that loses nothing when it is stopped
	softC, softG, softM float64
	unknown             bool // a run is of a job that is over: it goes soon
	hard                bool // a run is of a job that spot machines do not do for
}

const eps = 1e-9

func (r *room) fits(j *wire.Job) bool {
	return r.cores+eps >= j.Cores && r.gpus+eps >= j.GPUs && r.mem+eps >= j.Memory
}

func (r *room) take(j *wire.Job) {
	r.cores -= j.Cores
	r.gpus -= j.GPUs
	r.mem -= j.Memory
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Allows tells whether a job may run on machines of a type, zone and kind.
func Allows(j *wire.Job, t *wire.MachineType, zone string, spot bool) bool {
	return t != nil && (j.Types == nil || contains(j.Types, t.Name)) && (j.Zone == "" || j.Zone == zone) &&
		(!spot || j.Spot) && j.Cores <= t.Cores && j.GPUs <= t.GPUs && j.Memory <= t.Memory
}

func (p *Part) allowed(m *Machine, j *wire.Job) bool {
	return Allows(j, p.h.TypeOf(m.Type), m.Zone, m.Spot)
}

// usable tells whether a machine may get more to do.
func (p *Part) usable(m *Machine, now time.Duration) bool {
	return m.Resolved && m.Hears() && m.Session > 0 && !m.lending && !m.draining && now >= m.lent && m.retiring == "" && !m.Noticed && now >= m.fullTo &&
		now-m.LastReport < 3*p.report()
}

func (p *Part) rooms(now time.Duration) []*room {
	out := make([]*room, 0, len(p.Machines))
	slab := make([]room, len(p.Machines))
	for _, m := range p.machines() {
		if r := p.roomOf(m, now); r != nil {
			slab[len(out)] = *r
			out = append(out, &slab[len(out)])
		}
	}
	return out
}

// roomOf works out what is free on a machine, if it may get more to do, anew
// only after its runs changed. The caller changes a copy only.
func (p *Part) roomOf(m *Machine, now time.Duration) *room {
	t := p.h.TypeOf(m.Type)
	if t == nil || !p.usable(m, now) || m.onTrial(now) {
		return nil
	}
	r := &m.room
	if m.version != m.Version || r.t != t {
		m.version = m.Version
		*r = room{m: m, t: t, cores: t.Cores, gpus: t.GPUs, mem: t.Memory}
		for _, run := range m.Runs {
			if run.Over() {
				continue
			}
			w := p.Works[run.Job]
			if w == nil {
				r.unknown = true
				continue
			}
			r.take(&w.Rec.Job)
			r.hard = r.hard || !w.Rec.Job.Spot
			if w.Rec.Job.Rank <= 0 && w.Rec.Job.Mark > 0 {
				r.softC += w.Rec.Job.Cores
				r.softG += w.Rec.Job.GPUs
				r.softM += w.Rec.Job.Memory
			}
		}
	}
	if r.unknown {
		return nil
	}
	return r
}
