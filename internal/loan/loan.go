// Package loan holds the rules under which a job of one cluster (home) runs in
// another (host), as pure state: clocks are handed in, nothing is sent.
//
// The rule it guards is "never in both": home runs a task again only by the
// host's durable word that nothing is left of the loan, or when the loan has
// provably run out. A loan runs for one term from the moment at which the host
// *sent* the question that home answered with "hold"; the host's machines may
// go on for one lease after that. docs/federation.md has the proof.
package loan

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Prefix starts the ids of borrowed jobs. Users of a federated cluster may not
// use it, so the ids of both clusters' users cannot collide.
const Prefix = "wk-at."

// longest is the most that an id may have (wire.ValidJobID).
const longest = 103

var clusterName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,19}$`)

// ValidCluster tells whether s may be a cluster's name.
func ValidCluster(s string) bool { return clusterName.MatchString(s) }

// Key names a loan at home: one chunk of a job under a number that only grows
// with each loan of the job.
type Key struct {
	Job   string
	First int // its first task
	No    uint64
}

// ID is the name of the borrowed job at the host; "" if it would be too long.
func (k Key) ID(home string) string {
	id := fmt.Sprintf("%s%s.%d.%d.%s", Prefix, home, k.No, k.First, strings.TrimPrefix(k.Job, "wk-"))
	if len(id) > longest {
		return ""
	}
	return id
}

// Parse reads such a name.
func Parse(id string) (home string, k Key, ok bool) {
	f := strings.SplitN(strings.TrimPrefix(id, Prefix), ".", 4)
	if !strings.HasPrefix(id, Prefix) || len(f) != 4 || !ValidCluster(f[0]) {
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
	Term  time.Duration // of a renewal, by the host's clock from when it asked
	Lease time.Duration // of the host's machines
	Drift float64       // how far each clock may be off
}

// Quiet is how long after the last answer "hold", by home's clock, nothing of
// the loan can be left at the host: the term, then the lease, each by a clock
// that may be as slow as ours is fast.
func (r Rules) Quiet() time.Duration {
	return time.Duration(float64(r.Term+r.Lease)*(1+4*r.Drift)) + r.Lease/100
}

// LongestTerm is the longest term under which every task is gone within cancel
// of an abort, though the host cannot be told of it. 0: there is none.
func LongestTerm(cancel, lease time.Duration, drift float64) time.Duration {
	return max(0, time.Duration(float64(cancel-lease-lease/100)/(1+4*drift))*9/10-lease/100)
}

// Renewals is what a leader at home knows of the answers that hosts were given.
// Each leadership starts with a new one.
type Renewals struct {
	bound time.Duration
	last  map[Key]time.Duration
	own   map[Key]bool
}

// NewRenewals starts a leadership: an earlier leader may have answered up to
// bound. It answered on proof that it led, so the moment at which this leader
// knows that it leads is one.
func NewRenewals(bound time.Duration) *Renewals {
	return &Renewals{bound: bound, last: map[Key]time.Duration{}, own: map[Key]bool{}}
}

// Drawn notes a loan that this leadership ordered: no earlier leader can have
// answered for it.
func (r *Renewals) Drawn(k Key) { r.own[k] = true }

// Held notes an answer "hold", given now.
func (r *Renewals) Held(k Key, now time.Duration) { r.last[k] = max(r.last[k], now) }

// Last is the latest moment at which the loan may have been renewed; false if
// it never was.
func (r *Renewals) Last(k Key) (time.Duration, bool) {
	t, held := r.last[k]
	if !r.own[k] {
		return max(t, r.bound), true
	}
	return t, held
}

// Over tells whether nothing of the loan can be left at the host. After this
// is acted on, the loan must never be held again: it is gone from the record
// that answers are given by.
func (r *Renewals) Over(k Key, rules Rules, now time.Duration) bool {
	t, held := r.Last(k)
	return !held || now > t+rules.Quiet()
}

// Keep forgets the loans that are no more.
func (r *Renewals) Keep(live func(Key) bool) {
	for k := range r.last {
		if !live(k) {
			delete(r.last, k)
		}
	}
	for k := range r.own {
		if !live(k) {
			delete(r.own, k)
		}
	}
}

// Permit is what a controller at the host knows of one loan: until when it may
// let a machine go on. A process starts without one: its clock says nothing of
// what an earlier process was told.
type Permit struct{ until time.Duration }

// Renew notes the answer "hold" to a question sent at the given time.
func (p *Permit) Renew(sent, term time.Duration) { p.until = max(p.until, sent+term) }

// End takes it back.
func (p *Permit) End() { p.until = 0 }

// Good tells whether a machine may be told to go on, or to start.
func (p *Permit) Good(now time.Duration) bool { return now < p.until }

// Left is how long it lasts.
func (p *Permit) Left(now time.Duration) time.Duration { return max(0, p.until-now) }
