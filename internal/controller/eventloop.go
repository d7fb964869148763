package controller

import "time"

// maxQueuedCommands is the capacity of the queue of commands. New requests are refused while the
// queue is more than half full, so that the queue has space for the answers to requests in flight.
const maxQueuedCommands = 1024

// command is a piece of work for the event loop.
type command struct {
	kind commandKind
	run  func()
}

// eventLoop runs commands on the one goroutine that may access a controller's state. All other
// goroutines only convert between network messages and commands.
type eventLoop struct {
	commands chan command
	monitor  *loopMonitor
}

func newEventLoop() *eventLoop {
	return &eventLoop{commands: make(chan command, maxQueuedCommands), monitor: newLoopMonitor()}
}

// run executes commands in batches, in the order of their submission. It returns only when the
// queue is closed, which happens in tests only.
func (l *eventLoop) run() {
	for next := range l.commands {
		l.execute(next)
		l.runBatch(len(l.commands))
	}
}

// runBatch executes the next size commands, which must be queued already.
func (l *eventLoop) runBatch(size int) {
	for range size {
		l.execute(<-l.commands)
	}
}

// execute runs one command and records its duration.
func (l *eventLoop) execute(next command) {
	l.monitor.begin(next.kind, time.Now())
	next.run()
	l.monitor.end(time.Now())
}

// submit queues a command and blocks while the queue is full. It must not be called on the event
// loop's goroutine, which would then wait for itself.
func (l *eventLoop) submit(kind commandKind, run func()) { l.commands <- command{kind, run} }

// trySubmit queues a command without blocking and reports whether it did. It fills at most half of
// the queue.
func (l *eventLoop) trySubmit(kind commandKind, run func()) bool {
	if len(l.commands) >= maxQueuedCommands/2 {
		return false
	}
	select {
	case l.commands <- command{kind, run}:
		return true
	default:
		return false
	}
}

// isOverloaded reports whether new requests should be refused.
func (l *eventLoop) isOverloaded() bool { return len(l.commands) > maxQueuedCommands/2 }
