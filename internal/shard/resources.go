package shard

import "curlewspool/internal/protocol"

// epsilon is the tolerance for sums of cores, GPUs and memory, which are fractions.
const epsilon = 1e-9

// resources is an amount of what tasks take of a machine.
type resources struct {
	cores  float64
	gpus   float64
	memory float64 // GB
}

// add gives back what one task of a job takes.
func (r *resources) add(spec *protocol.Job) {
	r.cores += spec.Cores
	r.gpus += spec.GPUs
	r.memory += spec.MemoryGB
}

// subtract takes off what one task of a job takes.
func (r *resources) subtract(spec *protocol.Job) {
	r.cores -= spec.Cores
	r.gpus -= spec.GPUs
	r.memory -= spec.MemoryGB
}

// plus is the sum of two amounts.
func (r *resources) plus(other *resources) resources {
	return resources{
		cores:  r.cores + other.cores,
		gpus:   r.gpus + other.gpus,
		memory: r.memory + other.memory,
	}
}

// without is what a number of tasks of a job leave.
func (r *resources) without(tasks int, spec *protocol.Job) resources {
	count := float64(tasks)
	return resources{
		cores:  r.cores - count*spec.Cores,
		gpus:   r.gpus - count*spec.GPUs,
		memory: r.memory - count*spec.MemoryGB,
	}
}

// fits tells whether one more task of a job fits.
func (r *resources) fits(spec *protocol.Job) bool {
	return r.cores+epsilon >= spec.Cores &&
		r.gpus+epsilon >= spec.GPUs &&
		r.memory+epsilon >= spec.MemoryGB
}

// countFitting counts how many tasks of a job fit, up to a limit.
func (r *resources) countFitting(spec *protocol.Job, limit int) int {
	count := 0
	for count < limit {
		remaining := r.without(count, spec)
		if !remaining.fits(spec) {
			break
		}
		count++
	}
	return count
}

// asMachineType is an empty machine of this size.
func (r *resources) asMachineType() *protocol.MachineType {
	return &protocol.MachineType{Cores: r.cores, GPUs: r.gpus, MemoryGB: r.memory}
}
