package kvstore

import "testing"

// Writes of lower priority leave budget to others, those of high priority may overdraw it.
func TestIsWithinBudget(t *testing.T) {
	const rate = 90.0 // of newTestStore: 0.9 of 100 writes a second
	for _, test := range []struct {
		name      string
		budget    float64
		priority  Priority
		mutations int
		isFirst   bool
		want      bool
	}{
		{"low, down to its reserve", 0.25*rate + 2, PriorityLow, 2, true, true},
		{"low, into its reserve", 0.25*rate + 1, PriorityLow, 2, true, false},
		{"normal, down to zero", 2, PriorityNormal, 2, true, true},
		{"normal, below zero", 1, PriorityNormal, 2, true, false},
		{"high, overdrawn by a second's worth", -rate + 2, PriorityHigh, 2, false, true},
		{"high, overdrawn by more", -rate + 1, PriorityHigh, 2, false, false},
		{"high, overdrawn by more as the first", -rate + 1, PriorityHigh, 2, true, true},
		{"high, overdrawn by all it may be", -rate, PriorityHigh, 2, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, store := newTestStore(nil)
			store.writeBudget = test.budget
			if got := store.isWithinBudget(test.priority, test.mutations, test.isFirst); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestHasBacklog(t *testing.T) {
	_, store := newTestStore(nil)
	for range 45 {
		store.Write(PriorityLow, putRequest("d/1", func(bool) {}))
	}
	if !store.HasBacklog(0.5) || store.HasBacklog(0.6) {
		t.Errorf("45 writes queued at 90 a second: backlog of 0.5 s %v, of 0.6 s %v, want only the former",
			store.HasBacklog(0.5), store.HasBacklog(0.6))
	}
}
