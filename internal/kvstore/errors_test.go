package kvstore

import (
	"errors"
	"net/http"
	"strconv"
	"testing"
)

func TestStatusError(t *testing.T) {
	for _, test := range []struct {
		status  int
		success []int
		want    error
	}{
		{0, nil, ErrUnknownOutcome},
		{http.StatusOK, nil, nil},
		{http.StatusCreated, nil, ErrUnexpectedStatus},
		{http.StatusCreated, []int{http.StatusCreated}, nil},
		{http.StatusNoContent, []int{http.StatusNoContent}, nil},
		{http.StatusBadRequest, nil, ErrRejected},
		{http.StatusNotFound, nil, ErrNotFound},
		{http.StatusConflict, nil, ErrConflict},
		{http.StatusGone, nil, ErrCompacted},
		{http.StatusTooManyRequests, nil, ErrThrottled},
		{http.StatusServiceUnavailable, nil, ErrUnavailable},
		{http.StatusInternalServerError, nil, ErrUnexpectedStatus},
	} {
		t.Run(strconv.Itoa(test.status), func(t *testing.T) {
			if got := statusError(test.status, test.success...); !errors.Is(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
