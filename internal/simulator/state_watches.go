package simulator

import (
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

// maxChangeLog is how many changes the service remembers for watches.
const maxChangeLog = 10000

func (s *StateService) watchChanges(prefix string, since uint64, hold time.Duration, reply func(int, any)) {
	answered := false
	try := func(final bool) bool {
		if answered || s.Unavailable {
			return answered
		}
		if since < s.compactedRevision {
			answered = true
			reply(410, nil)
			return true
		}
		c := protocol.ChangeLog{StoreRevision: s.revision, Changes: []protocol.Change{}}
		for _, change := range s.changeLog {
			if change.Revision > since && strings.HasPrefix(change.Put+change.Delete, prefix) {
				c.Changes = append(c.Changes, change)
			}
		}
		if len(c.Changes) == 0 && !final {
			return false
		}
		answered = true
		reply(200, &c)
		return true
	}
	if try(hold == 0) {
		return
	}
	s.pendingWatches = append(s.pendingWatches, try)
	s.cluster.after(hold, func() { try(true) })
}

func (s *StateService) notifyWatches() {
	open := s.pendingWatches
	s.pendingWatches = nil
	for _, f := range open {
		if !f(false) {
			s.pendingWatches = append(s.pendingWatches, f)
		}
	}
}
