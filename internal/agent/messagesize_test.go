package agent

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"curlewspool/internal/protocol"
)

// messageSize returns the size of a message of commands as the protocol counts it, in JSON.
func messageSize(t *testing.T, commands []protocol.Command) int {
	t.Helper()
	type jsonCommand struct {
		Verb         protocol.CommandVerb `json:"verb"`
		Task         string               `json:"piece"`
		Attempt      uint64               `json:"try"`
		GraceSeconds *float64             `json:"leewayS,omitempty"`
	}
	message := struct {
		FencingToken uint64        `json:"baton"`
		Incarnation  uint64        `json:"shift"`
		Commands     []jsonCommand `json:"orders"`
	}{math.MaxUint64, math.MaxUint64, nil}
	for _, command := range commands {
		message.Commands = append(message.Commands, jsonCommand(command))
	}
	encoded, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// TestCommandsFitIntoMessage guards against messages above the protocol's limit, which an agent may
// refuse: the tasks of jobs with the longest IDs would then neither start nor stop.
func TestCommandsFitIntoMessage(t *testing.T) {
	job := "wk-" + strings.Repeat("x", 100)
	for _, test := range []struct {
		name  string
		state protocol.TaskState
	}{{"launches", ""}, {"stops", protocol.TaskRunning}} {
		t.Run(test.name, func(t *testing.T) {
			m := reconciledMachine()
			m.confirmReachable()
			for index := protocol.MaxTasks - 500; index < protocol.MaxTasks; index++ {
				attempt := m.Place(TaskID{job, index}, math.MaxUint64, false, 0)
				attempt.State = test.state
				if test.state != "" {
					m.RequestStop(attempt, 1.0/3)
				}
			}
			if stopsExceed := m.StopsExceedAnswer(0); stopsExceed != (test.state != "") {
				t.Errorf("500 stops exceed an answer: %v", stopsExceed)
			}
			commands := m.NextCommands(InAnswer, true, 0)
			if size := messageSize(t, commands); len(commands) < 300 || size > protocol.MaxBodyBytes {
				t.Errorf("%d commands take %d bytes, more than %d", len(commands), size, protocol.MaxBodyBytes)
			}
		})
	}
}
