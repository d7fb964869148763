package node

import (
	"maps"

	"time"

	"curlewspool/internal/federation"
	"curlewspool/internal/intake"
	"curlewspool/internal/lead"
	"curlewspool/internal/part"
)

// This file speaks to users and operators.

// Submit takes a submission that waited so long for the loop.
func (n *Node) Submit(body []byte, queued time.Duration, reply intake.Reply) {
	n.intake.Submit(body, queued, reply)
}

// Poll answers GET /v2/runs/{id}.
func (n *Node) Poll(id string, reply intake.Reply) { n.intake.Poll(id, reply) }

// Abort answers POST /v2/runs/{id}/abort.
func (n *Node) Abort(id string, reply intake.Reply) { n.intake.Abort(id, reply) }

// Reserved tells whether no user may use an id: with partners, some belong to
// what is borrowed from them.
func (n *Node) Reserved(id string) bool { return n.desk != nil && federation.Reserved(id) }

// Up tells the load balancer whether to send users here. A node that the
// state service alone refuses sends them elsewhere. In an outage for all it must
// not: the balancer would take every controller out, for longer each time, and
// users would find none when the service is back. (Seen on days of the fleet's
// size: 430 requests found no healthy controller, most of them after an outage.)
// So it takes a peer that was answered after this one was refused.
//
// One that hears neither the state service nor any other controller is not up
// either: it can give nobody an answer, and as it has ever fewer users the
// balancer would send it nearly all new ones. If all are in its place, in an
// outage with their ways to each other cut, all are out for at most the
// balancer's longest pause once the service is back (docs/recovery.md).
//
// One that has just started and cannot act yet is up only while it knows of no
// peer that can: when all start at once, the balancer then has them back when
// the first can act, not two probes later.
func (n *Node) Up() bool {
	since := time.Duration(0) // a peer that was answered later than that can serve instead
	if n.l.Loaded() && len(n.types) > 0 {
		if !n.l.Down() {
			return true
		}
		if n.isolated() {
			return false
		}
		_, bad := n.l.Good()
		since = bad + n.heartbeat()/4 // more than clocks and messages are off
	}
	for _, p := range n.peers {
		if p.good > since {
			return false
		}
	}
	return true
}

// State is what an operator is told of a controller.
type State struct {
	Host   string `cbor:"host" json:"host"`
	Leader string `cbor:"leader" json:"leader"`
	Ready  bool   `cbor:"ready" json:"ready"`
	// Isolated: neither the state service nor another controller is heard.
	Isolated bool              `cbor:"isolated" json:"isolated"`
	Parts    []PartState       `cbor:"parts" json:"parts"`
	Waiting  map[string]string `cbor:"waiting" json:"waiting"` // queued jobs of its parts, and why they wait
	Jobs     int               `cbor:"jobs" json:"live_jobs"`
	Machines int               `cbor:"machines" json:"machines"`
	Intake   string            `cbor:"intake" json:"intake"`
	Submits  intake.Times      `cbor:"submits" json:"submits"`
	Busiest  Load              `cbor:"busiest" json:"busiest_10_s"`
	// Spent is what machines cost since the controller began, by cause, in the
	// catalog's unit of money.
	Spent part.Spent `cbor:"spent" json:"spent"`
	// Dependencies counts the jobs that wait for others now, and those that this process
	// has released and has withdrawn with one that they needed.
	Dependencies DependencyCounts `cbor:"dependencies" json:"dependencies"`
	// Federation is nil without partners.
	Federation *federation.View `cbor:"federation,omitempty" json:"federation,omitempty"`
}

// DependencyCounts tells of jobs that need others.
type DependencyCounts struct {
	Waiting  int `cbor:"waiting" json:"waiting"`
	Released int `cbor:"released" json:"released"`
	Cascaded int `cbor:"cascaded" json:"cascaded"`
}

// PartState is one part that the controller owns.
type PartState struct {
	Part     int    `cbor:"part" json:"part"`
	Token    uint64 `cbor:"token" json:"token"`
	Machines int    `cbor:"machines" json:"machines"`
	Jobs     int    `cbor:"jobs" json:"jobs"`
	// Deaf machines report and hear nothing; Silent have not answered this owner.
	Deaf   []string `cbor:"deaf" json:"deaf"`
	Silent int      `cbor:"silent" json:"silent"`
}

// Describe tells an operator what this controller owns and why jobs wait.
func (n *Node) Describe() *State {
	s := &State{Host: n.s.Name, Leader: n.book.Owner(lead.Leader), Ready: n.ready(), Isolated: n.isolated(), Parts: []PartState{}, Waiting: map[string]string{},
		Jobs: len(n.jobs), Machines: len(n.machines), Intake: n.intake.String(), Submits: *n.intake.Times(), Busiest: n.load.load(), Spent: maps.Clone(n.spent),
		Dependencies: DependencyCounts{n.waits.graph.Waiting(), n.waits.released, n.waits.cascaded}}
	n.eachPart(func(p *part.Part) {
		s.Parts = append(s.Parts, PartState{p.K, p.Token, len(p.Machines), len(p.Works), p.DeafOnes(), p.Silent()})
		for id, why := range p.Waiting() {
			s.Waiting[id] = why
		}
	})
	if n.desk != nil {
		s.Federation = n.desk.Describe()
	}
	return s
}
