package federation

// Ranges of tasks are pairs of the first and the last index, both included.

// shiftRanges translates ranges of a lease of so many tasks to the indices of its job, of
// which the lease begins at offset. What is not of the lease is left out.
func shiftRanges(ranges [][2]int, offset, tasks int) (shifted [][2]int) {
	for _, r := range ranges {
		if r[0] >= 0 && r[1] >= r[0] && r[1] < tasks {
			shifted = append(shifted, [2]int{r[0] + offset, r[1] + offset})
		}
	}
	return shifted
}

// rangesWithin gives the part of a job's ranges that is in a lease, by the lease's indices.
func rangesWithin(ranges [][2]int, first, tasks int) (within [][2]int) {
	for _, r := range ranges {
		from, to := max(r[0], first)-first, min(r[1], first+tasks-1)-first
		if from <= to {
			within = append(within, [2]int{from, to})
		}
	}
	return within
}
