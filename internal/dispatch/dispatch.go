// Package dispatch is the leader's choice of a shard for each job (paper, section 4,
// "Meta-Scheduler"): a rank from the job's margin (heuristic "Deadline"), then the shard
// by the functions Load and Ordering. Where the paper leaves a choice open, the one made
// here is that of the design notes.
package dispatch
