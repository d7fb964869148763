package protocol

import (
	"math"
	"slices"
)

// FieldError is the error for a missing or invalid field of a message. Field is the field's name in
// the protocol.
type FieldError struct {
	Field string
}

// Error returns the text of the error, which is sent to users.
func (e *FieldError) Error() string { return "missing or invalid: " + e.Field }

// Validate returns the job that a submission describes. The error is a *FieldError for the first
// invalid field. Single fields are checked first, in the protocol's order. The name of the priority
// and then the dependencies are checked after them.
func (s *Submission) Validate() (*Job, error) {
	for _, check := range s.fieldChecks() {
		if !check.valid {
			return nil, &FieldError{check.field}
		}
	}
	priority, ok := ParsePriority(*s.Priority)
	if !ok {
		return nil, &FieldError{"rank"}
	}
	dependencies, err := validDependencies(s.Dependencies)
	if err != nil {
		return nil, err
	}
	return &Job{
		ID:                 *s.ID,
		Class:              *s.Class,
		Team:               *s.Team,
		Shape:              *s.Shape,
		Priority:           priority,
		Tasks:              int(*s.Tasks),
		Cores:              *s.Cores,
		GPUs:               *s.GPUs,
		MemoryGB:           *s.MemoryGB,
		Image:              *s.Image,
		ImageGB:            *s.ImageGB,
		MachineTypes:       s.MachineTypes,
		Zone:               valueOrZero(s.Zone),
		SingleZone:         *s.SingleZone,
		SpreadZones:        *s.SpreadZones,
		AllowSpot:          *s.AllowSpot,
		Estimate:           *s.Estimate,
		CheckpointInterval: *s.CheckpointInterval,
		CheckpointDuration: *s.CheckpointDuration,
		Deadline:           valueOrZero(s.Deadline),
		Dependencies:       dependencies,
	}, nil
}

// fieldCheck is the result of the check of one field. field is the field's name in the protocol.
type fieldCheck struct {
	field string
	valid bool
}

// fieldChecks checks each field by itself and returns the results in the protocol's order.
func (s *Submission) fieldChecks() []fieldCheck {
	return []fieldCheck{
		{"id", s.ID != nil && ValidJobID(*s.ID)},
		{"trade", isNonEmpty(s.Class)},
		{"crew", s.Team != nil},
		{"shape", s.Shape != nil && s.Shape.IsKnown()},
		{"rank", s.Priority != nil},
		{"pieces", s.Tasks != nil && *s.Tasks >= 1 && *s.Tasks <= MaxTasks},
		{"cores", isFiniteNonNegative(s.Cores)},
		{"accelerators", isFiniteNonNegative(s.GPUs)},
		{"memoryGb", isFiniteNonNegative(s.MemoryGB)},
		{"kit", isNonEmpty(s.Image)},
		{"pullGb", isFiniteNonNegative(s.ImageGB)},
		{"yard", s.Zone == nil || isNonEmpty(s.Zone)}, // null: any zone
		{"together", s.SingleZone != nil},
		{"apart", s.SpreadZones != nil},
		{"loaners", s.AllowSpot != nil},
		{"reckonS", isFiniteNonNegative(s.Estimate)},
		{"markS", isFiniteNonNegative(s.CheckpointInterval)},
		{"stowS", isFiniteNonNegative(s.CheckpointDuration)},
		{"dueS", s.Deadline == nil || isFiniteNonNegative(s.Deadline)}, // null: no deadline
	}
}

// validDependencies checks the IDs of dependencies, and returns the IDs without duplicates.
func validDependencies(names []string) ([]string, error) {
	var dependencies []string
	for _, name := range names {
		if !ValidJobID(name) {
			return nil, &FieldError{"awaits"}
		}
		if !slices.Contains(dependencies, name) {
			dependencies = append(dependencies, name)
		}
	}
	return dependencies, nil
}

func isNonEmpty(s *string) bool { return s != nil && *s != "" }

// isFiniteNonNegative reports whether a number is given, finite and not negative.
func isFiniteNonNegative(f *float64) bool {
	return f != nil && *f >= 0 && !math.IsInf(*f, 0) // NaN fails the comparison
}

// valueOrZero returns the value that p points to, or the zero value if p is nil.
func valueOrZero[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}
