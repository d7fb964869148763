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
package faults

import (
	"maps"
	"math"
	"slices"
)

// Priors says how likely each reason is before anything is seen.
type Priors struct {
	FaultyJob     float64 // share of jobs that are submitted with a mistake
	FaultyMachine float64 // share of machines that are sick at a time
	Transient     float64 // share of tasks that fail for no reason that lasts
}

// propagationRounds of passing on what each side says of the other. The graphs are small
// and nearly trees; what is not settled by then is left near its prior.
const propagationRounds = 6

// maxLogOdds bounds the odds that one party can have, in natural logarithms, so that
// no certainty is beyond what later evidence could undo.
const maxLogOdds = 25

// failurePair is a job that failed on a machine.
type failurePair struct {
	failures        int
	jobEvidence     float64 // what it says of the job, as log odds
	machineEvidence float64 // and of the machine
}

// Attribution keeps what is held against the jobs and machines of one part.
type Attribution struct {
	priors   Priors
	jobs     map[string]*suspect
	machines map[string]*suspect
	stale    bool
}

type suspect struct {
	pairs        map[string]*failurePair // by the other side
	exonerated   bool                    // a job: some of it has ended well
	retainedOdds float64                 // what pairs said whose other side is gone, as log odds
	remoteOdds   float64                 // a job: what others hold against it
	odds         float64                 // as last worked out
}

// New makes an empty book.
func New(p Priors) *Attribution {
	return &Attribution{priors: p, jobs: map[string]*suspect{}, machines: map[string]*suspect{}}
}

func suspectFor(m map[string]*suspect, id string) *suspect {
	x := m[id]
	if x == nil {
		x = &suspect{pairs: map[string]*failurePair{}}
		m[id] = x
	}
	return x
}

// RecordFailure notes that a task of a job failed on a machine.
func (b *Attribution) RecordFailure(job, machine string) {
	j, m := suspectFor(b.jobs, job), suspectFor(b.machines, machine)
	p := j.pairs[machine]
	if p == nil {
		p = &failurePair{}
		j.pairs[machine], m.pairs[job] = p, p
	}
	p.failures++
	b.stale = true
}

// RecordJobSuccess notes that some task of the job has ended well, on whatever machine: it
// is not mistaken, so all its failures speak against the machines.
func (b *Attribution) RecordJobSuccess(job string) {
	if j := b.jobs[job]; j != nil && !j.exonerated {
		j.exonerated, b.stale = true, true
	}
}

// RecordMachineSuccess notes that a task that began on the machine after all its failures ended
// well: it is not sick, so what failed there speaks against the jobs.
func (b *Attribution) RecordMachineSuccess(machine string) {
	if m := b.machines[machine]; m != nil {
		for _, p := range m.pairs {
			p.jobEvidence = b.evidence(0, p.failures)
		}
		b.remove(machine, b.machines, b.jobs, jobEvidence)
	}
}

// ForgetMachine forgets a machine that is no longer there. What failed there still speaks
// against the jobs, as much as it did.
func (b *Attribution) ForgetMachine(machine string) {
	if b.machines[machine] != nil {
		b.propagate()
		b.remove(machine, b.machines, b.jobs, jobEvidence)
	}
}

// ForgetJob forgets a job that has ended. What failed of it still speaks against the
// machines, as much as it did.
func (b *Attribution) ForgetJob(job string) {
	if b.jobs[job] != nil {
		b.propagate()
		b.remove(job, b.jobs, b.machines, machineEvidence)
	}
}

// remove takes one party out; the others keep what its pairs said of them.
func (b *Attribution) remove(id string, side, other map[string]*suspect, said func(*failurePair) float64) {
	for o, p := range side[id].pairs {
		x := other[o]
		delete(x.pairs, id)
		x.retainedOdds = clampLogOdds(x.retainedOdds + said(p))
		if len(x.pairs) == 0 && x.retainedOdds <= 0 && x.remoteOdds <= 0 {
			delete(other, o)
		}
	}
	delete(side, id)
	b.stale = true
}

