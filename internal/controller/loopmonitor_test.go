package controller

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/shard"
)

// newBlockedLoop returns an event loop that runs a command which ends when the test does. The
// command works on job wk-7.
func newBlockedLoop(t *testing.T) *eventLoop {
	t.Helper()
	loop := newEventLoop()
	started, blocked := make(chan struct{}), make(chan struct{})
	loop.submit(requestCommand(http.MethodPost, "/v1/report"), func() {
		loop.monitor.setActivity(shard.Activity{Operation: shard.OperationSchedule, Job: "wk-7"})
		waitUntilClosed(started, blocked)
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loop.run()
	}()
	t.Cleanup(func() {
		close(blocked)
		close(loop.commands)
		<-ended
	})
	<-started
	return loop
}

func waitUntilClosed(started, blocked chan struct{}) {
	close(started)
	<-blocked
}

// captureLog returns the text that the function logs.
func captureLog(t *testing.T, f func()) string {
	t.Helper()
	var out bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
	defer slog.SetDefault(previous)
	f()
	return out.String()
}

// TestBlockedEventLoopIsLogged guards against a controller that stops answering without a line in
// its log that says which work keeps it.
func TestBlockedEventLoopIsLogged(t *testing.T) {
	loop := newBlockedLoop(t)
	watchdog := loopWatchdog{loop: loop}
	startedAt, _, _ := loop.monitor.blockedSince(time.Now())
	isLogged := map[time.Duration]bool{}
	log := captureLog(t, func() {
		for _, elapsed := range []time.Duration{time.Second / 2, time.Second, 3 * time.Second / 2, 2 * time.Second} {
			isLogged[elapsed] = watchdog.check(startedAt.Add(elapsed))
		}
	})
	for elapsed, want := range map[time.Duration]bool{
		time.Second / 2: false, time.Second: true, 3 * time.Second / 2: false, 2 * time.Second: true,
	} {
		if isLogged[elapsed] != want {
			t.Errorf("logged after %v: %v, want %v", elapsed, isLogged[elapsed], want)
		}
	}
	for _, want := range []string{"event loop blocked", "POST /v1/report", string(shard.OperationSchedule), "wk-7", "controller.waitUntilClosed"} {
		if !strings.Contains(log, want) {
			t.Errorf("the log lacks %q:\n%s", want, log)
		}
	}
}

// TestBlockedEventLoopStateIsServed guards against an operator who cannot ask a controller that does
// not answer what it is busy with.
func TestBlockedEventLoopStateIsServed(t *testing.T) {
	loop := newBlockedLoop(t)
	server := &httpServer{loop: loop}
	checkAnswer(t, server.newApp(100), http.MethodGet, "/debug/eventloop", nil, 200, "")
	state := loop.monitor.state(0, time.Now())
	if state.Running != "POST /v1/report" || state.Job != "wk-7" || state.Operation != string(shard.OperationSchedule) {
		t.Errorf("state %+v", state)
	}
}

func TestCommandsAreCountedByKind(t *testing.T) {
	monitor := newLoopMonitor()
	start := time.Now()
	for i, seconds := range []time.Duration{1, 3} {
		monitor.begin(answerCommand(http.MethodGet, "/store/a/j/wk-1?x=1"), start)
		log := captureLog(t, func() { monitor.end(start.Add(seconds * time.Second / 2)) })
		if isSlow := strings.Contains(log, "slow command"); isSlow != (i == 1) {
			t.Errorf("a command of %v half seconds is logged as slow: %v", seconds, isSlow)
		}
	}
	monitor.begin(timerCommand(monitorTimer), start)
	monitor.end(start)
	state := monitor.state(5, start)
	want := []CommandStats{
		{Command: "answer to GET /store", Count: 2, TotalSeconds: 2, MaxSeconds: 1.5},
		{Command: "timer controller.monitorTimer", Count: 1},
	}
	if state.QueuedCommands != 5 || len(state.Commands) != 2 || state.Commands[0] != want[0] || state.Commands[1] != want[1] {
		t.Errorf("state %+v, want %+v", state, want)
	}
}

func monitorTimer() {}
