package shard

import "testing"

// A task may only be launched on a machine that both the stored progress and the write in
// flight name: whichever is stored when the shard changes hands must.
func TestRecordCovers(t *testing.T) {
	every := &machineSet{every: true}
	named := &machineSet{ids: map[string]bool{"i-1": true}}
	other := &machineSet{ids: map[string]bool{"i-2": true}}
	for _, test := range []struct {
		name     string
		recorded *machineSet
		pending  *machineSet
		want     bool
	}{
		{"nothing is stored", &machineSet{}, nil, false},
		{"the machine is named", named, nil, true},
		{"another machine is named", other, nil, false},
		{"every machine", every, nil, true},
		{"a write names another machine", every, other, false},
		{"a write names the machine, another is stored", other, named, false},
		{"both name the machine", named, every, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			job := &QueuedJob{recordedMachines: *test.recorded, pendingMachines: test.pending}
			if got := job.recordCovers("i-1"); got != test.want {
				t.Errorf("covered %v, want %v", got, test.want)
			}
		})
	}
}
