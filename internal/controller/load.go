package controller

import (
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// peakWindowSeconds is the time over which what is asked of others is summed up: long enough
// to tell a load from the bursts of a second that limits allow, short enough for
// the rush after a restart to show.
const peakWindowSeconds = 10

// PeakCounter is the most that was counted within any ten seconds (of whole seconds by
// the process's steady clock), since the process began.
type PeakCounter struct {
	Max float64 // in ten seconds

	bySecond     [peakWindowSeconds]float64 // by second, in a ring
	newestSecond int64                      // the newest
	windowSum    float64
}

// Add counts n at a moment.
func (p *PeakCounter) Add(now time.Duration, amount float64) {
	second := int64(now / time.Second)
	if second-p.newestSecond >= peakWindowSeconds {
		p.bySecond, p.windowSum, p.newestSecond = [peakWindowSeconds]float64{}, 0, second
	}
	for p.newestSecond < second {
		p.newestSecond++
		p.windowSum -= p.bySecond[p.newestSecond%peakWindowSeconds]
		p.bySecond[p.newestSecond%peakWindowSeconds] = 0
	}
	p.bySecond[second%peakWindowSeconds] += amount
	p.windowSum += amount
	p.Max = max(p.Max, p.windowSum)
}

// PeakLoad is what this controller asked of the services in its busiest ten seconds,
// as a mean of a second. Each has its own ten seconds; the limits are for all
// controllers together.
type PeakLoad struct {
	StoreRequests  float64 `cbor:"requests" json:"state_requests"`
	StoreMutations float64 `cbor:"changes" json:"state_changes"`
	CloudCalls     float64 `cbor:"cloud" json:"cloud_calls"`
}

// meteredEnvironment counts the calls of a world, and names the process to the others.
type meteredEnvironment struct {
	env.Environment
	storeAddress, cloudAddress                string
	incarnation                               uint64 // names this process to the others
	storeRequests, storeMutations, cloudCalls PeakCounter
}

func newMeteredEnvironment(environment env.Environment, cfg *settings.Settings) *meteredEnvironment {
	return &meteredEnvironment{Environment: environment, storeAddress: cfg.Services.State, cloudAddress: cfg.Services.Cloud}
}

// Call counts and passes on.
func (m *meteredEnvironment) Call(address, method, path string, in, out any, timeout time.Duration, done func(status int)) {
	switch now := m.Now(); address {
	case m.storeAddress:
		m.storeRequests.Add(now, 1)
		if t, ok := in.(*protocol.Transaction); ok && len(t.Mutations) > 0 {
			m.storeMutations.Add(now, float64(len(t.Mutations)))
		}
	case m.cloudAddress:
		m.cloudCalls.Add(now, 1)
	}
	m.Environment.Call(address, method, path, in, out, timeout, done)
}

// Send names the process in each message.
func (m *meteredEnvironment) Send(member string, envelope *peermsg.Envelope) {
	envelope.Incarnation = m.incarnation
	m.Environment.Send(member, envelope)
}

func (m *meteredEnvironment) peakLoad() PeakLoad {
	return PeakLoad{m.storeRequests.Max / peakWindowSeconds, m.storeMutations.Max / peakWindowSeconds, m.cloudCalls.Max / peakWindowSeconds}
}
