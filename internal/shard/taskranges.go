package shard

import (
	"slices"
	"sort"
)

// This file handles lists of tasks as inclusive ranges of task indices, as stored in records.

// maxEncodedRangeSize is the maximum size of an encoded range of tasks in bytes.
const maxEncodedRangeSize = 12

// MergeRanges sorts inclusive ranges and joins those that overlap or are adjacent. If maxCount is
// positive, only the maxCount longest ranges are kept. A finished task that is left out is merely
// started again. The given lists stay unchanged.
func MergeRanges(maxCount int, lists ...[][2]int) (merged [][2]int) {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b [2]int) int { return a[0] - b[0] })
	for _, next := range all {
		if next[1] < next[0] {
			continue
		}
		if n := len(merged); n > 0 && next[0] <= merged[n-1][1]+1 {
			merged[n-1][1] = max(merged[n-1][1], next[1])
		} else {
			merged = append(merged, next)
		}
	}
	if maxCount > 0 && len(merged) > maxCount {
		slices.SortStableFunc(merged, func(a, b [2]int) int { return b[1] - b[0] - (a[1] - a[0]) })
		merged = merged[:maxCount]
	}
	return merged
}

// CountTasks returns the number of tasks in disjoint inclusive ranges.
func CountTasks(ranges [][2]int) int {
	count := 0
	for _, r := range ranges {
		count += r[1] - r[0] + 1
	}
	return count
}

// doneRanges returns the finished tasks of the job's chunks in a shard, as the longest ranges
// that fit into limit bytes. Leaving out a task is safe: a later owner starts the task again, and
// the new attempt ends at once because the task is already done.
func (q *QueuedJob) doneRanges(shardID, limit int) [][2]int {
	var ranges [][2]int
	for chunk, chunkShard := range q.Record.ChunkShards {
		if chunkShard == shardID {
			from, to := q.Record.TaskRange(chunk)
			ranges = q.appendDoneRanges(ranges, from, to)
		}
	}
	if fit := limit / maxEncodedRangeSize; len(ranges) > fit {
		sort.Slice(ranges, func(i, j int) bool {
			return ranges[i][1]-ranges[i][0] > ranges[j][1]-ranges[j][0]
		})
		ranges = ranges[:fit]
	}
	return ranges
}

// appendDoneRanges appends the finished tasks in the half-open range [from, to) to ranges of earlier
// tasks. Adjacent tasks are in one range.
func (q *QueuedJob) appendDoneRanges(ranges [][2]int, from, to int) [][2]int {
	for task := from; task < to; task++ {
		if q.taskStates[task] != taskDone {
			continue
		}
		if n := len(ranges); n > 0 && ranges[n-1][1] == task-1 {
			ranges[n-1][1] = task
		} else {
			ranges = append(ranges, [2]int{task, task})
		}
	}
	return ranges
}
