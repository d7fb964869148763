package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"curlewspool/internal/client"
	"curlewspool/internal/devcluster"
	"curlewspool/internal/historycheck"
	"curlewspool/internal/protocol"
	"curlewspool/internal/simulator"
)

// Parameters of the clients that submit and poll sample jobs, and the jobs' class.
const (
	samplePollInterval = time.Second / 2
	sampleRetryTimeout = 10 * time.Minute
	sampleClass        = "sample"
)

// Every third sample job is a gang; the others are arrays.
const (
	gangEvery  = 3
	gangTasks  = 3
	gangCores  = 2
	arrayCores = 1
)

// sampleLoad describes the jobs that curlewctl dev --sample submits.
type sampleLoad struct {
	jobs    int     // number submitted to each cluster
	tasks   int     // of each array job
	seconds float64 // expected run time of a task
	cluster string  // the only cluster to submit to; "": all
}

// sampleRun submits the sample jobs, waits for them and keeps the error of the last one that failed.
type sampleRun struct {
	logf    func(format string, args ...any)
	running sync.WaitGroup

	mu        sync.Mutex
	lastError error
}

// run submits the sample jobs, waits until all are done, and checks the history that the machines
// recorded.
func (l *sampleLoad) run(ctx context.Context, dev *devcluster.Environment, logf func(string, ...any)) (*historycheck.Report, error) {
	run := &sampleRun{logf: logf}
	tasksOfJob := map[string]int{}
	start := time.Now()
	for _, cluster := range dev.Clusters {
		if l.cluster != "" && l.cluster != cluster.Name {
			continue
		}
		for i := range l.jobs {
			submission := l.submission(cluster.Name, i)
			tasksOfJob[*submission.ID] = int(*submission.Tasks)
			if err := run.start(ctx, cluster.Address(), submission); err != nil {
				return nil, err
			}
		}
	}
	run.running.Wait()
	if run.lastError != nil {
		return nil, run.lastError
	}
	report, err := checkHistory(filepath.Join(dev.Dir(), devcluster.ObservationsFile))
	if err != nil {
		return nil, err
	}
	checkFinishedTasks(report, tasksOfJob)
	logf("%d jobs done in %.0f s; machines saw %d tasks start %d times, %d finished once (%s), %d started again with their result kept",
		len(tasksOfJob), time.Since(start).Seconds(), report.Tasks, report.Starts, report.Finished, formatByCluster(report.ByCluster), report.ResultsReused)
	if len(report.Violations) > 0 {
		return report, errors.New(report.Violations[0])
	}
	return report, nil
}

// submission returns the i-th sample job of a cluster.
func (l *sampleLoad) submission(cluster string, i int) *protocol.Submission {
	id := fmt.Sprintf("wk-sample-%s%d", cluster, i+1)
	submission := simulator.NewSubmission(id, protocol.ShapeArray, l.tasks, arrayCores, l.seconds, nil)
	if i%gangEvery == gangEvery-1 {
		submission = simulator.NewSubmission(id, protocol.ShapeGang, gangTasks, gangCores, l.seconds, nil)
	}
	*submission.Class = sampleClass
	return submission
}

// start submits a job in the background and waits there until the job has finished. If this fails, it
// stores the error in lastError.
func (r *sampleRun) start(ctx context.Context, address string, submission *protocol.Submission) error {
	cluster, err := client.New(address)
	if err != nil {
		return err
	}
	cluster.RetryInterval, cluster.RetryTimeout = samplePollInterval, sampleRetryTimeout
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		_, err := cluster.Submit(ctx, submission)
		if err == nil {
			_, err = cluster.Wait(ctx, *submission.ID, r.logState)
		}
		if err != nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.lastError = fmt.Errorf("%s: %w", *submission.ID, err)
		}
	}()
	return nil
}

// logState logs the state of a job.
func (r *sampleRun) logState(state *protocol.JobState) {
	r.logf("%s", client.FormatState(state))
}

// checkFinishedTasks adds a violation for each job whose number of finished tasks differs from its
// number of tasks.
func checkFinishedTasks(report *historycheck.Report, tasksOfJob map[string]int) {
	for jobID, tasks := range tasksOfJob {
		if report.Jobs[jobID] != tasks {
			report.Violations = append(report.Violations, fmt.Sprintf("%s is done, machines finished %d of its %d tasks", jobID, report.Jobs[jobID], tasks))
		}
	}
}

// formatByCluster formats the number of finished tasks of each cluster.
func formatByCluster(finished map[string]int) string {
	var parts []string
	for _, cluster := range slices.Sorted(maps.Keys(finished)) {
		name := cluster
		if name == "" {
			name = "here"
		}
		parts = append(parts, fmt.Sprintf("%s %d", name, finished[cluster]))
	}
	return strings.Join(parts, ", ")
}
