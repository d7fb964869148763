package node

import (
	"time"

	"curlewspool/internal/mesh"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// busy is the time over which what is asked of others is summed up: long enough
// to tell a load from the bursts of a second that limits allow, short enough for
// the rush after a restart to show.
const busy = 10

// Peak is the most that was counted within any ten seconds (of whole seconds by
// the process's steady clock), since the process began.
type Peak struct {
	Most float64 // in ten seconds

	by  [busy]float64 // by second, in a ring
	sec int64         // the newest
	sum float64
}

// Add counts n at a moment.
func (p *Peak) Add(now time.Duration, n float64) {
	sec := int64(now / time.Second)
	if sec-p.sec >= busy {
		p.by, p.sum, p.sec = [busy]float64{}, 0, sec
	}
	for p.sec < sec {
		p.sec++
		p.sum -= p.by[p.sec%busy]
		p.by[p.sec%busy] = 0
	}
	p.by[sec%busy] += n
	p.sum += n
	p.Most = max(p.Most, p.sum)
}

// Load is what this controller asked of the services in its busiest ten seconds,
// as a mean of a second. Each has its own ten seconds; the limits are for all
// controllers together.
type Load struct {
	Requests float64 `cbor:"requests" json:"state_requests"`
	Changes  float64 `cbor:"changes" json:"state_changes"`
	Cloud    float64 `cbor:"cloud" json:"cloud_calls"`
}

// metered counts the calls of a world, and names the process to the others.
type metered struct {
	world.World
	state, cloud             string
	life                     uint64 // names this process to the others
	requests, changes, calls Peak
}

func meter(w world.World, s *settings.Settings) *metered {
	return &metered{World: w, state: s.Services.State, cloud: s.Services.Cloud}
}

// Call counts and passes on.
func (m *metered) Call(addr, method, path string, in, out any, timeout time.Duration, done func(status int)) {
	switch now := m.Now(); addr {
	case m.state:
		m.requests.Add(now, 1)
		if t, ok := in.(*wire.Txn); ok && len(t.Apply) > 0 {
			m.changes.Add(now, float64(len(t.Apply)))
		}
	case m.cloud:
		m.calls.Add(now, 1)
	}
	m.World.Call(addr, method, path, in, out, timeout, done)
}

// Send names the process in each message.
func (m *metered) Send(member string, e *mesh.Envelope) {
	e.Life = m.life
	m.World.Send(member, e)
}

func (m *metered) load() Load {
	return Load{m.requests.Most / busy, m.changes.Most / busy, m.calls.Most / busy}
}
