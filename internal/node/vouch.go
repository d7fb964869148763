package node

import (
	"math"
	"time"

	"curlewspool/internal/mesh"
	"curlewspool/internal/settings"
)

// This file lets an owner go on answering workers while the state service is away, on
// the word of all members (off by default; docs/vouch.md). Only controllers confirm
// cancellations and take keys. So if each of them says what it has learned to be
// cancelled since the moment of this owner's news, and that it holds none of its keys,
// then all that was confirmed before the question is known here: it is as good as news
// and a renewal of that moment. Nothing is started on it (MayLaunch asks for the cache's
// own age), and users get no answers from it.

// vouch is a round of questions; one that is not answered by all in time says nothing.
type vouch struct {
	round uint64
	asked time.Duration
	left  map[string]bool // members whose word is missing
}

// vouchWithin is how long a round may take. It is counted into the age that is asked
// for, so that a question that was on its way for that long asks for no less.
func (n *Node) vouchWithin() time.Duration { return n.heartbeat() }

// mostVouched is how many cancellations one word names.
const mostVouched = 1024

// askVouches begins a round when the news of an owner grow old.
func (n *Node) askVouches() {
	now := n.w.Now()
	if !n.s.Grants.Vouch || n.desk != nil || len(n.book.Held()) == 0 || !n.l.Grant.Valid() ||
		n.l.Age() < 2*n.renewEvery() || now-n.vouch.asked < n.renewEvery() {
		return
	}
	n.vouch = vouch{n.vouch.round + 1, now, map[string]bool{}}
	age := float64(now-n.l.News()+n.vouchWithin()) * (1 + 2*settings.Drift)
	v := &mesh.Vouch{Id: n.vouch.round, Keys: n.book.Held(), AgeMs: uint32(math.Ceil(age / float64(time.Millisecond)))}
	for _, name := range sortedKeys(n.peers) {
		n.vouch.left[name] = true
		n.w.Send(name, &mesh.Envelope{Body: &mesh.Envelope_Vouch{Vouch: v}})
	}
	n.vouchedByAll()
}

// vouchFor gives an owner this controller's word, if it can.
func (n *Node) vouchFor(owner string, v *mesh.Vouch) {
	if !n.s.Grants.Vouch || n.desk != nil {
		return
	}
	for _, key := range v.Keys {
		if n.book.Owner(key) != owner { // taken, or gone and free to be
			return
		}
	}
	ids, ok := n.intake.CalledOff(n.w.Now() - time.Duration(v.AgeMs)*time.Millisecond)
	if !ok || len(ids) > mostVouched {
		return
	}
	n.w.Send(owner, &mesh.Envelope{Body: &mesh.Envelope_Vouch{Vouch: &mesh.Vouch{Id: v.Id, Withdrawn: ids}}})
}

// vouched takes a member's word. What it names is final, however late it comes.
func (n *Node) vouched(member string, v *mesh.Vouch) {
	for _, id := range v.Withdrawn {
		n.calledOff(id, n.waits.graph.Cause(id))
	}
	if v.Id == n.vouch.round && n.w.Now()-n.vouch.asked <= n.vouchWithin() {
		delete(n.vouch.left, member)
		n.vouchedByAll()
	}
}

// vouchedByAll: the round counts from when it was asked, if what was vouched for has
// not lapsed meanwhile.
func (n *Node) vouchedByAll() {
	if len(n.vouch.left) == 0 && n.l.Grant.Valid() {
		n.l.Grant.Vouched = n.vouch.asked
	}
}
