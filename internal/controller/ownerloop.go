package controller

// maxQueuedCommands bounds the queue of commands. Beyond half of it requests are
// refused, so that answers to requests already in flight still find room.
const maxQueuedCommands = 1024

// ownerLoop runs commands on the one goroutine that owns a controller's state. All
// other goroutines only translate between the network and commands.
type ownerLoop struct {
	commands chan func()
}

func newOwnerLoop() *ownerLoop {
	return &ownerLoop{commands: make(chan func(), maxQueuedCommands)}
}

// run executes commands in batches, in the order of their submission, and does not
// return.
func (l *ownerLoop) run() {
	for command := range l.commands {
		command()
		l.runBatch(len(l.commands))
	}
}

// runBatch executes commands that are queued already.
func (l *ownerLoop) runBatch(size int) {
	for range size {
		command := <-l.commands
		command()
	}
}

// submit queues a command and blocks while the queue is full. The owner's goroutine
// must not call it: nobody else would make room.
func (l *ownerLoop) submit(command func()) { l.commands <- command }

// trySubmit queues a command without blocking and reports whether there was room. It
// takes at most half of the queue.
func (l *ownerLoop) trySubmit(command func()) bool {
	if len(l.commands) >= maxQueuedCommands/2 {
		return false
	}
	select {
	case l.commands <- command:
		return true
	default:
		return false
	}
}

// isOverloaded reports whether new requests should be refused.
func (l *ownerLoop) isOverloaded() bool { return len(l.commands) > maxQueuedCommands/2 }
