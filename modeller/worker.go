package modeller

// WorkerDescription is what a worker announces about itself. In a brief
// description only Name and Incarnation are set.
type WorkerDescription struct {
	Name WorkerName
	// Incarnation differs between any two processes with the same name.
	Incarnation Incarnation
	DataCentre  DataCentreName `json:",omitzero" cbor:",omitzero"`
	Rack        RackName       `json:",omitzero" cbor:",omitzero"`
	Capacity    Resources      `json:",omitzero" cbor:",omitzero"`
	// Slots is the maximum number of tasks that the worker runs at once.
	Slots int64 `json:",omitzero" cbor:",omitzero"`
	// Address is the address at which entries connect to the worker, as
	// host:port.
	Address string `json:",omitzero" cbor:",omitzero"`
}

// Brief returns the description with only the worker's name and incarnation.
func (description WorkerDescription) Brief() WorkerDescription {
	return WorkerDescription{Name: description.Name, Incarnation: description.Incarnation}
}

// WorkerState is the scheduling state of a worker.
type WorkerState uint8

// The states of a worker. A draining worker keeps its tasks and gets no new
// ones; neither does a quarantined worker until its quarantine ends.
const (
	WorkerUp WorkerState = iota + 1
	WorkerDraining
	WorkerQuarantined
	// WorkerProbation follows a quarantine: the worker gets one task at a time
	// until one has succeeded.
	WorkerProbation
)

var workerStateNames = []string{"", "Up", "Draining", "Quarantined", "Probation"}

// String returns the state's name.
func (state WorkerState) String() string { return nameOf(workerStateNames, int(state)) }
