package intake

import (
	"fmt"
	"testing"

	"curlewspool/internal/part"
	"curlewspool/internal/settings"
)

type host struct {
	Host
	s settings.Settings
}

func (h *host) Settings() *settings.Settings { return &h.s }

// Ended jobs are kept for ever in the state service, not in memory: what is
// remembered is bounded by the machine's, the newest replace the oldest.
func TestMemoryOfEndedJobsIsBounded(t *testing.T) {
	h := &host{}
	h.s.Deployment.Limits.RAM = 98
	in := New(h, nil)
	for i := 0; i < 100_000; i++ {
		in.Over(fmt.Sprintf("wk-%d", i), part.Final{Status: "done"})
	}
	if n := in.finals.Len(); n != remembered*98 {
		t.Errorf("%d ended jobs are kept in memory, want %d", n, remembered*98)
	}
	if _, ok := in.finals.Get("wk-99999"); !ok {
		t.Error("the newest is not among them")
	}
	if _, ok := in.finals.Get("wk-0"); ok {
		t.Error("the oldest is still among them")
	}
}
