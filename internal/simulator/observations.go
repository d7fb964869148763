package simulator

import (
	"encoding/json"
	"io"
	"time"

	"curlewspool/internal/protocol"
)

// Values of Observation.Event other than termination causes; see also machine.go.
const (
	observedStart        = "start"
	observedResultReused = "kept" // the attempt ended because the result of an earlier one exists
)

// Observation records that an attempt of a task started or ended on a machine. It is
// independent of what the controllers know. Package historycheck reads observations.
type Observation struct {
	At         float64 `json:"at"` // seconds since the start of the run
	Cluster    string  `json:"cluster,omitempty"`
	Machine    string  `json:"machine"`
	Task       string  `json:"task"`         // id in the home cluster
	HostedTask string  `json:"as,omitempty"` // id in the host cluster; "" if the home cluster runs the task
	Attempt    uint64  `json:"try"`          // number of the attempt
	Event      string  `json:"what"`         // "start", the termination cause, "kept", "killed" or "machine gone"
}

// observationWriter writes observations as lines of JSON.
type observationWriter struct{ encoder *json.Encoder }

// WriteObservations makes all machines of the network write their observations to w, as one
// JSON object per line.
func (n *Network) WriteObservations(w io.Writer) {
	n.observations = &observationWriter{json.NewEncoder(w)}
}

// observe writes an observation of an attempt, if observations are written.
func (m *Machine) observe(attempt *taskAttempt, event string) {
	if m.cluster.observations == nil {
		return
	}
	_, task := m.cluster.homeTask(attempt.TaskID)
	observation := Observation{
		At:      m.cluster.now.Round(time.Millisecond).Seconds(),
		Cluster: m.cluster.Name,
		Machine: m.id,
		Task:    task.String(),
		Attempt: attempt.number,
		Event:   event,
	}
	if task != attempt.TaskID {
		observation.HostedTask = attempt.String()
	}
	_ = m.cluster.observations.encoder.Encode(&observation) // historycheck detects a missing line
}

// observeLoss writes an observation, with the given cause, of each running attempt on the machine.
func (m *Machine) observeLoss(cause string) {
	for _, attempt := range m.attempts {
		if attempt.present && attempt.state != protocol.TaskEnded {
			m.observe(attempt, cause)
		}
	}
}
