package simulator

import (
	"strings"
	"testing"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// The judge of the addition refuses a history that breaks exactly one of its rules.
func TestServiceLevelRulesFindEachViolation(t *testing.T) {
	const calm, end = 100 * time.Second, 600 * time.Second
	jobs := map[string]*protocol.Job{}
	for _, j := range []protocol.Job{{ID: "a", Class: "x", Team: "red", Tasks: 1}, {ID: "b", Class: "x", Team: "red", Tasks: 1}, {ID: "c", Class: "x", Team: "red", Tasks: 4},
		{ID: "d", Class: "y", Team: "red", Tasks: 2}, {ID: "e", Class: "y", Team: "blue", Tasks: 2}, {ID: "f", Class: "y", Team: "red", Tasks: 2}} {
		jobs[j.ID] = &j
	}
	// made is a day on which all is well, but for what edit changes of a job.
	made := func(edit func(id string, begins, answered *time.Duration, done *bool)) *JobHistories {
		histories := &JobHistories{FaultsOver: calm}
		for id, job := range jobs {
			begins, answered, done := 30*time.Second, end-10*time.Second, true
			edit(id, &begins, &answered, &done)
			histories.recordSubmission(id, 10*time.Second)
			histories.job(id).maxConcurrent = job.Tasks
			histories.recordAnswer(id, 11*time.Second)
			for at := calm; at <= answered; at += 20 * time.Second {
				histories.recordAnswer(id, at)
			}
			for k := range job.Tasks {
				histories.recordStart(agent.TaskID{Job: id, Index: k}, begins)
				if done {
					histories.recordCompletion(agent.TaskID{Job: id, Index: k})
				}
			}
		}
		return histories
	}
	for name, test := range map[string]struct {
		edit func(id string, begins, answered *time.Duration, done *bool)
		want string
	}{
		"all well": {func(string, *time.Duration, *time.Duration, *bool) {}, ""},
		"one unanswered for 80 s": {func(id string, _, answered *time.Duration, _ *bool) {
			if id == "a" {
				*answered = end - 80*time.Second
			}
		}, "forgotten: a"},
		"unanswered in the troubles only": {func(_ string, _, _ *time.Duration, _ *bool) {}, ""},
		"a small one begins late":         {func(id string, b, _ *time.Duration, _ *bool) { delayStart(id == "a", b) }, ""},
		"a largest begins late":           {func(id string, b, _ *time.Duration, _ *bool) { delayStart(id == "c", b) }, "begins late: c"},
		"the only job of a team":          {func(id string, _, _ *time.Duration, d *bool) { *d = id != "e" }, "not served: team blue, 0 of 1"},
		"the largest of a class":          {func(id string, _, _ *time.Duration, d *bool) { *d = id != "c" }, "not served: largest of class x, 0 of 1"},
		"two thirds of a class": {func(id string, _, _ *time.Duration, d *bool) { *d = id != "a" && id != "b" },
			"not served: class x, 1 of 3"},
	} {
		got := strings.Join(made(test.edit).Violations(jobs, end), "; ")
		if test.want == "" && got != "" || !strings.HasPrefix(got, test.want) || strings.Contains(got, ";") {
			t.Errorf("%s: judged %q, want %q alone", name, got, test.want)
		}
	}
}

func delayStart(is bool, begins *time.Duration) {
	if is {
		*begins = 251 * time.Second
	}
}

// The judge says so when a job waits beside room for it: here as nobody is there who
// could start it.
func TestWaitDespiteCapacityIsReported(t *testing.T) {
	cluster := NewCluster(3)
	cluster.ServeAPI()
	addMachines(cluster, 3, 0)
	cluster.histories.FaultsOver = 14 * time.Second
	cluster.monitorWaitingJobs()
	cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 30, 1, 10))
	cluster.crashFor(12, 130, cluster.controllerNames...)
	cluster.Start()
	cluster.Run(200)
	if got := strings.Join(cluster.ServiceLevelViolations(), "; "); !strings.Contains(got, "left waiting: wk-1 for 1m") {
		t.Errorf("the judge says %q", got)
	}
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
}
