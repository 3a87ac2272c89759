package stager

import "github.com/dotterelrill/dotterelrill/modeller"

// Batch is a group of commands that a leader appends to the log together.
type Batch struct {
	// Term is the leader's term, and Sequence the batch's number within it. A
	// batch that is out of sequence is refused as a whole, so that the leader's
	// own copy of the state is exactly what its batches are applied to.
	Term, Sequence uint64
	// Now is the leader's time of day.
	Now      modeller.Millis
	Commands []Command
}

// Command is one change: exactly one of the pointers is set.
type Command struct {
	// Begin opens a leader's term.
	Begin  *Begin      `cbor:",omitempty"`
	Deploy *Deployment `cbor:",omitempty"`
	Submit *Submit     `cbor:",omitempty"`
	Cancel *Cancel     `cbor:",omitempty"`
	Admit  *Worker     `cbor:",omitempty"`
	Drop   *Drop       `cbor:",omitempty"`
	Place  *Place      `cbor:",omitempty"`
	End    *End        `cbor:",omitempty"`
	Wave   *Wave       `cbor:",omitempty"`
	// Evacuate takes a data centre out of service or puts it back.
	Evacuate *Evacuate `cbor:",omitempty"`
}

// Begin opens a leader's term. The first batch of a term must start with it.
type Begin struct {
	// KeepEnded is how long a job is retained after its end.
	KeepEnded modeller.Millis
}

// Submit adds a job.
type Submit struct {
	ID            JobID
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
	Payload       string
	Steps         []Step
	Schedule      Schedule `cbor:",omitzero"`
}

// Cancel ends a job.
type Cancel struct {
	Job JobID
}

// Worker is one incarnation of a worker.
type Worker struct {
	Name       modeller.WorkerName
	Life       Incarnation
	Pool       PoolName
	VM         VMName
	Address    string
	DataCentre modeller.DataCentreName
	Rack       modeller.RackName
	Labels     []string
	Capacity   modeller.Resources
	// Leaving is true once the worker is given no new work.
	Leaving bool
	// Number is that of the announcement that the other fields are from, or zero if it had
	// none. Earlier announcements of the incarnation are out of date.
	Number uint64 `cbor:",omitzero"`

	used      modeller.Resources
	liveTasks map[TaskID]struct{}
}

// Used returns what the worker's live attempts take of its capacity.
func (worker *Worker) Used() modeller.Resources { return worker.used }

// Drop removes an incarnation of a worker that has no live attempts.
type Drop struct {
	Worker modeller.WorkerName
	Life   Incarnation
}

// Place places tasks of one step on workers. All tasks of a gang must be in one
// Place.
type Place struct {
	Step  StepID
	Tasks []TaskPlacement
}

// TaskPlacement is the placement of one task.
type TaskPlacement struct {
	_       struct{} `cbor:",toarray"`
	Index   uint32
	Attempt modeller.Attempt
	Worker  modeller.WorkerName
	Life    Incarnation
	Ticket  Ticket
}

// Ending is the way in which an attempt ended.
type Ending uint8

// The endings. Only Failing counts against a task.
const (
	// Succeeding means that the attempt completed its work.
	Succeeding Ending = iota + 1
	// Failing means that it failed through its own fault or its worker's.
	Failing
	// Stopping means that it was stopped on request.
	Stopping
	// Lapsing means that its lease expired.
	Lapsing
	// Breaking means that another task of its gang ended.
	Breaking
	// Waiting means that the other tasks of its gang did not start in time.
	Waiting
	// Losing means that its worker was lost.
	Losing
	// Refusing means that it was not started and never will be.
	Refusing
)

var endingNames = []string{"", "Succeeding", "Failing", "Stopping", "Lapsing", "Breaking", "Waiting", "Losing", "Refusing"}

// String returns the ending's name.
func (ending Ending) String() string {
	if int(ending) >= len(endingNames) {
		return "Invalid"
	}
	return endingNames[ending]
}

// End records that an attempt has ended and no longer occupies room.
type End struct {
	Task    TaskID
	Attempt modeller.Attempt
	How     Ending
	// Saved is the attempt's latest checkpoint, if there is one.
	Saved Checkpoint `cbor:",omitzero"`
	// Crash tells how surely the task has crashed the worker. If Unsettled is true, the
	// worker may as well be cut off, and the evidence counts once another incarnation or
	// worker is admitted in its place.
	Crash     Evidence `cbor:",omitzero"`
	Unsettled bool     `cbor:",omitzero"`
	// Ran is how long the attempt had run when its worker was lost. RanLong is true if
	// that is far longer than a task takes to crash its worker.
	Ran     modeller.Millis `cbor:",omitzero"`
	RanLong bool            `cbor:",omitzero"`
	// Unbegun is true if its worker has not shown that the attempt began.
	Unbegun bool `cbor:",omitzero"`
}

// Wave is a maintenance wave over VMs with a limit on how many are down at
// once, or progress of a known wave.
type Wave struct {
	Number uint64
	VMs    []VMName
	// Until is when the maintenance of all VMs should be complete.
	Until modeller.Millis
	// MostAtOnce limits the VMs that are down for maintenance at the same time.
	MostAtOnce uint32
	// Done lists the VMs whose maintenance is complete or that no longer exist.
	Done []VMName `cbor:",omitempty"`
}

// Completed reports whether the maintenance of all VMs of the wave is complete.
func (wave *Wave) Completed() bool { return len(wave.Done) >= len(wave.VMs) }
