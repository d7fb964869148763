package shard

// Operation is a kind of work on the state of a shard.
type Operation string

// The operations that a shard reports to its controller.
const (
	OperationSchedule         Operation = "schedule job"
	OperationMoveChunk        Operation = "move chunk"
	OperationReport           Operation = "reconcile report"
	OperationJobRecord        Operation = "apply job record"
	OperationProgressRecord   Operation = "apply progress record"
	OperationProgressWrite    Operation = "write progress"
	OperationCompleteGang     Operation = "complete gang"
	OperationStopGang         Operation = "stop gang"
	OperationEvaluateSuspects Operation = "evaluate suspects"
	OperationRemoveAttempts   Operation = "remove attempts of finished job"
	OperationTeamUsage        Operation = "sum up team usage"
	OperationCountFailing     Operation = "count failing machines"
	OperationTickJob          Operation = "tick job"
	OperationTickMachine      Operation = "tick machine"
)

// Activity is what the event loop works on. Operators find it in the log when a controller does not
// answer.
type Activity struct {
	Operation Operation
	Job       string // ID of the job, if the operation is about a job
	Machine   string // ID of the machine, if the operation is about a machine
}

func (s *Shard) beginJobOperation(operation Operation, id string) {
	s.controller.SetActivity(Activity{Operation: operation, Job: id})
}

func (s *Shard) beginMachineOperation(operation Operation, id string) {
	s.controller.SetActivity(Activity{Operation: operation, Machine: id})
}
