package remotelease

import (
	"fmt"

	"pgregory.net/rapid"
)

// course is a sequence of steps that belong together.
type course int

// Courses that are drawn, with a share of the numbers up to lastCourse each; the numbers
// that none has are single steps.
const (
	lastRenewalCourse  course = 2 // from 0 on: a question, its answer, and the answer's arrival
	lastReportCourse   course = 4 // a report, its answer, and the answer's arrival
	silenceCourse      course = 5
	lateReportCourse   course = 6
	longestRunCourse   course = 10
	cancelledCourse    course = 11
	directOrdersCourse course = 12
	lastCourse         course = 14
)

// drawSteps generates histories in which ordinary courses are frequent: a renewal, a
// report and its answer in a row, then silence.
func drawSteps() *rapid.Generator[[]step] {
	courses := rapid.Custom(drawCourse)
	return rapid.Map(rapid.SliceOfN(courses, 4, 30), func(drawn [][]step) (steps []step) {
		for _, c := range drawn {
			steps = append(steps, c...)
		}
		return steps
	})
}

func drawCourse(t *rapid.T) []step {
	pick := rapid.IntRange(0, 3).Draw(t, "pick")
	ms := rapid.IntRange(1, 999).Draw(t, "ms")
	switch drawn := course(rapid.IntRange(0, int(lastCourse)).Draw(t, "course")); {
	case drawn <= lastRenewalCourse:
		return []step{{askRenewal, pick, ms}, {answerRenewal, pick, ms}, {wait, 0, ms}, {takeRenewal, pick, ms}}
	case drawn <= lastReportCourse:
		return []step{{sendReport, pick, ms}, {answerReport, pick, ms}, {takeOrder, pick, ms}}
	case drawn == silenceCourse:
		return []step{{wait, 0, rapid.IntRange(1, 40000).Draw(t, "wait")}, {takeBack, 0, 1}}
	case drawn == lateReportCourse: // a report just before the term's end, then home's turn
		rest := rapid.IntRange(10000, 16000).Draw(t, "rest")
		return []step{{sendReport, pick, ms}, {wait, 0, ms}, {answerReport, pick, ms}, {wait, 0, ms},
			{takeOrder, pick, ms}, {wait, 0, rest}, {takeBack, 0, 1}}
	case drawn == longestRunCourse: // all that is allowed is used up, then home's turn
		return []step{{waitForPermitEnd, pick, ms}, {sendReport, pick, ms}, {answerReport, pick, 1}, {takeNewestOrder, 0, 1},
			{waitForExpiry, 0, 1}, {takeBack, 0, 1}}
	case drawn == cancelledCourse: // the same with a cancellation while the question is on its way
		return []step{{askRenewal, pick, ms}, {answerRenewal, pick, 1}, {cancelJob, 0, 1}, {takeRenewal, 0, 1},
			{waitForPermitEnd, pick, ms}, {sendReport, pick, ms}, {answerReport, pick, 1}, {takeNewestOrder, 0, 1}, {waitForCancelBound, 0, 1}}
	case drawn == directOrdersCourse: // direct orders are held back while reports go on
		steps := []step{{sendDirectOrder, pick, ms}}
		for range 4 {
			steps = append(steps, step{wait, 0, 9000}, step{sendReport, pick, 1}, step{answerReport, 0, 1}, step{takeNewestOrder, 0, 1})
		}
		return append(steps, step{takeBack, 0, 1}, step{takeOrder, 0, 1})
	default:
		single := action(rapid.IntRange(0, int(lastDrawnAction)).Draw(t, "do"))
		return []step{{single, pick, rapid.IntRange(1, 20000).Draw(t, "long")}}
	}
}

// drawRates generates clocks that are right or off by half of the drift or all of it.
func drawRates() *rapid.Generator[clockRates] {
	return rapid.Custom(func(t *rapid.T) (rates clockRates) {
		for i := range rates {
			rates[i] = float64(rapid.IntRange(-2, 2).Draw(t, fmt.Sprintf("rate%d", i))) / 2
		}
		return rates
	})
}
