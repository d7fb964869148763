package controller

import (
	"testing"
	"time"
)

// The busiest ten seconds are found wherever they lie, and a pause empties the ring.
func TestPeakCounterFindsBusiestWindow(t *testing.T) {
	var p PeakCounter
	add := func(from, to int, n float64) {
		for s := from; s < to; s++ {
			p.Add(time.Duration(s)*time.Second+300*time.Millisecond, n)
		}
	}
	add(0, 30, 2)
	if p.Max != 20 {
		t.Errorf("steady: %v in ten seconds, want 20", p.Max)
	}
	add(35, 37, 50) // with 2 in each of the seconds 27 to 29
	if p.Max != 106 {
		t.Errorf("burst: %v in ten seconds, want 106", p.Max)
	}
	add(1000, 1010, 10)
	if p.Max != 106 || p.windowSum != 100 {
		t.Errorf("after a pause: most %v and %v now, want 106 and 100", p.Max, p.windowSum)
	}
}
