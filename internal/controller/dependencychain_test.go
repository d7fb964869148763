package controller

import (
	"fmt"
	"testing"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// TestRecordsOfChainAreRefreshedOnce guards against a takeover that goes over all earlier jobs of a
// chain for each of its records, and so keeps the event loop for a time that grows as the square of
// the chain (docs/incidents/event-loop-blocked.md).
func TestRecordsOfChainAreRefreshedOnce(t *testing.T) {
	const jobs = 50
	c := New(&recordingEnvironment{}, &settings.Settings{})
	for i := 1; i <= jobs; i++ {
		job := protocol.Job{ID: fmt.Sprintf("wk-%d", i), Tasks: 1, Dependencies: []string{fmt.Sprintf("wk-%d", i-1)}}
		c.onJobRecordChanged(job.ID, &shard.JobRecord{Job: job})
	}
	if marked := len(c.dependencies.inheritanceChanged); marked != jobs {
		t.Errorf("%d jobs are to be refreshed, want one for each of %d records", marked, jobs)
	}
	c.onJobRecordDeleted("wk-50")
	c.onCacheAdvanced()
	if marked := len(c.dependencies.inheritanceChanged); marked != 0 {
		t.Errorf("%d jobs are still to be refreshed after the batch", marked)
	}
}
