package simulator

import (
	"time"

	"curlewspool/internal/protocol"
)

type lease struct {
	duration time.Duration
	renewals int
}

func (s *StateService) renewLease(id uint64) {
	g := s.leases[id]
	g.renewals++
	n := g.renewals
	s.cluster.after(g.duration, func() { s.expireLease(id, g, n) })
}

func (s *StateService) expireLease(id uint64, g *lease, n int) {
	if g.renewals != n || s.leases[id] != g {
		return
	}
	if s.Unavailable { // after an outage every grant has its full time again
		s.renewLease(id)
		return
	}
	delete(s.leases, id)
	s.revision++
	for _, key := range s.keys("") {
		if s.entries[key].Lease == id {
			delete(s.entries, key)
			s.changeLog = append(s.changeLog, protocol.Change{Delete: key, Revision: s.revision})
		}
	}
	s.notifyWatches()
}
