package simulator

import (
	"container/heap"
	"time"

	"curlewspool/internal/env"
)

// event is a callback that is scheduled for a point in simulated time.
type event struct {
	at       time.Duration
	sequence int // orders events that are scheduled for the same time
	run      func()
}

// eventQueue is a min-heap of events, ordered by time; see container/heap.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event. It implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event. It implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule schedules f to run at a point in simulated time.
func (n *Network) schedule(at time.Duration, f func()) {
	n.eventCount++
	heap.Push(&n.queue, event{at: at, sequence: n.eventCount, run: f})
}

// after schedules f to run after a delay. A negative delay counts as zero.
func (n *Network) after(delay time.Duration, f func()) { n.schedule(n.now+max(delay, 0), f) }

// At schedules f to run at a time in seconds since the start of the run.
func (n *Network) At(seconds float64, f func()) { n.schedule(env.Seconds(seconds), f) }

// Run processes all events up to a time in seconds since the start of the run.
func (n *Network) Run(until float64) {
	end := env.Seconds(until)
	for len(n.queue) > 0 && n.queue[0].at <= end {
		next := n.popEvent()
		n.now = next.at
		next.run()
	}
	n.now = end
}

// popEvent removes the earliest event from the queue and returns it.
func (n *Network) popEvent() event { return heap.Pop(&n.queue).(event) }
