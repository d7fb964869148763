// Package loan holds the rules under which a job of one cluster (home) runs in
// another (host), as pure state: clocks are handed in, nothing is sent.
//
// The rule it guards is "never in both": home runs a task again only by the
// host's durable word that nothing is left of the loan, or when the loan has
// provably run out. A loan runs for one term from the moment at which the host
// *sent* the question that home answered with "hold"; the host's machines may
// go on for one lease after that. docs/federation.md has the proof.
package remotelease

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// JobIDPrefix starts the ids of borrowed jobs. Users of a federated cluster may not
// use it, so the ids of both clusters' users cannot collide.
const JobIDPrefix = "wk-at."

// maxJobIDLength is the most that an id may have (wire.ValidJobID).
const maxJobIDLength = 103

var clusterName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,19}$`)

// IsValidClusterName tells whether s may be a cluster's name.
func IsValidClusterName(s string) bool { return clusterName.MatchString(s) }

// Key names a loan at home: one chunk of a job under a number that only grows
// with each loan of the job.
type Key struct {
	Job       string
	FirstTask int // its first task
	Number    uint64
}

// JobID is the name of the borrowed job at the host; "" if it would be too long.
func (k Key) JobID(home string) string {
	id := fmt.Sprintf("%s%s.%d.%d.%s", JobIDPrefix, home, k.Number, k.FirstTask, strings.TrimPrefix(k.Job, "wk-"))
	if len(id) > maxJobIDLength {
		return ""
	}
	return id
}

// ParseJobID reads such a name.
func ParseJobID(id string) (home string, k Key, ok bool) {
	f := strings.SplitN(strings.TrimPrefix(id, JobIDPrefix), ".", 4)
	if !strings.HasPrefix(id, JobIDPrefix) || len(f) != 4 || !IsValidClusterName(f[0]) {
		return "", k, false
	}
	no, err := strconv.ParseUint(f[1], 10, 64)
	first, err2 := strconv.Atoi(f[2])
	if err != nil || err2 != nil || first < 0 {
		return "", k, false
	}
	return f[0], Key{"wk-" + f[3], first, no}, true
}

// Rules are the figures that both clusters agree on.
type Rules struct {
	Term         time.Duration // of a renewal, by the host's clock from when it asked
	MachineLease time.Duration // of the host's machines
	ClockDrift   float64       // how far each clock may be off
}

// ExpiresAfter is how long after the last answer "hold", by home's clock, nothing of
// the loan can be left at the host: the term, then the lease, each by a clock
// that may be as slow as ours is fast.
func (r Rules) ExpiresAfter() time.Duration {
	return time.Duration(float64(r.Term+r.MachineLease)*(1+4*r.ClockDrift)) + r.MachineLease/100
}

// MaxTerm is the longest term under which every task is gone within cancel
// of an abort, though the host cannot be told of it. 0: there is none.
func MaxTerm(cancel, lease time.Duration, drift float64) time.Duration {
	return max(0, time.Duration(float64(cancel-lease-lease/100)/(1+4*drift))*9/10-lease/100)
}

// Renewals is what a leader at home knows of the answers that hosts were given.
// Each leadership starts with a new one.
type Renewals struct {
	earlierLeaderBound time.Duration
	lastRenewed        map[Key]time.Duration
	issuedHere         map[Key]bool
}

// NewRenewals starts a leadership: an earlier leader may have answered up to
// bound. It answered on proof that it led, so the moment at which this leader
// knows that it leads is one.
func NewRenewals(bound time.Duration) *Renewals {
	return &Renewals{earlierLeaderBound: bound, lastRenewed: map[Key]time.Duration{}, issuedHere: map[Key]bool{}}
}

// RecordIssued notes a loan that this leadership ordered: no earlier leader can have
// answered for it.
func (r *Renewals) RecordIssued(k Key) { r.issuedHere[k] = true }

// RecordRenewed notes an answer "hold", given now.
func (r *Renewals) RecordRenewed(k Key, now time.Duration) {
	r.lastRenewed[k] = max(r.lastRenewed[k], now)
}

// LastRenewal is the latest moment at which the loan may have been renewed; false if
// it never was.
func (r *Renewals) LastRenewal(k Key) (time.Duration, bool) {
	t, held := r.lastRenewed[k]
	if !r.issuedHere[k] {
		return max(t, r.earlierLeaderBound), true
	}
	return t, held
}

// IsExpired tells whether nothing of the loan can be left at the host. After this
// is acted on, the loan must never be held again: it is gone from the record
// that answers are given by.
func (r *Renewals) IsExpired(k Key, rules Rules, now time.Duration) bool {
	t, held := r.LastRenewal(k)
	return !held || now > t+rules.ExpiresAfter()
}

// Retain forgets the loans that are no more.
func (r *Renewals) Retain(live func(Key) bool) {
	for k := range r.lastRenewed {
		if !live(k) {
			delete(r.lastRenewed, k)
		}
	}
	for k := range r.issuedHere {
		if !live(k) {
			delete(r.issuedHere, k)
		}
	}
}

// Permit is what a controller at the host knows of one loan: until when it may
// let a machine go on. A process starts without one: its clock says nothing of
// what an earlier process was told.
type Permit struct{ until time.Duration }

// Renew notes the answer "hold" to a question sent at the given time.
func (p *Permit) Renew(sent, term time.Duration) { p.until = max(p.until, sent+term) }

// Revoke takes it back.
func (p *Permit) Revoke() { p.until = 0 }

// IsValid tells whether a machine may be told to go on, or to start.
func (p *Permit) IsValid(now time.Duration) bool { return now < p.until }

// Remaining is how long it lasts.
func (p *Permit) Remaining(now time.Duration) time.Duration { return max(0, p.until-now) }
