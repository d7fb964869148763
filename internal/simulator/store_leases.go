package simulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

// minLeaseMillis is the shortest lease duration that the store grants.
const minLeaseMillis = 100

// storeLease is a lease of the key-value store. Entries that are attached to it are deleted when
// it expires.
type storeLease struct {
	duration time.Duration
	renewals int // number of renewals; an expiry that was scheduled before the last renewal is ignored
}

// emptyResponse is the body of an answer without fields.
type emptyResponse struct{}

func (s *Store) grantLease(body []byte, reply replyFunc) {
	var request protocol.LeaseRequest
	if protocol.Decode(body, &request) != nil || request.TTLMillis < minLeaseMillis {
		reply(http.StatusBadRequest, nil)
		return
	}
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &storeLease{duration: time.Duration(request.TTLMillis) * time.Millisecond}
	s.renewLease(s.lastLeaseID)
	reply(http.StatusOK, &protocol.LeaseResponse{Lease: s.lastLeaseID})
}

// serveRenewal answers a request to renew the lease that the path names.
func (s *Store) serveRenewal(path string, reply replyFunc) {
	id, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64) // a malformed id becomes 0, which no lease has
	if s.leases[id] == nil {
		reply(http.StatusNotFound, nil)
		return
	}
	s.renewLease(id)
	reply(http.StatusOK, &emptyResponse{})
}

// renewLease renews a lease: it then expires after its full duration from now.
func (s *Store) renewLease(id uint64) {
	renewed := s.leases[id]
	renewed.renewals++
	renewals := renewed.renewals
	s.cluster.after(renewed.duration, func() {
		if renewed.renewals == renewals && s.leases[id] == renewed {
			s.expireLease(id)
		}
	})
}

// expireLease deletes a lease and the entries attached to it. During an outage it renews the lease
// instead.
func (s *Store) expireLease(id uint64) {
	if s.Unavailable {
		s.renewLease(id)
		return
	}
	delete(s.leases, id)
	s.revision++
	for _, key := range s.keys("") {
		if s.entries[key].Lease == id {
			s.deleteEntry(key)
		}
	}
	s.notifyWatches()
}
