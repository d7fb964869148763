package simulator

import (
	"encoding/json"
	"io"
	"time"

	"curlewspool/internal/protocol"
)

// Observation is one thing that a machine saw of a task: it came to be there, or it
// went. What the controllers believe is not in it.
type Observation struct {
	At      float64 `json:"at"` // seconds since the start
	Cluster string  `json:"cluster,omitempty"`
	Machine string  `json:"machine"`
	Task    string  `json:"task"` // as its user named it
	As      string  `json:"as,omitempty"`
	Try     uint64  `json:"try"`
	What    string  `json:"what"` // "start", or why it went: "done", "halted", ..., "kept" (its result was there before), "killed", "machine gone"
}

// observationWriter writes sights as lines of JSON.
type observationWriter struct{ encoder *json.Encoder }

// WriteObservations writes what all machines of the network see to w.
func (n *Network) WriteObservations(w io.Writer) {
	n.observations = &observationWriter{json.NewEncoder(w)}
}

func (m *Machine) observe(t *attempt, what string) {
	if m.cluster.observations == nil {
		return
	}
	_, whose := m.cluster.origin(t.TaskID)
	s := Observation{At: m.cluster.now.Round(time.Millisecond).Seconds(), Cluster: m.cluster.Name, Machine: m.id, Task: whose.String(), Try: t.number, What: what}
	if whose != t.TaskID {
		s.As = t.String()
	}
	_ = m.cluster.observations.encoder.Encode(&s)
}

// observeLoss notes that what is on the machine went with it, or was killed.
func (m *Machine) observeLoss(why string) {
	for _, t := range m.attempts {
		if t.present && t.state != protocol.TaskEnded {
			m.observe(t, why)
		}
	}
}
