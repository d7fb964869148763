package shard

import (
	"math"

	"curlewspool/internal/protocol"
)

// epsilon is the tolerance for rounding errors in sums of cores, GPUs and memory, which may be
// fractions.
const epsilon = 1e-9

// resources is an amount of cores, GPUs and memory, and of bytes in a machine's report, in which each
// attempt takes some (see protocol.ReportCapacity).
type resources struct {
	cores       float64
	gpus        float64
	memory      float64 // GB
	reportBytes int
}

// resourcesOf returns the resources of an empty machine.
func resourcesOf(machineType *protocol.MachineType) resources {
	return resources{
		cores:       machineType.Cores,
		gpus:        machineType.GPUs,
		memory:      machineType.MemoryGB,
		reportBytes: protocol.ReportCapacity,
	}
}

// add adds the resources of one task of a job.
func (r *resources) add(spec *protocol.Job) {
	r.cores += spec.Cores
	r.gpus += spec.GPUs
	r.memory += spec.MemoryGB
	r.reportBytes += protocol.TaskReportSize(spec.ID)
}

// subtract subtracts the resources of one task of a job.
func (r *resources) subtract(spec *protocol.Job) {
	r.cores -= spec.Cores
	r.gpus -= spec.GPUs
	r.memory -= spec.MemoryGB
	r.reportBytes -= protocol.TaskReportSize(spec.ID)
}

// plus returns the sum of two amounts.
func (r *resources) plus(other *resources) resources {
	return resources{
		cores:       r.cores + other.cores,
		gpus:        r.gpus + other.gpus,
		memory:      r.memory + other.memory,
		reportBytes: r.reportBytes + other.reportBytes,
	}
}

// without returns these resources less those of a number of tasks.
func (r *resources) without(tasks int, spec *protocol.Job) resources {
	count := float64(tasks)
	return resources{
		cores:       r.cores - count*spec.Cores,
		gpus:        r.gpus - count*spec.GPUs,
		memory:      r.memory - count*spec.MemoryGB,
		reportBytes: r.reportBytes - tasks*protocol.TaskReportSize(spec.ID),
	}
}

// fits reports whether one task of a job fits.
func (r *resources) fits(spec *protocol.Job) bool {
	return r.cores+epsilon >= spec.Cores &&
		r.gpus+epsilon >= spec.GPUs &&
		r.memory+epsilon >= spec.MemoryGB &&
		r.reportBytes >= protocol.TaskReportSize(spec.ID)
}

// countFitting returns how many tasks of a job fit together, but at most limit.
func (r *resources) countFitting(spec *protocol.Job, limit int) int {
	count := float64(min(limit, r.reportBytes/protocol.TaskReportSize(spec.ID)))
	count = min(count, countWithin(r.cores, spec.Cores))
	count = min(count, countWithin(r.gpus, spec.GPUs))
	count = min(count, countWithin(r.memory, spec.MemoryGB))
	return int(max(count, 0))
}

// countWithin returns how many tasks fit into an amount of one resource.
func countWithin(amount, perTask float64) float64 {
	if perTask <= 0 {
		if amount+epsilon < 0 {
			return 0
		}
		return math.Inf(1)
	}
	return math.Floor((amount + epsilon) / perTask)
}
