package kvstore

import (
	"errors"
	"time"
)

// unavailableAfter is how long requests must have failed before users are turned away.
const unavailableAfter = requestTimeout / 8

// Health tells how the service's answers have been, by this process's steady clock.
type Health struct {
	LastAnsweredAt time.Duration // when the newest answer came; 0: none yet
	FailingSince   time.Duration // since when there is none; 0: the last request was answered
}

// Health tells how the service's answers have been.
func (s *Store) Health() Health { return s.health }

// IsUnavailable reports whether requests have gone unanswered or refused for a while,
// so that a user is better told at once to come back later.
func (s *Store) IsUnavailable() bool {
	if !s.isLoaded {
		return true
	}
	failingSince := s.health.FailingSince
	return failingSince != 0 && s.env.Now()-failingSince > unavailableAfter
}

// recordOutcome keeps the health current. An answer that declines a request is an answer
// all the same; only silence and a service without quorum count as failing.
func (s *Store) recordOutcome(err error) {
	if !errors.Is(err, ErrUnknownOutcome) && !errors.Is(err, ErrUnavailable) {
		s.health = Health{LastAnsweredAt: s.env.Now()}
		return
	}
	if s.health.FailingSince == 0 {
		s.health.FailingSince = s.env.Now()
	}
}
