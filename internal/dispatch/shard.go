package dispatch

import "curlewspool/internal/protocol"

// QueueLoad holds, for each rank, how much is queued in one shard with that rank or a higher one.
// The paper's functions Load and Ordering (section 4, "Meta-Scheduler") compare shards by these
// amounts. Both arrays are indexed by rank.
type QueueLoad struct {
	Work []float64 // sum of the jobs' work (see WorkOf), compared by Load
	Jobs []int     // number of jobs, compared by Ordering; a chunk of a job array counts as one job
}

// NewQueueLoad returns the load of an empty queue for the ranks 0 to maxRank.
func NewQueueLoad(maxRank int) QueueLoad {
	return QueueLoad{Work: make([]float64, maxRank+1), Jobs: make([]int, maxRank+1)}
}

// Add adds a job, or a chunk of a job array, with the given rank and work.
func (q QueueLoad) Add(rank int, work float64) {
	for i := 0; i <= rank && i < len(q.Work); i++ {
		q.Work[i] += work
		q.Jobs[i]++
	}
}

// isLessLoaded compares the queue with another one, counting only jobs of the given rank or higher.
// It reports whether the queue has less work than the other (the paper's Load) or, if both have the
// same work, fewer jobs (the paper's Ordering).
func (q QueueLoad) isLessLoaded(other QueueLoad, rank int) bool {
	if q.Work[rank] != other.Work[rank] {
		return q.Work[rank] < other.Work[rank]
	}
	return q.Jobs[rank] < other.Jobs[rank]
}

// WorkOf returns the work of the given number of a job's tasks, which Load adds up: for each task,
// the estimate in seconds, at least one, times the sum of cores and GPUs. In the paper, the work is
// the estimate times the machine's benchmark result. Cores and GPUs are counted here instead,
// because a task may use many of them.
func WorkOf(job *protocol.Job, tasks int) float64 {
	return max(job.Estimate, 1) * (job.Cores + job.GPUs) * float64(tasks)
}

// Placement holds the rank and the shards that the leader chose for a job.
type Placement struct {
	Rank      int   // rank of the job, see Ranker
	ChunkSize int   // number of tasks of each chunk; the last one may have fewer
	Shards    []int // the shard chosen for each chunk
}

// ChooseShard chooses one of the eligible shards for a job of the given rank. Only queued jobs of
// this rank or higher count. ChooseShard returns the first shard without work. If all have work, it
// returns the shard with the least work or, if several have equally little, the one with the fewest
// jobs among these. It returns -1 if no shard is eligible.
func ChooseShard(shards []QueueLoad, eligible []bool, rank int) int {
	best := -1
	for shard, load := range shards {
		if !eligible[shard] {
			continue
		}
		if load.Work[rank] == 0 {
			return shard
		}
		if best < 0 || load.isLessLoaded(shards[best], rank) {
			best = shard
		}
	}
	return best
}
