package protocol

import (
	"math"
	"testing"
)

func TestSubmissionValidate(t *testing.T) {
	ok := func() map[string]any {
		return map[string]any{"id": "wk-1", "trade": "t", "crew": "c", "shape": ShapeArray, "rank": "standard", "pieces": 3, "cores": 1,
			"accelerators": 0, "memoryGb": 1.5, "kit": "img", "pullGb": 0.5, "builds": nil, "yard": nil, "together": false,
			"apart": false, "loaners": true, "reckonS": 10, "markS": 0, "stowS": 0, "dueS": nil, "unheard": "of"}
	}
	for _, c := range []struct {
		field string
		value any // nil: removed
		good  bool
	}{
		{"unheard", nil, true},
		{"builds", nil, true},
		{"dueS", nil, true},
		{"dueS", 90.5, true},
		{"id", "job 1", false},
		{"id", "wk-1/2", false},
		{"id", 7, false},
		{"id", nil, false},
		{"shape", "heap", false},
		{"rank", "low", false},
		{"pieces", 0, false},
		{"pieces", -1, false},
		{"pieces", 100_001, false},
		{"pieces", 100_000, true},
		{"cores", nil, false},
		{"cores", math.NaN(), false},
		{"cores", math.Inf(1), false},
		{"memoryGb", -0.1, false},
		{"together", "yes", false},
		{"reckonS", nil, false},
		{"dueS", -1, false},
	} {
		body := ok()
		if c.value == nil {
			delete(body, c.field)
		} else {
			body[c.field] = c.value
		}
		var s Submission
		err := Decode(Encode(body), &s)
		good := err == nil
		if good {
			_, bad := s.Validate()
			good = bad == ""
		}
		if good != c.good {
			t.Errorf("%s = %v: accepted is %v, want %v", c.field, c.value, good, c.good)
		}
	}
}
