// Package faults attributes the failures of tasks to faulty machines or to faulty jobs, which
// are jobs submitted with a mistake. A single failure looks the same in both cases; the pattern
// of which jobs fail on which machines distinguishes them.
//
// A task fails for one of three reasons: its job is faulty (then all tasks of the job fail on
// every machine), its machine is faulty (then every task fails on that machine), or the failure is
// transient. The failures of a shard are recorded as pairs of a job and a machine. The package
// computes how likely each job and each machine is to be faulty from all pairs together, by belief
// propagation on the bipartite graph of jobs and machines. A job is more likely to be faulty if it
// fails on many machines where other tasks succeed. A machine is more likely to be faulty if many
// jobs fail there that succeed elsewhere. Counting failures is not enough: three faulty jobs at the
// same time make any machine look faulty, and two faulty machines make any job look faulty.
//
// A success is proof: a job is not faulty if one of its tasks has succeeded, and a machine is
// not faulty if a task has succeeded that started after the last failure on the machine.
//
// Evidence is added up as log odds, the natural logarithm of p / (1 - p).
package faults

import (
	"maps"
	"math"
	"slices"
)

// Priors holds the probability of each reason for a failure before there is any evidence.
type Priors struct {
	FaultyJob     float64 // share of jobs that are submitted with a mistake
	FaultyMachine float64 // share of machines that are faulty at any time
	Transient     float64 // share of tasks that fail for a transient reason
}

const (
	// propagationRounds is the number of iterations of the belief propagation. The graphs
	// are small and nearly trees. Log odds that have not converged after these rounds stay near
	// the prior.
	propagationRounds = 6
	// maxLogOdds bounds the log odds of a suspect, so that later evidence can still reverse
	// them.
	maxLogOdds = 25
	// maxCountedFailures is the maximum number of failures of a pair that count as evidence.
	// Further failures of the pair do not make a transient reason less likely.
	maxCountedFailures = 3
)

// Attribution holds the evidence against the jobs and machines of one shard.
type Attribution struct {
	priors   Priors
	jobs     map[string]*suspect
	machines map[string]*suspect
	stale    bool // the evidence has changed since propagate computed the log odds
}

// suspect is a job or a machine with evidence against it.
type suspect struct {
	pairs            map[string]*failurePair // for a job, its failures by machine; for a machine, the failures on it by job
	knownGood        bool                    // only for a job: one of the job's tasks has succeeded
	retainedLogOdds  float64                 // evidence from removed pairs and from the shard's previous owner
	remoteLogOdds    float64                 // only for a job: evidence from the job's tasks in other shards
	posteriorLogOdds float64                 // log odds that the suspect is faulty, as last computed by propagate
}

// failurePair holds the failures of one job on one machine.
type failurePair struct {
	failures        int
	jobEvidence     float64 // evidence against the job, as log odds
	machineEvidence float64 // evidence against the machine, as log odds
}

// evidenceSelector returns the evidence of a pair against its job or against its machine.
type evidenceSelector func(*failurePair) float64

func againstJob(pair *failurePair) float64     { return pair.jobEvidence }
func againstMachine(pair *failurePair) float64 { return pair.machineEvidence }

// New returns an attribution without any evidence.
func New(priors Priors) *Attribution {
	return &Attribution{priors: priors, jobs: map[string]*suspect{}, machines: map[string]*suspect{}}
}

// suspectFor returns the suspect with the given name, and adds it if there is none.
func suspectFor(suspects map[string]*suspect, name string) *suspect {
	entry := suspects[name]
	if entry == nil {
		entry = &suspect{pairs: map[string]*failurePair{}}
		suspects[name] = entry
	}
	return entry
}

// RecordFailure records that a task of a job failed on a machine.
func (a *Attribution) RecordFailure(job, machine string) {
	jobSuspect, machineSuspect := suspectFor(a.jobs, job), suspectFor(a.machines, machine)
	pair := jobSuspect.pairs[machine]
	if pair == nil {
		pair = &failurePair{}
		jobSuspect.pairs[machine], machineSuspect.pairs[job] = pair, pair
	}
	pair.failures++
	a.stale = true
}

