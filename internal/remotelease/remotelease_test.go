package remotelease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The hand-over as a machine of states: a leader at home that may be replaced,
// two controllers at the host that may end, one worker; messages are lost, late
// and repeated, all clocks drift apart. Home and host use this package's rules;
// the rest is as little as PROTOCOL says of it.

const (
	lease  = 14 * time.Second
	cancel = 34 * time.Second
	drift  = 0.02 // far more than the protocol's, so that histories can be short
	drop   = 4 * time.Second
)

// rule is a change that makes the rules weaker; the test must find each.
type rule struct {
	noDrift, noLease, noBound, fromArrival, noProof, direct, longTerm bool
}

type step struct {
	Do   int
	Pick int
	Ms   int
}

type question struct { // host to home
	from, life int
	sent       time.Duration // by the asker's clock
}

type answer struct {
	question
	hold bool
}

type report struct { // worker to host
	to      int
	sent    time.Duration // by the worker's clock
	session int
}

type order struct { // host to worker
	report
	launch, halt, direct bool
}

type play struct {
	r     rule
	rules Rules
	now   time.Duration // true time
	home  float64       // rates of the clocks
	host  [2]float64
	work  float64

	renewals *Renewals
	lent     bool // the record at home
	aborted  time.Duration
	atHome   bool // home has started the task

	permit [2]Permit
	life   [2]int

	on      bool // the task is on the worker
	session int
	begun   time.Duration // of the lease, by the worker's clock

	questions []question
	answers   []answer
	reports   []report
	orders    []order
}

var key = Key{"wk-1", 0, 7}

func at(rate float64, t time.Duration) time.Duration { return time.Duration(rate * float64(t)) }

func newPlay(r rule, rates [4]float64) *play {
	p := &play{r: r, lent: true, home: 1 + rates[0]*drift, host: [2]float64{1 + rates[1]*drift, 1 + rates[2]*drift}, work: 1 + rates[3]*drift}
	p.rules = Rules{Term: MaxTerm(cancel, lease, drift), MachineLease: lease, ClockDrift: drift}
	if r.noDrift {
		p.rules.ClockDrift = 0
	}
	if r.noLease {
		p.rules.MachineLease = 0
	}
	if r.longTerm {
		p.rules.Term = cancel - lease/2
	}
	p.renewals = NewRenewals(0)
	p.renewals.RecordIssued(key)
	return p
}

func (p *play) homeNow() time.Duration { return at(p.home, p.now) }

func pick[T any](list *[]T, n int, keep bool) (T, bool) {
	var none T
	if len(*list) == 0 {
		return none, false
	}
	i := n % len(*list)
	v := (*list)[i]
	if !keep {
		*list = append((*list)[:i:i], (*list)[i+1:]...)
	}
	return v, true
}

// pass lets time pass; the worker kills what it has when its lease is over.
func (p *play) pass(d time.Duration) {
	for end := p.now + max(0, d); ; {
		over := time.Duration(float64(p.begun+lease)/p.work) + time.Millisecond
		if over > end {
			p.now = end
			return
		}
		p.now = max(p.now, over)
		p.on, p.begun = false, at(p.work, p.now)
		p.session++
	}
}

