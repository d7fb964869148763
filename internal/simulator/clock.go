package simulator

import (
	"container/heap"
	"time"

	"curlewspool/internal/env"
)

// event is something that happens at a moment of simulated time.
type event struct {
	at       time.Duration
	sequence int // order of events of the same moment
	run      func()
}

// eventQueue is a heap of events, the earliest first; see container/heap.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; part of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; part of heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule runs f at a moment of simulated time.
func (n *Network) schedule(at time.Duration, f func()) {
	n.eventCount++
	heap.Push(&n.queue, event{at: at, sequence: n.eventCount, run: f})
}

// after runs f when a delay has passed; a negative one counts as none.
func (n *Network) after(delay time.Duration, f func()) { n.schedule(n.now+max(delay, 0), f) }

// At runs f at a time given in seconds since the start.
func (n *Network) At(seconds float64, f func()) { n.schedule(env.Seconds(seconds), f) }

// Run plays all events up to a time given in seconds since the start.
func (n *Network) Run(until float64) {
	end := env.Seconds(until)
	for len(n.queue) > 0 && n.queue[0].at <= end {
		next := n.popEvent()
		n.now = next.at
		next.run()
	}
	n.now = end
}

// popEvent takes the earliest event off the queue.
func (n *Network) popEvent() event { return heap.Pop(&n.queue).(event) }
