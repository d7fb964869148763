package shard

// taskState is the state of a task as the shard's owner knows it.
type taskState uint8

const (
	taskIdle   taskState = iota // not started, or to be started again after a failed attempt
	taskPlaced                  // on, or about to be launched on, a machine of this shard
	taskDone                    // finished, as seen here or recorded by another owner
)

// recountTasks recomputes the counters of the job's tasks in the shard, after the chunks that belong
// to the shard have changed.
func (q *QueuedJob) recountTasks(shardID int) {
	q.localTasks = 0
	q.idleTasks = 0
	q.localDone = 0
	q.firstIdle = 0
	for chunk, chunkShard := range q.Record.ChunkShards {
		if chunkShard != shardID {
			continue
		}
		from, to := q.Record.TaskRange(chunk)
		for task := from; task < to; task++ {
			q.localTasks++
			switch q.taskStates[task] {
			case taskIdle:
				q.idleTasks++
			case taskDone:
				q.localDone++
			}
		}
	}
}

// setTaskState changes the state of a task of this shard and updates the counters. A task that is
// done stays done.
func (q *QueuedJob) setTaskState(task int, to taskState) {
	from := q.taskStates[task]
	if from == to {
		return
	}
	switch from {
	case taskIdle:
		q.idleTasks--
	case taskPlaced:
		q.placedTasks--
	case taskDone:
		return
	}
	switch to {
	case taskIdle:
		q.idleTasks++
		q.firstIdle = min(q.firstIdle, task)
	case taskPlaced:
		q.placedTasks++
	case taskDone:
		q.remainingTasks--
		q.localDone++
	}
	q.taskStates[task] = to
}

// mergeDone marks as done the tasks that the owner of another shard, or a previous owner of this
// one, has recorded as done.
func (q *QueuedJob) mergeDone(ranges [][2]int, shardID int) {
	for _, done := range ranges {
		for task := max(done[0], 0); task <= done[1] && task < len(q.taskStates); task++ {
			if q.taskStates[task] == taskDone {
				continue
			}
			if q.Record.ShardOf(task) == shardID {
				q.setTaskState(task, taskDone)
				continue
			}
			q.taskStates[task] = taskDone
			q.remainingTasks--
		}
	}
}

// idleInChunk returns the number of idle tasks of a chunk, or 0 if any of its tasks is placed.
func (q *QueuedJob) idleInChunk(chunk int) int {
	from, to := q.Record.TaskRange(chunk)
	count := 0
	for task := from; task < to; task++ {
		switch q.taskStates[task] {
		case taskPlaced:
			return 0
		case taskIdle:
			count++
		}
	}
	return count
}

// hasPlacedInChunk reports whether any task of a chunk is placed.
func (q *QueuedJob) hasPlacedInChunk(chunk int) bool {
	from, to := q.Record.TaskRange(chunk)
	for task := from; task < to; task++ {
		if q.taskStates[task] == taskPlaced {
			return true
		}
	}
	return false
}

// nextIdleTasks returns up to maxCount idle tasks of the shard, in ascending order.
func (q *QueuedJob) nextIdleTasks(shardID, maxCount int) []int {
	var tasks []int
	for task := q.firstIdle; task < len(q.taskStates) && len(tasks) < maxCount; task++ {
		if q.taskStates[task] != taskIdle || q.Record.ShardOf(task) != shardID {
			continue
		}
		if len(tasks) == 0 {
			q.firstIdle = task
		}
		tasks = append(tasks, task)
	}
	return tasks
}
