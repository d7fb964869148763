package simulator

import (
	"fmt"

	"curlewspool/internal/protocol"

	"github.com/fxamacker/cbor/v2"
)

func (s *StateService) applyTransaction(body []byte, reply func(int, any)) {
	var t protocol.Transaction
	if protocol.Decode(body, &t) != nil {
		reply(400, responseFields{"error": "malformed"})
		return
	}
	if why := s.exceededLimit(&t, len(body)); why != "" {
		s.OversizedRequests = append(s.OversizedRequests, why)
		reply(400, responseFields{"error": "too large"})
		return
	}
	if !s.writeLimit.take(s.cluster.now, len(t.Mutations)) {
		reply(429, nil)
		return
	}
	for _, mutation := range t.Mutations {
		if mutation.Lease != 0 && s.leases[mutation.Lease] == nil {
			reply(400, responseFields{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, condition := range t.Conditions {
		if s.entries[condition.Key].Revision != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		reply(409, &protocol.TransactionResult{FailedKeys: failed, StoreRevision: s.revision})
		return
	}
	if len(t.Mutations) > 0 {
		s.revision++
		s.Writes += len(t.Mutations)
	}
	for _, mutation := range t.Mutations {
		if mutation.Put != "" {
			v := append(cbor.RawMessage(nil), mutation.Value...)
			s.entries[mutation.Put] = protocol.Entry{Key: mutation.Put, Value: v, Revision: s.revision, Lease: mutation.Lease}
			s.changeLog = append(s.changeLog, protocol.Change{Put: mutation.Put, Value: v, Revision: s.revision})
		} else if _, ok := s.entries[mutation.Delete]; ok {
			delete(s.entries, mutation.Delete)
			s.changeLog = append(s.changeLog, protocol.Change{Delete: mutation.Delete, Revision: s.revision})
		}
	}
	if n := len(s.changeLog) - maxChangeLog; n > maxChangeLog/10 {
		s.compactedRevision = s.changeLog[n-1].Revision
		s.changeLog = append([]protocol.Change(nil), s.changeLog[n:]...)
	}
	reply(200, &protocol.TransactionResult{StoreRevision: s.revision})
	if len(t.Mutations) > 0 {
		s.notifyWatches()
	}
}

// exceededLimit says what of a transaction is above the limits; "": nothing.
func (s *StateService) exceededLimit(t *protocol.Transaction, size int) string {
	if len(t.Mutations) > s.maxTransactionSize || len(t.Conditions) > 4*s.maxTransactionSize || size > 64<<10 {
		return fmt.Sprintf("%d changes, %d conditions, %d bytes", len(t.Mutations), len(t.Conditions), size)
	}
	for _, mutation := range t.Mutations {
		var value any
		if mutation.Put == "" || protocol.Decode(mutation.Value, &value) != nil {
			continue
		}
		if n := jsonSize(value); float64(n) > s.maxValueKB*1024 {
			return fmt.Sprintf("%s has %d bytes", mutation.Put, n)
		}
	}
	return ""
}

// jsonSize is about the size of a value in the form that limits are counted in.
func jsonSize(value any) (n int) {
	switch v := value.(type) {
	case map[any]any:
		for k, x := range v {
			n += jsonSize(k) + jsonSize(x) + 2
		}
		return n + 2
	case []any:
		for _, x := range v {
			n += jsonSize(x) + 1
		}
		return n + 2
	case string:
		return len(v) + 2
	default:
		return len(fmt.Sprint(v))
	}
}