// RecordJobSuccess records that a task of the job has succeeded on some machine. The job is not
// faulty, so all of the job's failures are evidence against the machines on which it failed.
func (a *Attribution) RecordJobSuccess(job string) {
	if entry := a.jobs[job]; entry != nil && !entry.knownGood {
		entry.knownGood, a.stale = true, true
	}
}

// RecordMachineSuccess records that a task has succeeded that started on the machine after the last
// failure there. The machine is not faulty, so the earlier failures there are evidence against the
// jobs that failed.
func (a *Attribution) RecordMachineSuccess(machine string) {
	entry := a.machines[machine]
	if entry == nil {
		return
	}
	for _, pair := range entry.pairs {
		pair.jobEvidence = a.failureEvidence(pair, 0)
	}
	a.remove(machine, a.machines, a.jobs, againstJob)
}

// ForgetMachine removes a machine that no longer exists. The failures on the machine remain evidence
// against the jobs that failed there, as last computed.
func (a *Attribution) ForgetMachine(machine string) {
	if a.machines[machine] != nil {
		a.propagate()
		a.remove(machine, a.machines, a.jobs, againstJob)
	}
}

// ForgetJob removes a finished job. The job's failures remain evidence against the machines on which
// it failed, as last computed.
func (a *Attribution) ForgetJob(job string) {
	if a.jobs[job] != nil {
		a.propagate()
		a.remove(job, a.jobs, a.machines, againstMachine)
	}
}

// remove removes the suspect with the given name and all its pairs. The suspect is in the map side,
// and the other sides of its pairs are in the map other: one map holds the jobs and one the machines.
// Each suspect in other retains the evidence that the removed pair gave against it, which against
// selects.
func (a *Attribution) remove(name string, side, other map[string]*suspect, against evidenceSelector) {
	for otherName, pair := range side[name].pairs {
		otherSuspect := other[otherName]
		delete(otherSuspect.pairs, name)
		otherSuspect.retainedLogOdds = clampLogOdds(otherSuspect.retainedLogOdds + against(pair))
		if len(otherSuspect.pairs) == 0 && otherSuspect.retainedLogOdds <= 0 && otherSuspect.remoteLogOdds <= 0 {
			delete(other, otherName)
		}
	}
	delete(side, name)
	a.stale = true
}

// InheritJobLogOdds adds evidence against a job that the shard's previous owner computed, as log
// odds. It counts as evidence from this shard's failures (see LocalJobLogOdds).
func (a *Attribution) InheritJobLogOdds(job string, logOdds float64) {
	if logOdds > 0 {
		entry := suspectFor(a.jobs, job)
		entry.retainedLogOdds, a.stale = clampLogOdds(max(entry.retainedLogOdds, logOdds)), true
	}
}

// SetRemoteJobLogOdds sets the evidence against a job from its tasks in other shards, as log
// odds.
func (a *Attribution) SetRemoteJobLogOdds(job string, logOdds float64) {
	logOdds = clampLogOdds(logOdds)
	entry := a.jobs[job]
	isChanged := entry == nil && logOdds > 0 || entry != nil && entry.remoteLogOdds != logOdds
	if isChanged {
		suspectFor(a.jobs, job).remoteLogOdds, a.stale = logOdds, true
	}
}

// failureEvidence returns the evidence that a pair's failures give against its job or its machine,
// as log odds. otherSideFaulty is the probability that the other one of the two is faulty.
func (a *Attribution) failureEvidence(pair *failurePair, otherSideFaulty float64) float64 {
	transient := math.Pow(a.priors.Transient, float64(min(pair.failures, maxCountedFailures)))
	return -math.Log(otherSideFaulty + (1-otherSideFaulty)*transient)
}

// logOdds returns the natural logarithm of p / (1 - p) for a probability p.
func logOdds(probability float64) float64 { return math.Log(probability / (1 - probability)) }

