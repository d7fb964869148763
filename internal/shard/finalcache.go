package shard

// FinalCache is an in-memory cache of the final records of recently finished jobs. It has a fixed
// capacity, whereas the key-value store holds all final records.
type FinalCache struct {
	capacity      int
	byID          map[string]FinalRecord
	insertionRing []string // IDs of the cached jobs, a ring buffer in order of insertion
	oldest        int      // index in insertionRing of the job that is evicted next
}

// NewFinalCache returns an empty cache that holds up to capacity jobs, at least one.
func NewFinalCache(capacity int) *FinalCache {
	return &FinalCache{capacity: max(1, capacity), byID: map[string]FinalRecord{}}
}

// Get returns the final record of a job, if it is cached.
func (f *FinalCache) Get(id string) (FinalRecord, bool) {
	final, ok := f.byID[id]
	return final, ok
}

// Len returns the number of cached jobs.
func (f *FinalCache) Len() int { return len(f.byID) }

// Add caches the stored final record of a job. If the cache is full, it evicts the oldest
// entry. A job that is already cached keeps its first record.
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
