package stager

import "github.com/dotterelrill/dotterelrill/modeller"

// Batch is what one leader puts into the log at once.
type Batch struct {
	// Term and Sequence are the leader's term and the batch's number in it. A
	// batch that does not follow on is refused whole, so that a leader's own
	// copy of the state is what its batches are applied to.
	Term, Sequence uint64
	// Now is the leader's time of day.
	Now      modeller.Millis
	Commands []Command
}

// Command is one change: exactly one pointer is set.
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
}

// Begin opens a leader's term.
type Begin struct {
	// KeepEnded is how long a job that is over is remembered.
	KeepEnded modeller.Millis
}

// Submit brings a job in.
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

// Worker is one life of a worker.
type Worker struct {
	Name       modeller.WorkerName
	Life       Life
	Pool       PoolName
	VM         VMName
	Address    string
	DataCentre modeller.DataCentreName
	Rack       modeller.RackName
	Labels     []string
	Capacity   modeller.Resources
	// Leaving is true once the worker is to get nothing new.
	Leaving bool

	used modeller.Resources
	live map[TaskID]struct{}
}

// Used returns what the worker's live attempts hold.
func (worker *Worker) Used() modeller.Resources { return worker.used }

// Drop forgets a worker's life, which has no live attempts any more.
type Drop struct {
	Worker modeller.WorkerName
	Life   Life
}

// Place commits tasks of one step to workers. A gang's tasks come in one.
type Place struct {
	Step  StepID
	Tasks []Placed
}

// Placed is where one task goes.
type Placed struct {
	_       struct{} `cbor:",toarray"`
	Index   uint32
	Attempt modeller.Attempt
	Worker  modeller.WorkerName
	Life    Life
	Ticket  Ticket
}

// Ending is how an attempt ended.
type Ending uint8

// The endings. Only Failing counts against a task.
const (
	// Succeeding means that the attempt did its work.
	Succeeding Ending = iota + 1
	// Failing means that it failed by its own or its worker's fault.
	Failing
	// Stopping means that it was stopped on request.
	Stopping
	// Lapsing means that its lease ran out.
	Lapsing
	// Breaking means that another task of its gang ended.
	Breaking
	// Waiting means that the others of its gang did not come in time.
	Waiting
	// Losing means that its worker is gone.
	Losing
	// Refusing means that it was never started and never will be.
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

// End records that an attempt is over and holds no room any more.
type End struct {
	Task    TaskID
	Attempt modeller.Attempt
	How     Ending
	// Saved is its newest checkpoint, if there is one.
	Saved Checkpoint `cbor:",omitzero"`
}

// Wave is an upkeep of VMs, at most so many at once.
type Wave struct {
	Number uint64
	VMs    []VMName
	// Until is when all should have had theirs.
	Until modeller.Millis
	// MostAtOnce bounds the VMs that are down for it at the same time.
	MostAtOnce uint32
	// Done lists the VMs that have had theirs or are gone.
	Done []VMName `cbor:",omitempty"`
}

// Completed reports whether all VMs of the wave have had their upkeep.
func (wave *Wave) Completed() bool { return len(wave.Done) >= len(wave.VMs) }
