package federation

import (
	"curlewspool/internal/part"
)

// Event is one step of a hand-over, for people and for traces: the same loan
// has events at home and at the host.
type Event struct {
	Loan    string  `cbor:"l" json:"loan"`
	Cluster string  `cbor:"c" json:"cluster"`
	Host    string  `cbor:"h" json:"host"`
	What    string  `cbor:"w" json:"what"`
	Why     string  `cbor:"y,omitempty" json:"why,omitempty"`
	At      float64 `cbor:"at" json:"at"` // time of day, seconds
}

// Log keeps the latest events.
type Log struct {
	ring []Event
	at   int
}

// kept events: a few hundred loans' worth.
const kept = 2048

func (d *Desk) note(id, what, why string) {
	e := Event{id, d.f.Cluster, d.h.Settings().Name, what, why, d.h.Wall()}
	if len(d.log.ring) < kept {
		d.log.ring = append(d.log.ring, e)
		return
	}
	d.log.ring[d.log.at] = e
	d.log.at = (d.log.at + 1) % kept
}

// View is what an operator is told of federation.
type View struct {
	Cluster  string   `cbor:"cluster" json:"cluster"`
	Away     []Abroad `cbor:"away" json:"away"`
	Borrowed []string `cbor:"borrowed" json:"borrowed"`
	Count    Counters `cbor:"count" json:"count"`
	Events   []Event  `cbor:"events" json:"events"`
}

// Abroad is one chunk of ours at a partner.
type Abroad struct {
	Job   string `cbor:"job" json:"job"`
	First int    `cbor:"first" json:"first"`
	Tasks int    `cbor:"tasks" json:"tasks"`
	To    string `cbor:"to" json:"to"`
	No    uint64 `cbor:"loan" json:"loan"`
	Why   string `cbor:"why" json:"why"`
	State string `cbor:"state" json:"state"` // known to the leader
}

// Describe tells it.
func (d *Desk) Describe() *View {
	v := &View{Cluster: d.f.Cluster, Away: []Abroad{}, Borrowed: []string{}, Count: d.Count, Events: []Event{}}
	for id := range d.away {
		if rec := d.h.Job(id); rec != nil {
			v.Away = append(v.Away, d.abroad(rec)...)
		}
	}
	for id := range d.borrowed {
		v.Borrowed = append(v.Borrowed, id)
	}
	v.Events = append(v.Events, d.log.ring[d.log.at:]...)
	v.Events = append(v.Events, d.log.ring[:d.log.at]...)
	return v
}

func (d *Desk) abroad(rec *part.JobRecord) (out []Abroad) {
	for _, a := range rec.Away {
		from, to := rec.Span(a.Chunk)
		x := Abroad{Job: rec.Job.ID, First: from, Tasks: to - from, To: a.To, No: a.No, Why: a.Why}
		if o := d.out[loanKey(rec.Job.ID, &a)]; o != nil {
			x.State = o.state
		}
		out = append(out, x)
	}
	return out
}

// Running counts the tasks of a job that run at partners, as far as the leader
// knows.
func (d *Desk) Running(id string) (n int) {
	for k, o := range d.out {
		if k.Job == id {
			n += o.running
		}
	}
	return n
}
