// Package blame tells machines that are sick from jobs that were submitted with a
// mistake. Both look alike from a single failure; who fails with whom tells them
// apart.
//
// A failed task has one of three reasons: its job is mistaken (then it fails on
// every machine), its machine is sick (then every task fails there), or an
// accident. The failures of a part are pairs of a job and a machine; each pair
// needs one reason. How likely each job and each machine is the reason follows
// from all pairs together: a job is the likelier the more machines it failed on
// that nothing else is held against, a machine the likelier the more jobs failed
// there that run elsewhere. (A count would be wrong either way: three mistaken jobs
// at once make any machine look sick, two sick machines any job mistaken.)
//
// What ends well is proof: a job of which one task ended well is not mistaken, and
// a machine on which a task that began after its last failure ended well is not
// sick.
package blame

import (
	"maps"
	"math"
	"slices"
)

// Prior says how likely each reason is before anything is seen.
type Prior struct {
	Mistaken float64 // share of jobs that are submitted with a mistake
	Sick     float64 // share of machines that are sick at a time
	Accident float64 // share of tasks that fail for no reason that lasts
}

// rounds of passing on what each side says of the other. The graphs are small
// and nearly trees; what is not settled by then is left near its prior.
const rounds = 6

// most bounds the odds that one party can have, in natural logarithms, so that
// no certainty is beyond what later evidence could undo.
const most = 25

// pair is a job that failed on a machine.
type pair struct {
	fails     int
	toJob     float64 // what it says of the job, as log odds
	toMachine float64 // and of the machine
}

// Book keeps what is held against the jobs and machines of one part.
type Book struct {
	prior    Prior
	jobs     map[string]*party
	machines map[string]*party
	stale    bool
}

type party struct {
	pairs  map[string]*pair // by the other side
	proven bool             // a job: some of it has ended well
	own    float64          // what pairs said whose other side is gone, as log odds
	heard  float64          // a job: what others hold against it
	odds   float64          // as last worked out
}

// New makes an empty book.
func New(p Prior) *Book {
	return &Book{prior: p, jobs: map[string]*party{}, machines: map[string]*party{}}
}

func side(m map[string]*party, id string) *party {
	x := m[id]
	if x == nil {
		x = &party{pairs: map[string]*pair{}}
		m[id] = x
	}
	return x
}

// Failed notes that a task of a job failed on a machine.
func (b *Book) Failed(job, machine string) {
	j, m := side(b.jobs, job), side(b.machines, machine)
	p := j.pairs[machine]
	if p == nil {
		p = &pair{}
		j.pairs[machine], m.pairs[job] = p, p
	}
	p.fails++
	b.stale = true
}

// Works notes that some task of the job has ended well, on whatever machine: it
// is not mistaken, so all its failures speak against the machines.
func (b *Book) Works(job string) {
	if j := b.jobs[job]; j != nil && !j.proven {
		j.proven, b.stale = true, true
	}
}

// Well notes that a task that began on the machine after all its failures ended
// well: it is not sick, so what failed there speaks against the jobs.
func (b *Book) Well(machine string) {
	if m := b.machines[machine]; m != nil {
		for _, p := range m.pairs {
			p.toJob = b.against(0, p.fails)
		}
		b.drop(machine, b.machines, b.jobs, toJob)
	}
}

// Gone forgets a machine that is no longer there. What failed there still speaks
// against the jobs, as much as it did.
func (b *Book) Gone(machine string) {
	if b.machines[machine] != nil {
		b.settle()
		b.drop(machine, b.machines, b.jobs, toJob)
	}
}

// Over forgets a job that has ended. What failed of it still speaks against the
// machines, as much as it did.
func (b *Book) Over(job string) {
	if b.jobs[job] != nil {
		b.settle()
		b.drop(job, b.jobs, b.machines, toMachine)
	}
}

