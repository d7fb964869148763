// Package dispatch chooses a shard for each job on behalf of the leader (paper, section 4,
// "Meta-Scheduler"). It computes the job's rank from its margin (the paper's heuristic
// "Deadline") and then chooses the shard by the paper's functions Load and Ordering. Choices
// that the paper leaves open are documented in the design notes.
package dispatch
