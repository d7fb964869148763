package shard

import (
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// canBackfill reports whether a task can start on a machine now without delaying the head of the
// queue (DESIGN, "others start only without delaying it"). One of three conditions must be met: the
// machine is not reserved, the task is expected to end before the reservation starts, or the task
// fits into the resources that the head does not need.
func (s *Shard) canBackfill(free *freeCapacity, spec *protocol.Job, now time.Duration) bool {
	if !free.isReserved {
		return true
	}
	if now+s.imageFetchTime(free, spec)+s.expectedRuntime(spec) <= free.reservedFrom {
		return true
	}
	return free.unreserved.fits(spec)
}

// imageFetchTime returns how long a machine takes to fetch a job's image. It returns 0 if the image
// is cached on the machine, or if the machine's type has no fetch rate.
func (s *Shard) imageFetchTime(free *freeCapacity, spec *protocol.Job) time.Duration {
	if free.machine.cachedImages[spec.Image] || free.machineType.FetchGBPerSecond <= 0 {
		return 0
	}
	return env.Seconds(spec.ImageGB / free.machineType.FetchGBPerSecond)
}