// do plays one step and says which rule it broke.
func (p *play) do(s step) string {
	again := s.Ms%5 == 0 // the message arrives again later
	switch s.Do {
	case 0, 1:
		p.pass(time.Duration(s.Ms) * time.Millisecond)
	case 2:
		i := s.Pick % 2
		p.questions = append(p.questions, question{i, p.life[i], at(p.host[i], p.now)})
	case 3:
		if q, ok := pick(&p.questions, s.Pick, again); ok {
			// On proof the answer is from the record as it is now.
			hold := p.lent || p.r.noProof
			if hold {
				p.renewals.RecordRenewed(key, p.homeNow())
			}
			p.answers = append(p.answers, answer{q, hold})
		}
	case 4:
		if a, ok := pick(&p.answers, s.Pick, false); ok && p.life[a.from] == a.life {
			sent := a.sent
			if p.r.fromArrival {
				sent = at(p.host[a.from], p.now)
			}
			if a.hold {
				p.permit[a.from].Renew(sent, p.rules.Term)
			} else {
				p.permit[a.from].Revoke()
			}
		}
	case 5:
		p.reports = append(p.reports, report{s.Pick % 2, at(p.work, p.now), p.session})
	case 6: // a controller answers a report
		if r, ok := pick(&p.reports, s.Pick, again); ok {
			good := p.permit[r.to].IsValid(at(p.host[r.to], p.now))
			p.orders = append(p.orders, order{r, good, !good, false})
		}
	case 7:
		i := s.Pick % 2
		if p.r.direct && p.permit[i].IsValid(at(p.host[i], p.now)) {
			p.orders = append(p.orders, order{report{i, 0, p.session}, true, false, true})
		}
	case 8: // the worker takes it
		if o, ok := pick(&p.orders, s.Pick, again); ok && o.session == p.session && (o.direct || at(p.work, p.now)-o.sent < drop) {
			if !o.direct {
				p.begun = max(p.begun, o.sent)
			}
			p.on = p.on && !o.halt || o.launch
		}
	case 9:
		i := s.Pick % 2
		p.life[i]++
		p.permit[i] = Permit{}
	case 10: // another leader; it cannot know what the one before answered
		p.renewals = NewRenewals(p.homeNow())
		if p.r.noBound {
			p.renewals.RecordIssued(key)
		}
	case 11: // home takes the task back as soon as it may
		if p.lent && p.renewals.IsExpired(key, p.rules, p.homeNow()) {
			p.lent, p.atHome = false, true
		}
	case 12:
		if p.lent {
			p.lent, p.aborted = false, p.now
		}
	// The moments that matter, which chance alone would hardly meet.
	case 13: // just before a controller must stop
		i := s.Pick % 2
		p.pass(time.Duration(float64(p.permit[i].until)/p.host[i]) - p.now - time.Duration(s.Ms%20+1)*time.Millisecond)
	case 14: // as soon as home may
		if t, ok := p.renewals.LastRenewal(key); ok {
			p.pass(time.Duration(float64(t+p.rules.ExpiresAfter())/p.home) - p.now + time.Millisecond)
		}
	case 15: // the newest message to the worker arrives
		if n := len(p.orders); n > 0 {
			return p.do(step{8, n - 1, s.Ms})
		}
	case 16: // the end of what an abort is allowed
		if p.aborted > 0 {
			p.pass(p.aborted + cancel + time.Millisecond - p.now)
		}
	}
	switch {
	case p.atHome && p.on:
		return "in both places"
	case p.aborted > 0 && p.on && p.now > p.aborted+cancel:
		return "on a machine after the abort"
	}
	return ""
}

// histories are generated so that ordinary courses are frequent: a renewal, a
// report and its answer in a row, then silence.
func steps() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) []step {
		p := rapid.IntRange(0, 3).Draw(t, "pick")
		ms := rapid.IntRange(1, 999).Draw(t, "ms")
		switch rapid.IntRange(0, 14).Draw(t, "course") {
		case 10: // all that is allowed is used up, then home's turn
			list := []step{{5, p, ms}, {6, p, 1}, {15, 0, 1}, {14, 0, 1}, {11, 0, 1}}
			return append([]step{{13, p, ms}}, list...)
		case 11: // the same with an abort while the question is on its way
			return []step{{2, p, ms}, {3, p, 1}, {12, 0, 1}, {4, 0, 1}, {13, p, ms}, {5, p, ms}, {6, p, 1}, {15, 0, 1}, {16, 0, 1}}
		case 12: // direct orders are held back while reports go on
			list := []step{{7, p, ms}}
			for i := 0; i < 4; i++ {
				list = append(list, step{0, 0, 9000}, step{5, p, 1}, step{6, 0, 1}, step{15, 0, 1})
			}
			return append(list, step{11, 0, 1}, step{8, 0, 1})
		case 0, 1, 2:
			return []step{{2, p, ms}, {3, p, ms}, {0, 0, ms}, {4, p, ms}}
		case 3, 4:
			return []step{{5, p, ms}, {6, p, ms}, {8, p, ms}}
		case 5:
			return []step{{0, 0, rapid.IntRange(1, 40000).Draw(t, "wait")}, {11, 0, 1}}
		case 6: // a report just before the term's end, then home's turn
			return []step{{5, p, ms}, {0, 0, ms}, {6, p, ms}, {0, 0, ms}, {8, p, ms}, {0, 0, rapid.IntRange(10000, 16000).Draw(t, "rest")}, {11, 0, 1}}
		default:
			return []step{{rapid.IntRange(0, 12).Draw(t, "do"), p, rapid.IntRange(1, 20000).Draw(t, "long")}}
		}
	})
	return rapid.Map(rapid.SliceOfN(one, 4, 30), func(l [][]step) (out []step) {
		for _, s := range l {
			out = append(out, s...)
		}
		return out
	})
}

