package federation

// Step is a change of a remote lease that is recorded as an Event. Its values are shown to operators.
type Step string

// Steps of a remote lease, in the home cluster and in the host cluster.
const (
	StepOffloaded Step = "lent"
	StepAccepted  Step = "accepted"
	StepRefused   Step = "refused"
	StepRunning   Step = "running"
	StepReturned  Step = "back"
	StepHosted    Step = "borrowed"
	StepValid     Step = "permitted" // a renewal made the lease valid at the host
	StepRecalled  Step = "recalled"
	StepEnded     Step = "ended by home"
)

// Event records one step of a remote lease, for operators and for traces. Home and host each record
// their own steps of a remote lease, under the same lease ID.
type Event struct {
	Lease      string  `cbor:"l" json:"loan"`
	Cluster    string  `cbor:"c" json:"cluster"`
	Controller string  `cbor:"h" json:"host"`
	Step       Step    `cbor:"w" json:"what"`
	Reason     string  `cbor:"y,omitempty" json:"why,omitempty"`
	At         float64 `cbor:"at" json:"at"` // Unix time in seconds
}

// maxEvents is the maximum number of events that are kept, enough for a few hundred remote leases.
const maxEvents = 2048

// eventLog is a ring buffer of the latest events.
type eventLog struct {
	ring   []Event
	oldest int // index of the oldest event, once the ring is full
}

func (l *eventLog) add(event Event) {
	if len(l.ring) < maxEvents {
		l.ring = append(l.ring, event)
		return
	}
	l.ring[l.oldest] = event
	l.oldest = (l.oldest + 1) % maxEvents
}

// list returns the events, oldest first.
func (l *eventLog) list() []Event {
	events := make([]Event, 0, len(l.ring))
	events = append(events, l.ring[l.oldest:]...)
	return append(events, l.ring[:l.oldest]...)
}

// recordEvent adds an event for a step of a remote lease that happens now. The reason may be empty.
func (b *Broker) recordEvent(leaseID string, step Step, reason string) {
	b.events.add(Event{
		Lease:      leaseID,
		Cluster:    b.settings.Cluster,
		Controller: b.controller.Settings().Name,
		Step:       step,
		Reason:     reason,
		At:         b.controller.WallSeconds(),
	})
}
