package federation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// What goes to a partner, and why: home's wait against the wait there.
func TestShouldLend(t *testing.T) {
	p := &settings.Partner{Name: "east", Classes: []string{"scan"}, Ratio: 2}
	red, limited := &settings.Team{Name: "red"}, &settings.Team{Name: "blue", CoresMax: 4}
	for _, c := range []struct {
		what   string
		starts float64 // here, in seconds; there it is 6
		edit   func(w *WaitingChunk)
		team   *settings.Team
		want   string
	}{
		{"soon here", 8, nil, red, ""},
		{"late here", 13, nil, red, "would start here in 13 s, there in 6 s"},
		{"misses its deadline here only", 8, func(w *WaitingChunk) { w.DeadlineSeconds = []float64{17} }, red, "would miss its 17 s here"},
		{"misses it there, too", 8, func(w *WaitingChunk) { w.DeadlineSeconds = []float64{15} }, red, ""},
		{"the first deadline that it can meet there counts", 8, func(w *WaitingChunk) { w.DeadlineSeconds = []float64{15, 40} }, red, ""},
		{"another class", 60, func(w *WaitingChunk) { w.Record.Job.Class = "print" }, red, ""},
		{"a limit is kept here", 60, nil, limited, ""},
		{"unknown team", 60, nil, nil, ""},
		{"a zone of home's", 60, func(w *WaitingChunk) { w.Record.Job.Zone = "a" }, red, ""},
		{"a service", 60, func(w *WaitingChunk) { w.Record.Job.Shape = protocol.ShapeService }, red, ""},
		{"borrowed: one hop", 60, func(w *WaitingChunk) { w.Record.Loan = &shard.Loan{} }, red, ""},
		{"its name would be too long", 60, func(w *WaitingChunk) { w.Record.Job.ID = "wk-" + strings.Repeat("x", 90) }, red, ""},
	} {
		w := &WaitingChunk{Record: &shard.JobRecord{Job: protocol.Job{ID: "wk-1", Class: "scan", Shape: protocol.ShapeArray, Tasks: 8, Estimate: 10}, ChunkSize: 8, ChunkShards: []int{0}, AcceptedAt: 100},
			Tasks: 8, StartsIn: time.Duration(c.starts * float64(time.Second))}
		if c.edit != nil {
			c.edit(w)
		}
		if why, ok := shouldLend(w, p, c.team, 6*time.Second, 100); why != c.want || ok != (c.want != "") {
			t.Errorf("%s: %q %v, want %q", c.what, why, ok, c.want)
		}
	}
}

// The order of asking: priority, what going saves, age.
func TestSortByUrgency(t *testing.T) {
	at := func(id string, rank int, since, due float64) *WaitingChunk {
		w := &WaitingChunk{Record: &shard.JobRecord{Job: protocol.Job{ID: id, Priority: rank, Estimate: 10}, AcceptedAt: since}}
		if due > 0 {
			w.DeadlineSeconds = []float64{due}
		}
		return w
	}
	list := []*WaitingChunk{at("old and late", 1, 10, 45), at("young", 1, 90, 45), at("old, no deadline", 1, 20, 0), at("high", 2, 95, 5)}
	sortByUrgency(list, 6*time.Second, 100)
	got := ""
	for _, w := range list {
		got += w.Record.Job.ID + "; "
	}
	if want := "high; old, no deadline; young; old and late; "; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

func TestOfferableTasks(t *testing.T) {
	for _, c := range []struct {
		shape              protocol.JobShape
		tasks, room, share int
		want               int
	}{
		{protocol.ShapeArray, 8, 20, 20, 8}, {protocol.ShapeArray, 8, 5, 20, 5}, {protocol.ShapeArray, 8, 3, 20, 0}, {protocol.ShapeArray, 8, 20, 8, 4}, {protocol.ShapeArray, 8, 20, 5, 0},
		{protocol.ShapeGang, 8, 20, 20, 8}, {protocol.ShapeGang, 8, 7, 20, 0}, {protocol.ShapeGang, 8, 20, 15, 0},
	} {
		j := &protocol.Job{Shape: c.shape, Cores: 2, Tasks: c.tasks}
		if got := offerableTasks(j, c.tasks, c.room, float64(c.share)); got != c.want {
			t.Errorf("%s of %d, room for %d, %d cores: %d, want %d", c.shape, c.tasks, c.room, c.share, got, c.want)
		}
	}
}

// Ranges of a loan and of its job.
func TestRanges(t *testing.T) {
	if got := fmt.Sprint(shiftRanges([][2]int{{0, 3}, {5, 9}, {-1, 2}, {3, 10}}, 40, 10)); got != "[[40 43] [45 49]]" {
		t.Error("a host's ranges outside the loan were taken: ", got)
	}
	if got := fmt.Sprint(rangesWithin([][2]int{{0, 41}, {43, 43}, {49, 60}}, 40, 10)); got != "[[0 1] [3 3] [9 9]]" {
		t.Error(got)
	}
	if got := fmt.Sprint(shard.MergeRanges(2, [][2]int{{5, 9}, {0, 3}}, [][2]int{{4, 4}, {20, 21}, {30, 30}})); got != "[[0 9] [20 21]]" {
		t.Error(got)
	}
}

// What a hostile partner may send as a job.
func TestInvalidReason(t *testing.T) {
	ok := protocol.Job{Shape: protocol.ShapeArray, Tasks: 8, Cores: 1}
	for what, edit := range map[string]func(j *protocol.Job){
		"": func(*protocol.Job) {}, "number of tasks": func(j *protocol.Job) { j.Tasks = 1 << 30 }, "an amount": func(j *protocol.Job) { j.Cores = -1 },
		"neither cores nor GPUs": func(j *protocol.Job) { j.Cores = 0 }, "shape": func(j *protocol.Job) { j.Shape = "x" }, "field too long": func(j *protocol.Job) { j.Image = strings.Repeat("x", 5000) },
		"zone: it names one of its home": func(j *protocol.Job) { j.Zone = "a" },
	} {
		j := ok
		edit(&j)
		if got := invalidReason(&j); got != what {
			t.Errorf("%q, want %q", got, what)
		}
	}
	b := borrowedJob("wk-at.west.1.0.a", "west", &protocol.Job{Priority: 3, Team: "red", Class: "scan", Zone: "a"})
	if b.Priority >= 0 || b.Team != "@west" || b.Class != "@west/scan" || b.Zone != "" {
		t.Errorf("a partner's words got through: %+v", b)
	}
}
