package shard

// FinalCache keeps the ends of the jobs that ended last in memory, up to a fixed number.
// The key-value store has all of them.
type FinalCache struct {
	capacity      int
	byID          map[string]FinalRecord
	insertionRing []string // IDs in the order of their insertion, from oldest on
	oldest        int      // index of the next ID to be replaced
}

// NewFinalCache makes an empty cache for a number of jobs, at least one.
func NewFinalCache(capacity int) *FinalCache {
	return &FinalCache{capacity: max(1, capacity), byID: map[string]FinalRecord{}}
}

// Get returns a job's end, if it is cached.
func (f *FinalCache) Get(id string) (FinalRecord, bool) {
	final, ok := f.byID[id]
	return final, ok
}

// Len is the number of cached jobs.
func (f *FinalCache) Len() int { return len(f.byID) }

// Add caches a job's end that is stored. It replaces the oldest one if the cache is full,
// and keeps the first of several ends of one job.
func (f *FinalCache) Add(id string, final FinalRecord) {
	if _, ok := f.byID[id]; ok {
		return
	}
	f.byID[id] = final
	if len(f.insertionRing) < f.capacity {
		f.insertionRing = append(f.insertionRing, id)
		return
	}
	delete(f.byID, f.insertionRing[f.oldest])
	f.insertionRing[f.oldest] = id
	f.oldest = (f.oldest + 1) % f.capacity
}
