package simulator

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

// maxChangeLog is the number of changes that the store keeps for watches after a compaction.
// The log is compacted when it exceeds this number by more than a tenth.
const maxChangeLog = 10000

// compactChangeLog drops the oldest changes if there are too many; see maxChangeLog.
func (s *Store) compactChangeLog() {
	excess := len(s.changeLog) - maxChangeLog
	if excess <= maxChangeLog/10 {
		return
	}
	s.compactedRevision = s.changeLog[excess-1].Revision
	s.changeLog = append([]protocol.Change(nil), s.changeLog[excess:]...)
}

// watch is a long-poll request for changes.
type watch struct {
	prefix   string
	since    uint64 // revision after which changes are requested
	reply    replyFunc
	answered bool
}

// serveWatch answers with the changes under a prefix since a revision, as soon as there are
// any. It answers without changes when the hold time of the request has passed.
func (s *Store) serveWatch(query url.Values, reply replyFunc) {
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64) // 0 if it is missing
	holdMillis, _ := strconv.Atoi(query.Get("holdMs"))        // 0 if it is missing
	w := &watch{prefix: query.Get("under"), since: since, reply: reply}
	s.answerIfReady(w, holdMillis == 0)
	if w.answered {
		return
	}
	s.pendingWatches = append(s.pendingWatches, w)
	hold := time.Duration(holdMillis) * time.Millisecond
	s.cluster.after(hold, func() { s.answerIfReady(w, true) })
}

// answerIfReady answers a watch if there are changes, if changes that it requests were compacted
// (410), or if final is set because its hold time has passed. It does nothing during an outage.
func (s *Store) answerIfReady(w *watch, final bool) {
	if w.answered || s.Unavailable {
		return
	}
	if w.since < s.compactedRevision {
		w.answered = true
		w.reply(http.StatusGone, nil)
		return
	}
	changes := s.changesSince(w.prefix, w.since)
	if len(changes) == 0 && !final {
		return
	}
	w.answered = true
	w.reply(http.StatusOK, &protocol.ChangeLog{StoreRevision: s.revision, Changes: changes})
}

func (s *Store) changesSince(prefix string, revision uint64) []protocol.Change {
	changes := []protocol.Change{}
	for _, change := range s.changeLog {
		if change.Revision > revision && strings.HasPrefix(change.Put+change.Delete, prefix) {
			changes = append(changes, change)
		}
	}
	return changes
}

// notifyWatches answers the pending watches for which there are changes.
func (s *Store) notifyWatches() {
	pending := s.pendingWatches
	s.pendingWatches = nil
	for _, w := range pending {
		s.answerIfReady(w, false)
		if !w.answered {
			s.pendingWatches = append(s.pendingWatches, w)
		}
	}
}
