package simulator

import (
	"fmt"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"curlewspool/internal/protocol"
)

// Limits of a transaction other than the number of its mutations.
const (
	maxTransactionBytes      = 64 << 10
	maxConditionsPerMutation = 4 // limit on conditions, as a multiple of the limit on mutations
)

// applyTransaction applies all mutations of a transaction if all its conditions hold.
func (s *Store) applyTransaction(body []byte, reply replyFunc) {
	var transaction protocol.Transaction
	if protocol.Decode(body, &transaction) != nil {
		reply(http.StatusBadRequest, &protocol.ErrorResponse{Error: "malformed"})
		return
	}
	if exceeded := s.exceededLimit(&transaction, len(body)); exceeded != "" {
		s.OversizedRequests = append(s.OversizedRequests, exceeded)
		reply(http.StatusBadRequest, &protocol.ErrorResponse{Error: "too large"})
		return
	}
	if !s.writeLimit.take(s.cluster.now, len(transaction.Mutations)) {
		reply(http.StatusTooManyRequests, nil)
		return
	}
	if !s.leasesExist(transaction.Mutations) {
		reply(http.StatusBadRequest, &protocol.ErrorResponse{Error: "no such lease"})
		return
	}
	if failed := s.failedKeys(transaction.Conditions); failed != nil {
		reply(http.StatusConflict, &protocol.TransactionResult{FailedKeys: failed, StoreRevision: s.revision})
		return
	}
	s.mutate(transaction.Mutations)
	reply(http.StatusOK, &protocol.TransactionResult{StoreRevision: s.revision})
	if len(transaction.Mutations) > 0 {
		s.notifyWatches()
	}
}

// leasesExist reports whether all leases that the mutations name exist.
func (s *Store) leasesExist(mutations []protocol.Mutation) bool {
	for _, mutation := range mutations {
		if mutation.Lease != 0 && s.leases[mutation.Lease] == nil {
			return false
		}
	}
	return true
}

// failedKeys returns the keys whose conditions do not hold, or nil if all hold.
func (s *Store) failedKeys(conditions []protocol.Condition) (failed []string) {
	for _, condition := range conditions {
		if s.entries[condition.Key].Revision != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// mutate applies mutations, all with the same new revision.
func (s *Store) mutate(mutations []protocol.Mutation) {
	if len(mutations) > 0 {
		s.revision++
		s.Writes += len(mutations)
	}
	for _, mutation := range mutations {
		if mutation.Put != "" {
			s.putEntry(mutation)
		} else if _, ok := s.entries[mutation.Delete]; ok {
			s.deleteEntry(mutation.Delete)
		}
	}
	s.compactChangeLog()
}

func (s *Store) putEntry(mutation protocol.Mutation) {
	value := append(cbor.RawMessage(nil), mutation.Value...)
	s.entries[mutation.Put] = protocol.Entry{Key: mutation.Put, Value: value, Revision: s.revision, Lease: mutation.Lease}
	s.changeLog = append(s.changeLog, protocol.Change{Put: mutation.Put, Value: value, Revision: s.revision})
}

func (s *Store) deleteEntry(key string) {
	delete(s.entries, key)
	s.changeLog = append(s.changeLog, protocol.Change{Delete: key, Revision: s.revision})
}

// exceededLimit describes which part of a transaction exceeds the limits, or returns "".
func (s *Store) exceededLimit(transaction *protocol.Transaction, size int) string {
	mutations, conditions := len(transaction.Mutations), len(transaction.Conditions)
	if mutations > s.maxTransactionSize || conditions > maxConditionsPerMutation*s.maxTransactionSize || size > maxTransactionBytes {
		return fmt.Sprintf("%d changes, %d conditions, %d bytes", mutations, conditions, size)
	}
	for _, mutation := range transaction.Mutations {
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

// jsonSize returns the approximate size of a value as JSON. The limit on values applies to it.
func jsonSize(value any) (size int) {
	switch v := value.(type) {
	case map[any]any:
		for key, element := range v {
			size += jsonSize(key) + jsonSize(element) + 2
		}
		return size + 2
	case []any:
		for _, element := range v {
			size += jsonSize(element) + 1
		}
		return size + 2
	case string:
		return len(v) + 2
	default:
		return len(fmt.Sprint(v))
	}
}