// probability returns the probability that log odds stand for.
func probability(logOdds float64) float64 { return 1 / (1 + math.Exp(-logOdds)) }

func clampLogOdds(logOdds float64) float64 { return min(max(logOdds, -maxLogOdds), maxLogOdds) }

// totalLogOdds returns the sum of the prior and all evidence against a suspect. The terms are
// added in the order of names, so that rounding errors are the same in every run.
func (s *suspect) totalLogOdds(prior float64, against evidenceSelector) float64 {
	if s.knownGood {
		return -maxLogOdds
	}
	total := logOdds(prior) + s.retainedLogOdds + s.remoteLogOdds
	for _, name := range slices.Sorted(maps.Keys(s.pairs)) {
		total += against(s.pairs[name])
	}
	return total
}

// propagate computes the log odds of all suspects if the evidence has changed. The evidence that a
// pair gives against its job depends on how likely the machine is to be faulty, and the reverse.
// That probability is computed without the pair's own evidence, which would otherwise reinforce
// itself.
func (a *Attribution) propagate() {
	if !a.stale {
		return
	}
	a.stale = false
	for _, job := range a.jobs {
		for _, pair := range job.pairs {
			pair.jobEvidence, pair.machineEvidence = 0, 0
		}
	}
	// Machines and jobs are updated in turn. If both were updated from the previous round,
	// the log odds would oscillate where several jobs failed on the same machines.
	for range propagationRounds {
		for _, machine := range a.machines {
			machine.posteriorLogOdds = machine.totalLogOdds(a.priors.FaultyMachine, againstMachine)
		}
		for _, job := range a.jobs {
			a.propagateJob(job)
		}
	}
	for _, machine := range a.machines {
		machine.posteriorLogOdds = clampLogOdds(machine.totalLogOdds(a.priors.FaultyMachine, againstMachine))
	}
}

// propagateJob updates the log odds of a job from those of its machines, and then the evidence
// of its failures against these machines.
func (a *Attribution) propagateJob(job *suspect) {
	for machine, pair := range job.pairs {
		machineLogOdds := clampLogOdds(a.machines[machine].posteriorLogOdds - pair.machineEvidence)
		pair.jobEvidence = a.failureEvidence(pair, probability(machineLogOdds))
	}
	job.posteriorLogOdds = clampLogOdds(job.totalLogOdds(a.priors.FaultyJob, againstJob))
	for _, pair := range job.pairs {
		jobLogOdds := clampLogOdds(job.posteriorLogOdds - pair.jobEvidence)
		pair.machineEvidence = a.failureEvidence(pair, probability(jobLogOdds))
	}
}

// JobFaultProbability returns the probability that the job was submitted with a mistake.
func (a *Attribution) JobFaultProbability(job string) float64 {
	entry := a.jobs[job]
	if entry == nil || entry.knownGood {
		return 0
	}
	a.propagate()
	return probability(entry.posteriorLogOdds)
}

// MachineFaultProbability returns the probability that the machine is faulty.
func (a *Attribution) MachineFaultProbability(machine string) float64 {
	entry := a.machines[machine]
	if entry == nil {
		return 0
	}
	a.propagate()
	return probability(entry.posteriorLogOdds)
}

// LocalJobLogOdds returns the evidence against a job from this shard's failures, as log odds. The
// owners of the job's other shards and the next owner of this shard use it.
func (a *Attribution) LocalJobLogOdds(job string) float64 {
	entry := a.jobs[job]
	if entry == nil || entry.knownGood {
		return 0
	}
	a.propagate()
	return max(0, entry.posteriorLogOdds-logOdds(a.priors.FaultyJob)-entry.remoteLogOdds)
}

// Suspects returns the names of the jobs and of the machines for which evidence is kept, each sorted.
func (a *Attribution) Suspects() (jobs, machines []string) {
	return slices.Sorted(maps.Keys(a.jobs)), slices.Sorted(maps.Keys(a.machines))
}
