package autoscaler

import (
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// This file sends rental requests to the cloud and handles their outcomes.

// unansweredRental is a rental request whose outcome is unknown.
type unansweredRental struct {
	request     protocol.RentalRequest
	requestedAt time.Duration
}

// backoff is the state of an offering whose latest rental request the cloud refused, in full or in
// part.
type backoff struct {
	until    time.Duration // no request is sent before this time
	failures int           // consecutive refusals, up to maxBackoffFailures
}

// The backoff after a refusal grows linearly with the number of consecutive refusals: each adds
// the type's boot time divided by backoffBootDivisor.
const (
	maxBackoffFailures = 4
	backoffBootDivisor = 4
	defaultBootSeconds = 20.0 // boot time assumed for a type that is not in the catalog
)

// takeRentalBudget takes one rental request from the request budget. It returns false if the
// budget is used up or too many rental requests are in flight.
func (a *Autoscaler) takeRentalBudget() bool {
	return a.rentalsInFlight < maxRentalsInFlight && a.takeRequestBudget()
}

// retryUnanswered repeats rental requests that were not answered, with the same request IDs, to
// learn which machines they rented. Rental requests are idempotent.
func (a *Autoscaler) retryUnanswered() {
	for len(a.unanswered) > 0 && a.takeRentalBudget() {
		rental := a.unanswered[0]
		a.unanswered = a.unanswered[1:]
		a.requestRental(&rental.request, rental.requestedAt)
	}
}

// newRentalRequest returns a rental request with a new request ID.
func (a *Autoscaler) newRentalRequest(choice offering, count int) *protocol.RentalRequest {
	a.requestCount++
	return &protocol.RentalRequest{
		RequestID: fmt.Sprintf("%s-%d", a.requestPrefix, a.requestCount),
		Type:      choice.typeName,
		Zone:      choice.zone,
		Spot:      choice.spot,
		Count:     count,
	}
}

// offeringOf returns the offering that a rental request asks for.
func offeringOf(request *protocol.RentalRequest) offering {
	return offering{request.Type, request.Zone, request.Spot}
}

// requestRental sends a rental request. requestedAt is the time of the first attempt.
func (a *Autoscaler) requestRental(request *protocol.RentalRequest, requestedAt time.Duration) {
	a.rentalsInFlight++
	rented := &protocol.MachineIDList{}
	a.env.Call(a.cloudAddress, http.MethodPost, rentalsPath, request, rented, cloudTimeout, func(status int) {
		a.rentalsInFlight--
		choice := offeringOf(request)
		switch status {
		case http.StatusOK:
			a.recordRental(request, rented.Machines, requestedAt)
		case http.StatusServiceUnavailable:
			a.backOff(choice)
		case http.StatusBadRequest:
			slog.Error("autoscaler: rental request refused as malformed", "type", request.Type)
			a.backOff(choice)
		default:
			a.unanswered = append(a.unanswered, &unansweredRental{*request, requestedAt})
		}
	})
}

// recordRental adds the machines of an answered rental request to the booting ones. The answer may
// have fewer machines than requested, which counts as a refusal of the rest.
func (a *Autoscaler) recordRental(request *protocol.RentalRequest, machines []string, requestedAt time.Duration) {
	slog.Info("autoscaler: machines rented",
		"type", request.Type, "zone", request.Zone, "spot", request.Spot, "requested", request.Count, "machines", machines)
	choice := offeringOf(request)
	for _, id := range machines {
		a.booting[id] = bootingMachine{offering: choice, requestedAt: requestedAt}
	}
	if len(machines) < request.Count {
		a.backOff(choice)
	} else {
		delete(a.backoffs, choice)
	}
}

// backOff delays further requests for an offering after a refusal. The delay grows with the number
// of consecutive refusals and has a jitter of up to a quarter in either direction.
func (a *Autoscaler) backOff(choice offering) {
	state := a.backoffs[choice]
	state.failures = min(state.failures+1, maxBackoffFailures)
	bootSeconds := defaultBootSeconds
	if t := a.machineTypes[choice.typeName]; t != nil {
		bootSeconds = t.BootSeconds
	}
	jitter := 0.75 + a.env.Rand().Float64()/2
	state.until = a.env.Now() + env.Seconds(bootSeconds/backoffBootDivisor*float64(state.failures)*jitter)
	a.backoffs[choice] = state
}