// InheritJobOdds takes what the owner before held against a job: it is this one's now, to
// keep and to tell on.
func (b *Attribution) InheritJobOdds(job string, odds float64) {
	if odds > 0 {
		j := suspectFor(b.jobs, job)
		j.retainedOdds, b.stale = clampLogOdds(max(j.retainedOdds, odds)), true
	}
}

// SetRemoteJobOdds sets what the owners of a job's other parts hold against it, as log odds.
func (b *Attribution) SetRemoteJobOdds(job string, odds float64) {
	odds = clampLogOdds(odds)
	if j := b.jobs[job]; j == nil && odds > 0 || j != nil && j.remoteOdds != odds {
		suspectFor(b.jobs, job).remoteOdds, b.stale = odds, true
	}
}

// evidence is what fails on the other side say, as log odds, if the other side is
// itself the reason with the given probability.
func (b *Attribution) evidence(other float64, fails int) float64 {
	accident := math.Pow(b.priors.Transient, float64(min(fails, 3)))
	return -math.Log(other + (1-other)*accident)
}

func logit(p float64) float64        { return math.Log(p / (1 - p)) }
func logistic(x float64) float64     { return 1 / (1 + math.Exp(-x)) }
func clampLogOdds(x float64) float64 { return min(max(x, -maxLogOdds), maxLogOdds) }

func jobEvidence(p *failurePair) float64     { return p.jobEvidence }
func machineEvidence(p *failurePair) float64 { return p.machineEvidence }

// totalOdds adds up all that is held against a party of which a share is at fault.
func (x *suspect) totalOdds(prior float64, said func(*failurePair) float64) float64 {
	if x.exonerated {
		return -maxLogOdds
	}
	v := logit(prior) + x.retainedOdds + x.remoteOdds
	for _, id := range slices.Sorted(maps.Keys(x.pairs)) {
		v += said(x.pairs[id])
	}
	return v
}

// propagate works out how likely each is the reason: each side is told by each pair
// how well the other explains it without that very pair.
func (b *Attribution) propagate() {
	if !b.stale {
		return
	}
	b.stale = false
	for _, j := range b.jobs {
		for _, p := range j.pairs {
			p.jobEvidence, p.machineEvidence = 0, 0
		}
	}
	// By turns: told both at once, the two sides change places in each round where
	// several jobs failed on the same machines.
	for range propagationRounds {
		for _, m := range b.machines {
			m.odds = m.totalOdds(b.priors.FaultyMachine, machineEvidence)
		}
		for _, j := range b.jobs {
			for id, p := range j.pairs {
				p.jobEvidence = b.evidence(logistic(clampLogOdds(b.machines[id].odds-p.machineEvidence)), p.failures)
			}
			j.odds = clampLogOdds(j.totalOdds(b.priors.FaultyJob, jobEvidence))
			for _, p := range j.pairs {
				p.machineEvidence = b.evidence(logistic(clampLogOdds(j.odds-p.jobEvidence)), p.failures)
			}
		}
	}
	for _, m := range b.machines {
		m.odds = clampLogOdds(m.totalOdds(b.priors.FaultyMachine, machineEvidence))
	}
}

// JobFaultProbability is how likely the job was submitted with a mistake.
func (b *Attribution) JobFaultProbability(id string) float64 {
	j := b.jobs[id]
	if j == nil || j.exonerated {
		return 0
	}
	b.propagate()
	return logistic(j.odds)
}

// MachineFaultProbability is how likely the machine is sick.
func (b *Attribution) MachineFaultProbability(id string) float64 {
	m := b.machines[id]
	if m == nil {
		return 0
	}
	b.propagate()
	return logistic(m.odds)
}

// LocalJobOdds is what this part's failures hold against a job, as log odds, for the
// owners of its other parts and for the next owner of this one.
func (b *Attribution) LocalJobOdds(id string) float64 {
	j := b.jobs[id]
	if j == nil || j.exonerated {
		return 0
	}
	b.propagate()
	return max(0, j.odds-logit(b.priors.FaultyJob)-j.remoteOdds)
}

// Suspects lists the jobs and machines that anything is held against, by name.
func (b *Attribution) Suspects() (jobs, machines []string) {
	return slices.Sorted(maps.Keys(b.jobs)), slices.Sorted(maps.Keys(b.machines))
}
