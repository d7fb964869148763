package shard

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"curlewspool/internal/agent"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// scaleMachineTasks is the number of tasks on each machine in the benchmarks of growing sizes.
const scaleMachineTasks = 500

// newScaleShard returns a shard with machines for the given number of tasks that take nothing.
func newScaleShard(b *testing.B, tasks int) *Shard {
	b.Helper()
	_, shard := newTestShard(b)
	for i := range (tasks + scaleMachineTasks - 1) / scaleMachineTasks {
		addTestMachine(b, shard, fmt.Sprintf("i-%06d", i))
	}
	return shard
}

// addScaleJob adds a job without a progress record to wait for.
func addScaleJob(shard *Shard, spec *protocol.Job) *QueuedJob {
	shard.UpdateJob(spec.ID, &JobRecord{Job: *spec, AcceptedAt: testUnixTime, ChunkSize: spec.Tasks, ChunkShards: []int{0}}, 3)
	job := shard.Jobs[spec.ID]
	job.recordedMachines.every = true
	return job
}

func tinyJob(id string, shape protocol.JobShape, tasks int) *protocol.Job {
	return &protocol.Job{ID: id, Shape: shape, Tasks: tasks, Estimate: 9, Team: "t", AllowSpot: true}
}

// scheduleAll runs passes until all tasks of a job are placed, and records their launches as sent.
func scheduleAll(b *testing.B, shard *Shard, job *QueuedJob) {
	b.Helper()
	for job.idleTasks > 0 {
		placed := job.placedTasks
		shard.Schedule()
		if job.placedTasks == placed {
			b.Fatalf("%d tasks stay idle", job.idleTasks)
		}
	}
	for _, machine := range shard.machinesByID() {
		for len(machine.NextCommands(agent.InAnswer, true, shard.controller.Now())) > 0 {
		}
	}
}

// newShardWithPlacedJob returns a shard on which all tasks of a job are launched.
func newShardWithPlacedJob(b *testing.B, shape protocol.JobShape, tasks int) (*Shard, *QueuedJob) {
	b.Helper()
	shard := newScaleShard(b, tasks)
	job := addScaleJob(shard, tinyJob("wk-1", shape, tasks))
	scheduleAll(b, shard, job)
	return shard, job
}

// reportEnds has all machines report the end of all their attempts.
func reportEnds(shard *Shard, cause protocol.TerminationCause) {
	for _, machine := range shard.machinesByID() {
		shard.HandleReport(machine, reportOf(machine, 2, protocol.TaskEnded, cause), agent.Posted)
	}
}

// addWaitingJobs adds arrays that wait for cores that no machine has.
func addWaitingJobs(shard *Shard, count int, spec protocol.Job) {
	for i := range count {
		spec.ID = fmt.Sprintf("wk-w%d", i)
		addScaleJob(shard, &spec)
	}
}

// scalePath is a path through the shard whose cost is measured at growing sizes. prepare returns the
// work that is measured.
type scalePath struct {
	name    string
	prepare func(b *testing.B, tasks int) func()
}

