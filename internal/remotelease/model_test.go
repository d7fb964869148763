package remotelease

import (
	"fmt"
	"time"
)

// The hand-over as a state machine: a leader at home that may be replaced, two controllers
// at the host that may be restarted, one worker. Messages are lost, late and repeated, and
// all clocks drift apart. Home and host use this package's rules; the rest is as little as
// PROTOCOL says of it.

const (
	machineLease = 14 * time.Second
	cancelBound  = 34 * time.Second
	clockDrift   = 0.02            // far more than the protocol's, so that histories can be short
	maxReplyAge  = 4 * time.Second // a worker drops an older answer to a report

	hostControllers = 2
)

// weakening is a change that makes the rules weaker; the test must find each.
type weakening struct {
	ignoresDrift, ignoresMachineLease, ignoresEarlierLeader, countsFromArrival, answersWithoutProof, launchesDirectly, termTooLong bool
}

// action is what a step does.
type action int

const (
	wait               action = iota
	waitAgain                 // as frequent as two other actions
	askRenewal                // a controller of the host asks home
	answerRenewal             // home answers
	takeRenewal               // the controller takes the answer
	sendReport                // the worker reports to a controller
	answerReport              // the controller answers with an order
	sendDirectOrder           // a controller sends an order that answers no report
	takeOrder                 // the worker takes an order
	restartController         // of the host; its clock says nothing of what it was told before
	replaceLeader             // at home; it cannot know what the one before answered
	takeBack                  // home takes the task back as soon as it may
	cancelJob                 // at home
	waitForPermitEnd          // until just before a controller must stop
	waitForExpiry             // until home may take the task back
	takeNewestOrder           // the newest message to the worker arrives
	waitForCancelBound        // until the end of what a cancellation is allowed
)

// The actions from waitForPermitEnd on are moments that matter, which chance alone would
// hardly meet; they are not drawn by themselves.
const lastDrawnAction = cancelJob

// step is one step of a history. What pick and milliseconds say depends on the action.
type step struct {
	action       action
	pick         int
	milliseconds int
}

// question goes from a controller of the host to home.
type question struct {
	from, incarnation int
	sentAt            time.Duration // by the asker's clock
}

type answer struct {
	question
	hold bool
}

// report goes from the worker to a controller of the host.
type report struct {
	to      int
	sentAt  time.Duration // by the worker's clock
	session int
}

// order goes from a controller of the host to the worker, as answer to a report or not.
type order struct {
	report
	launch, halt, direct bool
}

// model is the state of both clusters.
type model struct {
	weakening weakening
	rules     Rules
	now       time.Duration // true time

	homeClockRate   float64
	hostClockRates  [hostControllers]float64
	workerClockRate float64

	renewals      *Renewals
	isLent        bool // the record at home
	cancelledAt   time.Duration
	startedAtHome bool

	permits      [hostControllers]Permit
	incarnations [hostControllers]int

	onWorker   bool // the task runs there
	session    int
	leaseBegan time.Duration // by the worker's clock

	questions []question
	answers   []answer
	reports   []report
	orders    []order
}

var testKey = Key{"wk-1", 0, 7}

// atRate is what a clock of a rate shows at a true time.
func atRate(rate float64, t time.Duration) time.Duration { return time.Duration(rate * float64(t)) }

// clockRates are the rates of the clocks of home, the host's controllers and the worker,
// as shares of the drift.
type clockRates [4]float64

func newModel(weak weakening, rates clockRates) *model {
	rate := func(clock int) float64 { return 1 + rates[clock]*clockDrift }
	m := &model{
		weakening:       weak,
		isLent:          true,
		homeClockRate:   rate(0),
		hostClockRates:  [hostControllers]float64{rate(1), rate(2)},
		workerClockRate: rate(3),
		renewals:        NewRenewals(0),
		rules: Rules{
			Term:         MaxTerm(cancelBound, machineLease, clockDrift),
			MachineLease: machineLease,
			ClockDrift:   clockDrift,
		},
	}
	if weak.ignoresDrift {
		m.rules.ClockDrift = 0
	}
	if weak.ignoresMachineLease {
		m.rules.MachineLease = 0
	}
	if weak.termTooLong {
		m.rules.Term = cancelBound - machineLease/2
	}
	m.renewals.RecordIssued(testKey)
	return m
}

func (m *model) homeNow() time.Duration { return atRate(m.homeClockRate, m.now) }

func (m *model) hostNow(controller int) time.Duration {
	return atRate(m.hostClockRates[controller], m.now)
}

func (m *model) workerNow() time.Duration { return atRate(m.workerClockRate, m.now) }

// take picks a message out of a list; with keep it stays there, to arrive again.
func take[T any](list *[]T, pick int, keep bool) (message T, ok bool) {
	if len(*list) == 0 {
		return message, false
	}
	i := pick % len(*list)
	message = (*list)[i]
	if !keep {
		*list = append((*list)[:i:i], (*list)[i+1:]...)
	}
	return message, true
}

// pass lets time pass; the worker kills what it has when its lease expires.
func (m *model) pass(d time.Duration) {
	for end := m.now + max(0, d); ; {
		leaseEnd := time.Duration(float64(m.leaseBegan+machineLease)/m.workerClockRate) + time.Millisecond
		if leaseEnd > end {
			m.now = end
			return
		}
		m.now = max(m.now, leaseEnd)
		m.onWorker, m.leaseBegan = false, m.workerNow()
		m.session++
	}
}

