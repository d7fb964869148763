package simulator

import (
	"container/heap"
	"time"
)

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (n *Network) schedule(t time.Duration, f func()) {
	n.eventCount++
	heap.Push(&n.queue, event{t, n.eventCount, f})
}

func (n *Network) after(duration time.Duration, f func()) { n.schedule(n.now+max(duration, 0), f) }

// At does something at a time given in seconds.
func (n *Network) At(sec float64, f func()) { n.schedule(time.Duration(sec*float64(time.Second)), f) }

// Run plays until a time given in seconds.
func (n *Network) Run(until float64) {
	end := time.Duration(until * float64(time.Second))
	for len(n.queue) > 0 && n.queue[0].at <= end {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}