func rates() *rapid.Generator[[4]float64] {
	return rapid.Custom(func(t *rapid.T) (r [4]float64) {
		for i := range r {
			r[i] = float64(rapid.IntRange(-2, 2).Draw(t, fmt.Sprintf("rate%d", i))) / 2
		}
		return r
	})
}

func run(r rule, rt [4]float64, list []step) string {
	p := newPlay(r, rt)
	for i, s := range list {
		if bad := p.do(s); bad != "" {
			return fmt.Sprintf("step %d %+v: %s", i, s, bad)
		}
	}
	return ""
}

// No history breaks the rule.
func TestNeverInBoth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if bad := run(rule{}, rates().Draw(t, "rates"), steps().Draw(t, "steps")); bad != "" {
			t.Fatal(bad)
		}
	})
}

// Thousands more, from fixed seeds; and each weaker rule is found out by them.
// A change that no history can tell from the rule would not be guarded.
func TestWeakerRulesAreFound(t *testing.T) {
	const histories = 30000
	type history struct {
		rates [4]float64
		steps []step
	}
	all := make([]history, histories)
	gen := rapid.Custom(func(t *rapid.T) history { return history{rates().Draw(t, "rates"), steps().Draw(t, "steps")} })
	for i := range all {
		all[i] = gen.Example(i)
	}
	for _, c := range []struct {
		name string
		r    rule
		ok   bool
	}{
		{"the rule", rule{}, true},
		{"the term without drift", rule{noDrift: true}, false},
		{"the machines' lease forgotten", rule{noLease: true}, false},
		{"a new leader that counts on nothing before it", rule{noBound: true}, false},
		{"the term counted from the answer's arrival", rule{fromArrival: true}, false},
		{"answers without proof", rule{noProof: true}, false},
		{"launches by direct orders", rule{direct: true}, false},
		{"a term longer than an abort allows", rule{longTerm: true}, false},
	} {
		bad, found := "", 0
		for i := range all {
			if b := run(c.r, all[i].rates, all[i].steps); b != "" {
				if found++; found == 1 {
					bad = fmt.Sprintf("history %d, %s", i, b)
				}
			}
		}
		t.Logf("%s: broken in %d of %d histories; %s", c.name, found, histories, bad)
		if c.ok != (found == 0) {
			t.Errorf("%s: broken in %d histories, want none: %v", c.name, found, c.ok)
		}
	}
}

func TestNames(t *testing.T) {
	k := Key{"wk-000412.b", 40, 9}
	home, got, ok := ParseJobID(k.JobID("west"))
	if !ok || home != "west" || got != k {
		t.Errorf("%q reads as %q %+v %v", k.JobID("west"), home, got, ok)
	}
	for _, id := range []string{"wk-1", "wk-at.", "wk-at.West.1.0.x", "wk-at.west.x.0.y", "wk-at.west.1.-1.y", "wk-at.west.1.2"} {
		if _, _, ok := ParseJobID(id); ok {
			t.Errorf("%q was read", id)
		}
	}
	if id := (Key{"wk-" + string(make([]byte, 100)), 0, 1}).JobID("west"); id != "" {
		t.Error("a name over the limit was given")
	}
}
