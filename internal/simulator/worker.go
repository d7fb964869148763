package simulator

import (
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

type attempt struct {
	agent.TaskID
	number          uint64
	state           protocol.TaskState
	cause           protocol.TerminationCause
	saved           bool
	present         bool // has its image and has not exited
	resultExisted   bool // its result was there already
	progress        time.Duration
	since           time.Duration
	timerGeneration int
}
