package controller

import (
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// peakWindowSeconds is the length of the window over which requests are summed. It is long enough
// to distinguish sustained load from the bursts of one second that rate limits allow, and short
// enough to show the peak after a restart.
const peakWindowSeconds = 10

// PeakCounter finds the largest sum of amounts within any window of peakWindowSeconds whole seconds
// of the process's monotonic clock.
type PeakCounter struct {
	Max float64 // the largest sum so far

	bySecond     [peakWindowSeconds]float64 // ring buffer
	newestSecond int64
	windowSum    float64
}

// Add adds an amount at the given time, which must not be earlier than that of the previous call.
func (p *PeakCounter) Add(now time.Duration, amount float64) {
	second := int64(now / time.Second)
	p.advanceTo(second)
	p.bySecond[second%peakWindowSeconds] += amount
	p.windowSum += amount
	p.Max = max(p.Max, p.windowSum)
}

// advanceTo moves the window's end to the given second and drops the seconds that have left the
// window.
func (p *PeakCounter) advanceTo(second int64) {
	if second-p.newestSecond >= peakWindowSeconds {
		p.bySecond, p.windowSum, p.newestSecond = [peakWindowSeconds]float64{}, 0, second
	}
	for p.newestSecond < second {
		p.newestSecond++
		p.windowSum -= p.bySecond[p.newestSecond%peakWindowSeconds]
		p.bySecond[p.newestSecond%peakWindowSeconds] = 0
	}
}

// meanPerSecond returns the mean amount per second in the window with the largest sum.
func (p *PeakCounter) meanPerSecond() float64 { return p.Max / peakWindowSeconds }

// PeakLoad is this controller's load on the platform's services in its busiest ten seconds, as a
// mean per second. The busiest ten seconds are found for each figure separately. The services'
// limits apply to all controllers together.
type PeakLoad struct {
	StoreRequests  float64 `cbor:"requests" json:"state_requests"`
	StoreMutations float64 `cbor:"changes" json:"state_changes"`
	CloudCalls     float64 `cbor:"cloud" json:"cloud_calls"`
}

// meteredEnvironment is an environment that counts the calls to the platform's services and adds
// the incarnation of this process to its messages.
type meteredEnvironment struct {
	env.Environment

	storeAddress string
	cloudAddress string
	incarnation  uint64 // identifies this process in its messages

	storeRequests  PeakCounter
	storeMutations PeakCounter
	cloudCalls     PeakCounter
}

func newMeteredEnvironment(environment env.Environment, cfg *settings.Settings) *meteredEnvironment {
	return &meteredEnvironment{
		Environment:  environment,
		storeAddress: cfg.Services.State,
		cloudAddress: cfg.Services.Cloud,
	}
}

// Call counts a request and passes it on.
func (m *meteredEnvironment) Call(address, method, path string, in, out any, timeout time.Duration, done func(status int)) {
	switch now := m.Now(); address {
	case m.storeAddress:
		m.storeRequests.Add(now, 1)
		if transaction, ok := in.(*protocol.Transaction); ok && len(transaction.Mutations) > 0 {
			m.storeMutations.Add(now, float64(len(transaction.Mutations)))
		}
	case m.cloudAddress:
		m.cloudCalls.Add(now, 1)
	}
	m.Environment.Call(address, method, path, in, out, timeout, done)
}

// Send adds the incarnation of this process to a message and passes it on.
func (m *meteredEnvironment) Send(member string, envelope *peermsg.Envelope) {
	envelope.Incarnation = m.incarnation
	m.Environment.Send(member, envelope)
}

func (m *meteredEnvironment) peakLoad() PeakLoad {
	return PeakLoad{
		StoreRequests:  m.storeRequests.meanPerSecond(),
		StoreMutations: m.storeMutations.meanPerSecond(),
		CloudCalls:     m.cloudCalls.meanPerSecond(),
	}
}