// do plays one step and says which rule it broke; "" if none.
func (m *model) do(s step) string {
	controller := s.pick % hostControllers
	repeated := s.milliseconds%5 == 0 // the message arrives again later
	switch s.action {
	case wait, waitAgain:
		m.pass(time.Duration(s.milliseconds) * time.Millisecond)
	case askRenewal:
		m.questions = append(m.questions, question{controller, m.incarnations[controller], m.hostNow(controller)})
	case answerRenewal:
		m.answerRenewal(s.pick, repeated)
	case takeRenewal:
		m.takeRenewal(s.pick)
	case sendReport:
		m.reports = append(m.reports, report{controller, m.workerNow(), m.session})
	case answerReport:
		if r, ok := take(&m.reports, s.pick, repeated); ok {
			permitted := m.permits[r.to].IsValid(m.hostNow(r.to))
			m.orders = append(m.orders, order{report: r, launch: permitted, halt: !permitted})
		}
	case sendDirectOrder:
		if m.weakening.launchesDirectly && m.permits[controller].IsValid(m.hostNow(controller)) {
			m.orders = append(m.orders, order{report: report{to: controller, session: m.session}, launch: true, direct: true})
		}
	case takeOrder:
		m.takeOrder(s.pick, repeated)
	case restartController:
		m.incarnations[controller]++
		m.permits[controller] = Permit{}
	default:
		m.doAtHome(s)
	}
	return m.brokenRule()
}

// doAtHome plays the steps of home, and those that wait for a certain moment.
func (m *model) doAtHome(s step) {
	switch s.action {
	case replaceLeader:
		m.renewals = NewRenewals(m.homeNow())
		if m.weakening.ignoresEarlierLeader {
			m.renewals.RecordIssued(testKey)
		}
	case takeBack:
		if m.isLent && m.renewals.IsExpired(testKey, m.rules, m.homeNow()) {
			m.isLent, m.startedAtHome = false, true
		}
	case cancelJob:
		if m.isLent {
			m.isLent, m.cancelledAt = false, m.now
		}
	case waitForPermitEnd:
		controller := s.pick % hostControllers
		end := time.Duration(float64(m.permits[controller].until) / m.hostClockRates[controller])
		m.pass(end - m.now - time.Duration(s.milliseconds%20+1)*time.Millisecond)
	case waitForExpiry:
		if at, ok := m.renewals.LastRenewal(testKey); ok {
			expiry := time.Duration(float64(at+m.rules.ExpiresAfter()) / m.homeClockRate)
			m.pass(expiry - m.now + time.Millisecond)
		}
	case takeNewestOrder:
		if n := len(m.orders); n > 0 {
			m.do(step{takeOrder, n - 1, s.milliseconds})
		}
	case waitForCancelBound:
		if m.cancelledAt > 0 {
			m.pass(m.cancelledAt + cancelBound + time.Millisecond - m.now)
		}
	}
}

// answerRenewal has home answer a question, on proof: from the record as it is now.
func (m *model) answerRenewal(pick int, repeated bool) {
	q, ok := take(&m.questions, pick, repeated)
	if !ok {
		return
	}
	hold := m.isLent || m.weakening.answersWithoutProof
	if hold {
		m.renewals.RecordRenewed(testKey, m.homeNow())
	}
	m.answers = append(m.answers, answer{q, hold})
}

// takeRenewal has a controller of the host take an answer, unless it was restarted since.
func (m *model) takeRenewal(pick int) {
	a, ok := take(&m.answers, pick, false)
	if !ok || m.incarnations[a.from] != a.incarnation {
		return
	}
	sentAt := a.sentAt
	if m.weakening.countsFromArrival {
		sentAt = m.hostNow(a.from)
	}
	if a.hold {
		m.permits[a.from].Renew(sentAt, m.rules.Term)
	} else {
		m.permits[a.from].Revoke()
	}
}

// takeOrder has the worker take an order of its session, if it is not too old.
func (m *model) takeOrder(pick int, repeated bool) {
	o, ok := take(&m.orders, pick, repeated)
	if !ok || o.session != m.session || !o.direct && m.workerNow()-o.sentAt >= maxReplyAge {
		return
	}
	if !o.direct {
		m.leaseBegan = max(m.leaseBegan, o.sentAt)
	}
	m.onWorker = m.onWorker && !o.halt || o.launch
}

// brokenRule says which rule does not hold now; "" if all do.
func (m *model) brokenRule() string {
	switch {
	case m.startedAtHome && m.onWorker:
		return "in both places"
	case m.cancelledAt > 0 && m.onWorker && m.now > m.cancelledAt+cancelBound:
		return "on a machine after the cancellation"
	}
	return ""
}

// play plays a history and says which step broke a rule; "" if none did.
func play(weak weakening, rates clockRates, steps []step) string {
	m := newModel(weak, rates)
	for i, s := range steps {
		if broken := m.do(s); broken != "" {
			return fmt.Sprintf("step %d %+v: %s", i, s, broken)
		}
	}
	return ""
}
