package federation

// A range of tasks is a pair of the first and the last index, both inclusive.

// shiftRanges adds offset to ranges of task indices within a remote lease. If offset is the index of
// the lease's first task in its job, the results are indices within the job. Invalid ranges, and
// ranges that exceed the lease's number of tasks, are left out.
func shiftRanges(ranges [][2]int, offset, tasks int) (shifted [][2]int) {
	for _, r := range ranges {
		if r[0] >= 0 && r[1] >= r[0] && r[1] < tasks {
			shifted = append(shifted, [2]int{r[0] + offset, r[1] + offset})
		}
	}
	return shifted
}

// rangesWithin returns the parts of a job's ranges that are in a remote lease, as indices within the
// lease. The lease has the given number of tasks, and first is the index of its first task in the job.
func rangesWithin(ranges [][2]int, first, tasks int) (within [][2]int) {
	for _, r := range ranges {
		from, to := max(r[0], first)-first, min(r[1], first+tasks-1)-first
		if from <= to {
			within = append(within, [2]int{from, to})
		}
	}
	return within
}
