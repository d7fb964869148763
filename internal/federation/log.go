package federation

import (
	"curlewspool/internal/shard"
)

// Event is one step of a hand-over, for people and for traces: the same loan
// has events at home and at the host.
type Event struct {
	Loan    string  `cbor:"l" json:"loan"`
	Cluster string  `cbor:"c" json:"cluster"`
	Host    string  `cbor:"h" json:"host"`
	Step    string  `cbor:"w" json:"what"`
	Reason  string  `cbor:"y,omitempty" json:"why,omitempty"`
	At      float64 `cbor:"at" json:"at"` // time of day, seconds
}

// eventLog keeps the latest events.
type eventLog struct {
	ring   []Event
	oldest int
}

// maxEvents events: a few hundred loans' worth.
const maxEvents = 2048

func (d *Broker) recordEvent(id, what, why string) {
	e := Event{id, d.settings.Cluster, d.host.Settings().Name, what, why, d.host.WallSeconds()}
	if len(d.events.ring) < maxEvents {
		d.events.ring = append(d.events.ring, e)
		return
	}
	d.events.ring[d.events.oldest] = e
	d.events.oldest = (d.events.oldest + 1) % maxEvents
}

// View is what an operator is told of federation.
type View struct {
	Cluster  string        `cbor:"cluster" json:"cluster"`
	Lent     []RemoteChunk `cbor:"away" json:"away"`
	Borrowed []string      `cbor:"borrowed" json:"borrowed"`
	Counters Counters      `cbor:"count" json:"count"`
	Events   []Event       `cbor:"events" json:"events"`
}

// RemoteChunk is one chunk of ours at a partner.
type RemoteChunk struct {
	Job    string `cbor:"job" json:"job"`
	First  int    `cbor:"first" json:"first"`
	Tasks  int    `cbor:"tasks" json:"tasks"`
	To     string `cbor:"to" json:"to"`
	Number uint64 `cbor:"loan" json:"loan"`
	Why    string `cbor:"why" json:"why"`
	State  string `cbor:"state" json:"state"` // known to the leader
}

// Describe tells it.
func (d *Broker) Describe() *View {
	v := &View{Cluster: d.settings.Cluster, Lent: []RemoteChunk{}, Borrowed: []string{}, Counters: d.Counters, Events: []Event{}}
	for id := range d.lentJobs {
		if rec := d.host.Job(id); rec != nil {
			v.Lent = append(v.Lent, d.remoteChunks(rec)...)
		}
	}
	for id := range d.borrowedJobs {
		v.Borrowed = append(v.Borrowed, id)
	}
	v.Events = append(v.Events, d.events.ring[d.events.oldest:]...)
	v.Events = append(v.Events, d.events.ring[:d.events.oldest]...)
	return v
}

func (d *Broker) remoteChunks(rec *shard.JobRecord) (out []RemoteChunk) {
	for _, a := range rec.LentChunks {
		from, to := rec.TaskRange(a.Chunk)
		x := RemoteChunk{Job: rec.Job.ID, First: from, Tasks: to - from, To: a.Partner, Number: a.LoanNumber, Why: a.Reason}
		if o := d.lentLeases[leaseKey(rec.Job.ID, &a)]; o != nil {
			x.State = o.state
		}
		out = append(out, x)
	}
	return out
}

// RemoteRunning counts the tasks of a job that run at partners, as far as the leader
// knows.
func (d *Broker) RemoteRunning(id string) (n int) {
	for k, o := range d.lentLeases {
		if k.Job == id {
			n += o.running
		}
	}
	return n
}
