package kvstore

import (
	"errors"
	"time"
)

// unavailableAfter is how long requests to the service must have been failing before users'
// requests are refused.
const unavailableAfter = requestTimeout / 8

// Health describes whether the service answers. Times are by this process's monotonic clock.
type Health struct {
	LastAnsweredAt time.Duration // time of the latest answer; 0: none yet
	FailingSince   time.Duration // time of the first failure since the latest answer; 0: no failure since then
}

// Health returns whether the service answers, and since when it has not.
func (s *Store) Health() Health { return s.health }

// IsUnavailable reports whether the cache is not loaded, or requests have been failing for longer
// than unavailableAfter. In these cases a user's request is refused at once, so that the user can
// retry it later instead of waiting for a timeout.
func (s *Store) IsUnavailable() bool {
	if !s.isLoaded {
		return true
	}
	failingSince := s.health.FailingSince
	return failingSince != 0 && s.env.Now()-failingSince > unavailableAfter
}

// recordOutcome updates the health with the outcome of a request. A refusal counts as an answer;
// only a missing answer and a service without quorum count as failures.
func (s *Store) recordOutcome(err error) {
	if !errors.Is(err, ErrUnknownOutcome) && !errors.Is(err, ErrUnavailable) {
		s.health = Health{LastAnsweredAt: s.env.Now()}
		return
	}
	if s.health.FailingSince == 0 {
		s.health.FailingSince = s.env.Now()
	}
}