var scalePaths = []scalePath{
	{"array/place", func(b *testing.B, tasks int) func() {
		shard := newScaleShard(b, tasks)
		job := addScaleJob(shard, tinyJob("wk-1", protocol.ShapeArray, tasks))
		return func() { scheduleAll(b, shard, job) }
	}},
	{"array/progress", func(b *testing.B, tasks int) func() {
		shard := newScaleShard(b, tasks)
		job := addScaleJob(shard, tinyJob("wk-1", protocol.ShapeArray, tasks))
		job.recordedMachines.every = false
		shard.Schedule()
		write := &progressWrite{shard: shard, job: job}
		return func() {
			write.build("nonce")
			write.finish(true, 1)
		}
	}},
	{"array/done", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeArray, tasks)
		return func() { reportEnds(shard, protocol.CauseDone) }
	}},
	{"array/fail", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeArray, tasks)
		return func() { reportEnds(shard, protocol.CauseError) }
	}},
	{"array/cancel", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeArray, tasks)
		return func() { shard.UpdateJob("wk-1", nil, 0) }
	}},
	{"array/cancel 100 others", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeArray, tasks)
		addWaitingJobs(shard, 100, protocol.Job{Shape: protocol.ShapeArray, Tasks: 1, Cores: 99})
		return func() {
			for i := range 100 {
				shard.UpdateJob(fmt.Sprintf("wk-w%d", i), nil, 0)
			}
		}
	}},
	{"array/lose machines", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeArray, tasks)
		machines := shard.machinesByID()
		return func() {
			for _, machine := range machines {
				shard.UpdateMachine(machine.ID, nil)
			}
		}
	}},
	{"array/requeue one and place it 100 times", func(b *testing.B, tasks int) func() {
		shard, job := newShardWithPlacedJob(b, protocol.ShapeArray, tasks)
		machine := shard.machinesByID()[0]
		return func() {
			for range 100 {
				placed := job.placements[agent.TaskID{Job: "wk-1"}]
				machine.Forget(placed.attempt)
				shard.requeueTask(job, placed.attempt)
				shard.scheduleOnMachine(machine)
			}
		}
	}},
	{"gang/done", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeGang, tasks)
		return func() { reportEnds(shard, protocol.CauseDone) }
	}},
	{"gang/fail", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeGang, tasks)
		return func() { reportEnds(shard, protocol.CauseGangMemberLost) }
	}},
	{"gang/stop and end", func(b *testing.B, tasks int) func() {
		shard, job := newShardWithPlacedJob(b, protocol.ShapeGang, tasks)
		return func() {
			shard.stopAttempt(job, job.sortedPlacements()[0], "test")
			reportEnds(shard, protocol.CauseStopped)
		}
	}},
	{"gang/stop before launch", func(b *testing.B, tasks int) func() {
		shard := newScaleShard(b, tasks)
		job := addScaleJob(shard, tinyJob("wk-1", protocol.ShapeGang, tasks))
		shard.Schedule()
		return func() { shard.stopAttempt(job, job.sortedPlacements()[0], "test") }
	}},
	{"gang/reserve", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeArray, tasks)
		addWaitingJobs(shard, 1, protocol.Job{Shape: protocol.ShapeGang, Tasks: protocol.MaxTasks, Cores: 0.001})
		return shard.Schedule
	}},
	{"team/limited, 50 jobs wait", func(b *testing.B, tasks int) func() {
		shard := newScaleShard(b, tasks)
		shard.controller.Settings().Deployment.Teams = []settings.Team{{Name: "t", CoresMax: 3}}
		scheduleAll(b, shard, addScaleJob(shard, tinyJob("wk-1", protocol.ShapeArray, tasks)))
		addWaitingJobs(shard, 50, protocol.Job{Shape: protocol.ShapeArray, Tasks: 10, Cores: 4, Team: "t"})
		return shard.Schedule
	}},
	{"team/guarantee, 50 jobs wait", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeArray, tasks)
		shard.controller.Settings().Deployment.Teams = []settings.Team{{Name: "g", Cores: 100}, {Name: "t", Cores: 1}}
		addWaitingJobs(shard, 50, protocol.Job{Shape: protocol.ShapeGang, Tasks: 2, Cores: 4, Team: "g"})
		request := preemptionRequest{job: shard.Jobs["wk-w0"], tasks: 2, now: shard.controller.Now()}
		capacities := shard.freeCapacities(request.now)
		return func() { shard.preempt(request, capacities) }
	}},
	{"arrays/50 with deadlines wait", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeArray, tasks)
		shard.controller.(*fakeController).deadlines = []float64{600}
		addWaitingJobs(shard, 50, protocol.Job{Shape: protocol.ShapeArray, Tasks: 10, Cores: 4, Priority: 2, Estimate: 60})
		queue, now := shard.queueByScore(shard.controller.Now()), shard.controller.Now()
		capacities := shard.freeCapacities(now)
		return func() { shard.preemptForArrays(queue, capacities, now) }
	}},
	{"move/50 jobs wait", func(b *testing.B, tasks int) func() {
		shard := newScaleShard(b, 1)
		addWaitingJobs(shard, 50, protocol.Job{Shape: protocol.ShapeArray, Tasks: tasks, Cores: 99})
		for _, job := range shard.Jobs {
			job.queuedAt = 0
		}
		others := []*peermsg.ShardStatus{{Shard: 1}}
		return func() { shard.MoveQueuedChunk(others) }
	}},
	{"takeover/records", func(b *testing.B, tasks int) func() {
		shard := newScaleShard(b, 1)
		spec := tinyJob("wk-1", protocol.ShapeArray, tasks)
		progress := &Progress{AnyMachine: true}
		for task := 0; task < tasks; task += 200 {
			progress.DoneRanges = append(progress.DoneRanges, [2]int{task, task + 100})
		}
		return func() {
			addScaleJob(shard, spec)
			shard.UpdateProgress("wk-1", 0, progress)
		}
	}},
	{"takeover/reports", func(b *testing.B, tasks int) func() {
		shard := newScaleShard(b, tasks)
		job := addScaleJob(shard, tinyJob("wk-1", protocol.ShapeArray, tasks))
		return func() { reportPlaced(shard, job) }
	}},
	{"takeover/unwanted reports", func(b *testing.B, tasks int) func() {
		shard := newScaleShard(b, tasks)
		job := &QueuedJob{Record: &JobRecord{Job: *tinyJob("wk-9", protocol.ShapeArray, tasks)}}
		return func() { reportPlaced(shard, job) }
	}},
	{"machines/all fail", func(b *testing.B, tasks int) func() {
		shard := newScaleShard(b, tasks)
		for _, machine := range shard.Machines {
			machine.LastHeartbeat, machine.LastContact = -shard.leaseDuration(), -shard.leaseDuration()
			machine.LastPossibleRenewal = shard.controller.Now()
		}
		return func() {
			for _, machine := range shard.machinesByID() {
				shard.checkMachine(machine, 0)
			}
		}
	}},
	{"tick", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeArray, tasks)
		return shard.Tick
	}},
	{"status", func(b *testing.B, tasks int) func() {
		shard, _ := newShardWithPlacedJob(b, protocol.ShapeArray, tasks)
		return func() { shard.Status(8) }
	}},
	{"federation/offload record", func(b *testing.B, tasks int) func() {
		shard := newScaleShard(b, 1)
		job := addScaleJob(shard, &protocol.Job{ID: "wk-1", Shape: protocol.ShapeArray, Tasks: tasks, Cores: 99})
		job.mergeDone([][2]int{{0, tasks / 2}}, 0)
		return func() { shard.recordWithOffload(job, &OffloadCommand{Job: "wk-1"}, "nonce") }
	}},
}

// reportPlaced has each machine report its share of the tasks of a job, which an earlier owner
// launched, as running.
func reportPlaced(shard *Shard, job *QueuedJob) {
	task := 0
	for _, machine := range shard.machinesByID() {
		report := newTestReport(machine.ID, 2)
		for range scaleMachineTasks {
			if task >= job.Record.Job.Tasks {
				break
			}
			id := agent.TaskID{Job: job.Record.Job.ID, Index: task}
			report.Tasks = append(report.Tasks, protocol.TaskReport{Task: id.String(), Attempt: 1, State: protocol.TaskRunning})
			task++
		}
		shard.HandleReport(machine, report, agent.Posted)
	}
}

// BenchmarkScale measures paths through the shard at growing numbers of tasks, up to the protocol's
// limit for one job. The time per task should not grow.
func BenchmarkScale(b *testing.B) {
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer slog.SetDefault(previous)
	for _, path := range scalePaths {
		for _, tasks := range []int{1000, 10_000, protocol.MaxTasks} {
			b.Run(fmt.Sprintf("%s/tasks=%d", path.name, tasks), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					work := path.prepare(b, tasks)
					b.StartTimer()
					work()
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tasks), "ns/task")
			})
		}
	}
}
