package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"curlewspool/internal/shard"
)

const (
	// slowCommandThreshold is the duration from which a command is logged. It is the load balancer's
	// timeout for GET /up, which waits for the event loop.
	slowCommandThreshold = time.Second
	// watchdogInterval is the time between two checks for a command that still runs.
	watchdogInterval = time.Second / 2
	// maxLoggedFrames is the maximum number of functions of the event loop's stack in a log line.
	maxLoggedFrames = 8
	// maxStackBytes is the size of the buffer for the stacks of all goroutines. The event loop is one
	// of the first goroutines of the process and precedes those of the connections.
	maxStackBytes = 256 << 10
)

// commandKind identifies what a command does, for logs and metrics.
type commandKind struct {
	label    string
	function uintptr // entry point of a timer's function; 0 for other commands
}

// Kinds of commands other than requests and timers.
var (
	peerMessageCommand   = commandKind{label: "peer message"}
	partnerAnswerCommand = commandKind{label: "partner answer"}
)

// requestCommand returns the kind of the commands that handle requests to a route.
func requestCommand(method, route string) commandKind {
	return commandKind{label: method + " " + route}
}

// answerCommand returns the kind of the commands that handle answers to this controller's requests.
// Only the first part of the path counts, because the rest may name a key.
func answerCommand(method, path string) commandKind {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	first, _, _ = strings.Cut(first, "?")
	return commandKind{label: "answer to " + method + " /" + first}
}

// timerCommand returns the kind of the commands that run a function after a delay.
func timerCommand(f func()) commandKind {
	return commandKind{label: "timer", function: reflect.ValueOf(f).Pointer()}
}

// String returns the kind's name, for example "timer controller.(*Controller).tick".
func (k commandKind) String() string {
	if k.function == 0 {
		return k.label
	}
	return k.label + " " + strings.TrimSuffix(shortFunctionName(runtime.FuncForPC(k.function).Name()), "-fm")
}

// shortFunctionName removes the directories of the package from a function's name.
func shortFunctionName(name string) string { return name[strings.LastIndexByte(name, '/')+1:] }

// CommandStats sums up the commands of one kind since the process started.
type CommandStats struct {
	Command      string  `cbor:"command" json:"command"`
	Count        uint64  `cbor:"count" json:"count"`
	TotalSeconds float64 `cbor:"total_s" json:"total_s"`
	MaxSeconds   float64 `cbor:"max_s" json:"max_s"`
}

// EventLoopState describes a controller's event loop. It is the answer to GET /debug/eventloop,
// which does not wait for the event loop.
type EventLoopState struct {
	QueuedCommands int `cbor:"queued" json:"queued"`
	// Running is the command that runs now, or empty, and RunningSeconds is for how long it has.
	Running        string  `cbor:"running,omitempty" json:"running,omitempty"`
	RunningSeconds float64 `cbor:"running_s" json:"running_s"`
	// Operation, Job and Machine say what the command works on, see shard.Activity.
	Operation string `cbor:"operation,omitempty" json:"operation,omitempty"`
	Job       string `cbor:"job,omitempty" json:"job,omitempty"`
	Machine   string `cbor:"machine,omitempty" json:"machine,omitempty"`
	// Commands lists the kinds of commands, those with the largest total first.
	Commands []CommandStats `cbor:"commands" json:"commands"`
}

// loopMonitor records which commands the event loop runs, and for how long. Other goroutines may
// read it while a command runs.
type loopMonitor struct {
	mu        sync.Mutex
	running   bool
	kind      commandKind
	startedAt time.Time
	activity  shard.Activity
	stats     map[commandKind]CommandStats
}

func newLoopMonitor() *loopMonitor { return &loopMonitor{stats: map[commandKind]CommandStats{}} }

// begin records that a command starts.
func (m *loopMonitor) begin(kind commandKind, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running, m.kind, m.startedAt = true, kind, now
	m.activity = shard.Activity{}
}

// setActivity records what the running command works on.
func (m *loopMonitor) setActivity(activity shard.Activity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activity = activity
}

