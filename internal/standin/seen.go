package standin

import (
	"encoding/json"
	"io"
	"time"

	"curlewspool/internal/wire"
)

// Sight is one thing that a machine saw of a task: it came to be there, or it
// went. What the controllers believe is not in it.
type Sight struct {
	At      float64 `json:"at"` // seconds since the start
	Cluster string  `json:"cluster,omitempty"`
	Machine string  `json:"machine"`
	Task    string  `json:"task"` // as its user named it
	As      string  `json:"as,omitempty"`
	Try     uint64  `json:"try"`
	What    string  `json:"what"` // "start", or why it went: "done", "halted", ..., "kept" (its result was there before), "killed", "machine gone"
}

// Seen writes sights as lines of JSON.
type Seen struct{ e *json.Encoder }

// Watch writes what all machines of the network see to w.
func (n *Net) Watch(w io.Writer) { n.seen = &Seen{json.NewEncoder(w)} }

func (w *Worker) sight(t *task, what string) {
	if w.s.seen == nil {
		return
	}
	_, whose := w.s.origin(t.Task)
	s := Sight{At: w.s.now.Round(time.Millisecond).Seconds(), Cluster: w.s.Name, Machine: w.id, Task: whose.String(), Try: t.try, What: what}
	if whose != t.Task {
		s.As = t.String()
	}
	_ = w.s.seen.e.Encode(&s)
}

// leave notes that what is on the machine went with it, or was killed.
func (w *Worker) leave(why string) {
	for _, t := range w.tasks {
		if t.on && t.state != wire.Ended {
			w.sight(t, why)
		}
	}
}
