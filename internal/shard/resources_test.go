package shard

import (
	"testing"

	"curlewspool/internal/protocol"
)

func TestCountFitting(t *testing.T) {
	available := resources{cores: 4, gpus: 1, memory: 10, reportBytes: protocol.ReportCapacity}
	reported := protocol.ReportCapacity / protocol.TaskReportSize("")
	for _, test := range []struct {
		name  string
		spec  protocol.Job
		limit int
		want  int
	}{
		{"limited by cores", protocol.Job{Cores: 1.5}, 9, 2},
		{"limited by GPUs", protocol.Job{Cores: 1, GPUs: 1}, 9, 1},
		{"limited by memory", protocol.Job{Cores: 1, MemoryGB: 4}, 9, 2},
		{"limited by the caller", protocol.Job{Cores: 1}, 3, 3},
		{"fractions of a core", protocol.Job{Cores: 0.1}, 99, 40},
		{"too large", protocol.Job{Cores: 5}, 9, 0},
		{"limited by the report, with tasks that take nothing", protocol.Job{}, protocol.MaxTasks, reported},
		{"limited by the report, with tasks that take little", protocol.Job{Cores: 1e-9}, protocol.MaxTasks, reported},
	} {
		t.Run(test.name, func(t *testing.T) {
			if count := available.countFitting(&test.spec, test.limit); count != test.want {
				t.Errorf("%d fit, want %d", count, test.want)
			}
		})
	}
}

// countFitting must agree with fits, which decides for each task whether it is placed.
func TestCountFittingAgreesWithFits(t *testing.T) {
	for _, cores := range []float64{0, 0.1, 0.3, 1, 3.7, 32} {
		for _, perTask := range []float64{0.01, 0.1, 0.3, 1.0 / 3, 0.7, 1, 1.1} {
			available := resources{cores: cores, reportBytes: protocol.ReportCapacity}
			spec := &protocol.Job{Cores: perTask}
			count := available.countFitting(spec, protocol.MaxTasks)
			for task := range count {
				if remaining := available.without(task, spec); !remaining.fits(spec) {
					t.Fatalf("%v cores: %d tasks of %v count as fitting, task %d does not fit", cores, count, perTask, task)
				}
			}
			if remaining := available.without(count, spec); remaining.fits(spec) {
				t.Errorf("%v cores: %d tasks of %v count as fitting, one more fits", cores, count, perTask)
			}
		}
	}
}