// end records that the running command has ended, and logs it if it was slow.
func (m *loopMonitor) end(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running = false
	duration := now.Sub(m.startedAt)
	stats := m.stats[m.kind]
	stats.Count++
	stats.TotalSeconds += duration.Seconds()
	stats.MaxSeconds = max(stats.MaxSeconds, duration.Seconds())
	m.stats[m.kind] = stats
	if duration >= slowCommandThreshold {
		slog.Warn("controller: slow command", m.attributes(duration)...)
	}
}

// attributes returns the log attributes of the running command.
func (m *loopMonitor) attributes(duration time.Duration) []any {
	return []any{
		"command", m.kind.String(), "duration_s", duration.Seconds(),
		"operation", m.activity.Operation, "job", m.activity.Job, "machine", m.activity.Machine,
	}
}

// blockedSince returns the log attributes of the command that runs, and when it started. It returns
// false if none runs.
func (m *loopMonitor) blockedSince(now time.Time) (startedAt time.Time, attributes []any, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return time.Time{}, nil, false
	}
	return m.startedAt, m.attributes(now.Sub(m.startedAt)), true
}

// state returns the state of the event loop, given the number of commands in its queue.
func (m *loopMonitor) state(queued int, now time.Time) *EventLoopState {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := &EventLoopState{QueuedCommands: queued, Commands: []CommandStats{}}
	if m.running {
		state.Running = m.kind.String()
		state.RunningSeconds = now.Sub(m.startedAt).Seconds()
		state.Operation = string(m.activity.Operation)
		state.Job = m.activity.Job
		state.Machine = m.activity.Machine
	}
	for kind, stats := range maps.All(m.stats) {
		stats.Command = kind.String()
		state.Commands = append(state.Commands, stats)
	}
	slices.SortFunc(state.Commands, func(a, b CommandStats) int {
		return cmp.Or(cmp.Compare(b.TotalSeconds, a.TotalSeconds), cmp.Compare(a.Command, b.Command))
	})
	return state
}

// watch logs commands that run for longer than slowCommandThreshold while they still run. It logs
// each of them again whenever the duration has doubled. It never returns.
func (l *eventLoop) watch() {
	watchdog := loopWatchdog{loop: l}
	for now := range time.Tick(watchdogInterval) {
		watchdog.check(now)
	}
}

// loopWatchdog remembers which command it has logged last.
type loopWatchdog struct {
	loop        *eventLoop
	loggedStart time.Time     // start of the command that was logged last
	logAfter    time.Duration // duration from which that command is logged again
}

// check logs the running command if that is due, and reports whether it did.
func (w *loopWatchdog) check(now time.Time) bool {
	startedAt, attributes, ok := w.loop.monitor.blockedSince(now)
	if !ok {
		return false
	}
	if startedAt != w.loggedStart {
		w.loggedStart, w.logAfter = startedAt, slowCommandThreshold
	}
	duration := now.Sub(startedAt)
	if duration < w.logAfter {
		return false
	}
	w.logAfter = 2 * duration
	attributes = append(attributes, "queued", len(w.loop.commands), "stack", strings.Join(eventLoopStack(), " < "))
	slog.Warn("controller: event loop blocked", attributes...)
	return true
}

// eventLoopStack returns the names of the functions that the event loop is in, the innermost first.
func eventLoopStack() []string {
	buffer := make([]byte, maxStackBytes)
	stacks := string(buffer[:runtime.Stack(buffer, true)])
	for stack := range strings.SplitSeq(stacks, "\n\n") {
		if strings.Contains(stack, "(*eventLoop).run(") {
			return functionsOf(stack)
		}
	}
	return nil
}

// functionsOf returns the functions in the text of one goroutine's stack, at most maxLoggedFrames.
func functionsOf(stack string) []string {
	var functions []string
	for line := range strings.SplitSeq(stack, "\n") {
		arguments := strings.LastIndexByte(line, '(')
		isFunction := arguments > 0 && !strings.HasPrefix(line, "\t") && !strings.HasPrefix(line, "goroutine ")
		if isFunction && len(functions) < maxLoggedFrames {
			functions = append(functions, shortFunctionName(line[:arguments]))
		}
	}
	return functions
}