// drop takes one party out; the others keep what its pairs said of them.
func (b *Book) drop(id string, side, other map[string]*party, said func(*pair) float64) {
	for o, p := range side[id].pairs {
		x := other[o]
		delete(x.pairs, id)
		x.own = bounded(x.own + said(p))
		if len(x.pairs) == 0 && x.own <= 0 && x.heard <= 0 {
			delete(other, o)
		}
	}
	delete(side, id)
	b.stale = true
}

// Inherit takes what the owner before held against a job: it is this one's now, to
// keep and to tell on.
func (b *Book) Inherit(job string, odds float64) {
	if odds > 0 {
		j := side(b.jobs, job)
		j.own, b.stale = bounded(max(j.own, odds)), true
	}
}

// Hear sets what the owners of a job's other parts hold against it, as log odds.
func (b *Book) Hear(job string, odds float64) {
	odds = bounded(odds)
	if j := b.jobs[job]; j == nil && odds > 0 || j != nil && j.heard != odds {
		side(b.jobs, job).heard, b.stale = odds, true
	}
}

// against is what fails on the other side say, as log odds, if the other side is
// itself the reason with the given probability.
func (b *Book) against(other float64, fails int) float64 {
	accident := math.Pow(b.prior.Accident, float64(min(fails, 3)))
	return -math.Log(other + (1-other)*accident)
}

func logit(p float64) float64    { return math.Log(p / (1 - p)) }
func logistic(x float64) float64 { return 1 / (1 + math.Exp(-x)) }
func bounded(x float64) float64  { return min(max(x, -most), most) }

func toJob(p *pair) float64     { return p.toJob }
func toMachine(p *pair) float64 { return p.toMachine }

// sum adds up all that is held against a party of which a share is at fault.
func (x *party) sum(prior float64, said func(*pair) float64) float64 {
	if x.proven {
		return -most
	}
	v := logit(prior) + x.own + x.heard
	for _, id := range slices.Sorted(maps.Keys(x.pairs)) {
		v += said(x.pairs[id])
	}
	return v
}

// settle works out how likely each is the reason: each side is told by each pair
// how well the other explains it without that very pair.
func (b *Book) settle() {
	if !b.stale {
		return
	}
	b.stale = false
	for _, j := range b.jobs {
		for _, p := range j.pairs {
			p.toJob, p.toMachine = 0, 0
		}
	}
	// By turns: told both at once, the two sides change places in each round where
	// several jobs failed on the same machines.
	for range rounds {
		for _, m := range b.machines {
			m.odds = m.sum(b.prior.Sick, toMachine)
		}
		for _, j := range b.jobs {
			for id, p := range j.pairs {
				p.toJob = b.against(logistic(bounded(b.machines[id].odds-p.toMachine)), p.fails)
			}
			j.odds = bounded(j.sum(b.prior.Mistaken, toJob))
			for _, p := range j.pairs {
				p.toMachine = b.against(logistic(bounded(j.odds-p.toJob)), p.fails)
			}
		}
	}
	for _, m := range b.machines {
		m.odds = bounded(m.sum(b.prior.Sick, toMachine))
	}
}

// Job is how likely the job was submitted with a mistake.
func (b *Book) Job(id string) float64 {
	j := b.jobs[id]
	if j == nil || j.proven {
		return 0
	}
	b.settle()
	return logistic(j.odds)
}

// Machine is how likely the machine is sick.
func (b *Book) Machine(id string) float64 {
	m := b.machines[id]
	if m == nil {
		return 0
	}
	b.settle()
	return logistic(m.odds)
}

// Against is what this part's failures hold against a job, as log odds, for the
// owners of its other parts and for the next owner of this one.
func (b *Book) Against(id string) float64 {
	j := b.jobs[id]
	if j == nil || j.proven {
		return 0
	}
	b.settle()
	return max(0, j.odds-logit(b.prior.Mistaken)-j.heard)
}

// Suspects lists the jobs and machines that anything is held against, by name.
func (b *Book) Suspects() (jobs, machines []string) {
	return slices.Sorted(maps.Keys(b.jobs)), slices.Sorted(maps.Keys(b.machines))
}
