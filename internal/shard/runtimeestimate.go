package shard

import (
	"math"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// This file corrects users' runtime estimates by measured runtimes.

const (
	// minCorrection and maxCorrection bound the ratio of a measured runtime to its estimate.
	minCorrection = 0.1
	maxCorrection = 10
	// correctionWindow is the length, in tasks, of the exponential moving average of the
	// correction: each measured ratio has the weight 1/correctionWindow.
	correctionWindow = 20
	// minEstimate is the lower bound applied to estimates, in seconds.
	minEstimate = 1
	// serviceRuntime is the expected runtime of a service, which runs until it is stopped.
	serviceRuntime = time.Duration(math.MaxInt64 / 4)
)

// updateEstimateCorrection updates the correction for the class of a job with the measured runtime
// of one of the job's tasks.
func (s *Shard) updateEstimateCorrection(spec *protocol.Job, measured time.Duration) {
	if spec.Estimate <= 0 {
		return
	}
	ratio := min(max(measured.Seconds()/spec.Estimate, minCorrection), maxCorrection)
	if correction, ok := s.estimateCorrection[spec.Class]; ok {
		ratio = correction + (ratio-correction)/correctionWindow
	}
	s.estimateCorrection[spec.Class] = ratio
}

// expectedRuntime returns the expected runtime of a task: its estimate times the correction for
// its job class.
func (s *Shard) expectedRuntime(spec *protocol.Job) time.Duration {
	if spec.Shape == protocol.ShapeService {
		return serviceRuntime
	}
	correction, ok := s.estimateCorrection[spec.Class]
	if !ok {
		correction = 1
	}
	return env.Seconds(max(spec.Estimate, minEstimate) * correction)
}
