// Package messenger owns the internal protocol between dotterelrill's own
// processes: the messages, the gRPC services that carry them, and the clients.
//
// Messages are Go structs encoded as CBOR by the encoder, so no code generator
// is needed. Every request names its cell. A refusal is returned inside the
// reply as a numbered code, so that a transport failure is never mistaken for a
// decision. The package makes no decisions: replicas and entries provide the
// functions that its servers call.
package messenger

import (
	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// ProposeRequest asks the leader to append a command to the log. The leader
// sets the command's timestamp.
type ProposeRequest struct {
	Command applier.Command
}

// ProposeReply returns the result of a command. Refusal is set if the command
// was not committed, or if it is unknown whether it was.
type ProposeReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	Result  applier.Result
}

// AttemptKey identifies an attempt.
type AttemptKey struct {
	Task    modeller.TaskID
	Attempt modeller.Attempt
}

// ReportKey identifies a report about an attempt.
type ReportKey struct {
	Task    modeller.TaskID
	Attempt modeller.Attempt
	Phase   modeller.Phase
}

// Heartbeat is a worker's heartbeat, as an entry forwards it to the leader.
type Heartbeat struct {
	// Worker is the full description until a heartbeat that carries it has been
	// answered, then a short one. If the short one is refused with
	// UnknownWorker, the next heartbeat carries the full description again.
	Worker modeller.WorkerDescription
	// Clock is the worker's monotonic clock when it sent the heartbeat.
	Clock modeller.Millis
	// Clockless is true if the worker cannot report its clock. Answers then
	// carry durations (Span) in place of deadlines.
	Clockless bool `json:",omitzero" cbor:",omitzero"`
	// Leaving is true once the worker accepts no new work.
	Leaving bool `json:",omitzero" cbor:",omitzero"`
	// Gone is true in the last heartbeat of a process, when it no longer runs
	// any attempt.
	Gone    bool             `json:",omitzero" cbor:",omitzero"`
	Running []AttemptKey     `json:",omitempty" cbor:",omitempty"`
	Reports []applier.Report `json:",omitempty" cbor:",omitempty"`
	// Used is the current resource usage of the worker's attempts.
	Used modeller.Resources `json:",omitzero" cbor:",omitzero"`
}

// HeartbeatRequest carries a batch of heartbeats from one entry.
type HeartbeatRequest struct {
	Cell  modeller.CellName
	Entry string
	Beats []Heartbeat
}

// HeartbeatReply answers a batch of heartbeats, in the order of the request.
type HeartbeatReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	Answers []HeartbeatAnswer
}

// HeartbeatAnswer answers a heartbeat: it renews the worker's lease and lists
// the attempts to start and stop.
type HeartbeatAnswer struct {
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	// Refusal is set if the lease was not renewed.
	Refusal *coder.Refusal `json:",omitempty" cbor:",omitempty"`
	// Deadline is the end of the lease on the worker's clock.
	Deadline modeller.Millis
	// Interval is the time until the worker's next heartbeat, unless it has
	// something to report earlier. Zero leaves the interval to the worker.
	Interval modeller.Millis `json:",omitzero" cbor:",omitzero"`
	// Span is the remaining duration of the lease, for a worker that cannot
	// report its clock.
	Span modeller.Millis `json:",omitzero" cbor:",omitzero"`
	// Stay is true while the successor of a service on a leaving worker is not
	// yet running elsewhere; the worker must not end until it is.
	Stay bool `json:",omitzero" cbor:",omitzero"`
	// Done lists the reports that are acknowledged and need no resending.
	Done   []ReportKey  `json:",omitempty" cbor:",omitempty"`
	Starts []Start      `json:",omitempty" cbor:",omitempty"`
	Stops  []AttemptKey `json:",omitempty" cbor:",omitempty"`
}

// Start orders a worker to run an attempt.
type Start struct {
	Cell        modeller.CellName
	Task        modeller.TaskID
	Attempt     modeller.Attempt
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	// Deadline is the latest time, on the worker's clock, to start the attempt;
	// the worker refuses the order after it.
	Deadline modeller.Millis
	// Span replaces Deadline for a worker that cannot report its clock; it
	// counts from the time of sending.
	Span          modeller.Millis
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
	Kind          modeller.Kind
	Size          modeller.Resources
	RunTime       modeller.Millis
	Payload       []byte
}

// Order is a message that the leader pushes to an entry for delivery to a
// worker. Exactly one of Start and Stop is set.
type Order struct {
	// Address is the address at which the worker accepts orders.
	Address string
	Worker  modeller.WorkerName
	Start   *Start      `cbor:",omitempty"`
	Stop    *AttemptKey `cbor:",omitempty"`
}

// OrdersRequest subscribes an entry to the leader's orders. The leader prefers
// an entry in the worker's data centre.
type OrdersRequest struct {
	Cell       modeller.CellName
	Entry      string
	DataCentre modeller.DataCentreName
}

// ReportRequest forwards reports that a worker sent outside of a heartbeat.
type ReportRequest struct {
	Cell    modeller.CellName
	Reports []applier.Report
}

// ReportReply answers reports in the order of the request.
type ReportReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	Codes   []coder.Code
}

// JobRequest asks for one job. If Wait is positive, the leader delays the reply
// until the job has an outcome, but not longer than Wait.
type JobRequest struct {
	Cell modeller.CellName
	Job  modeller.JobID
	// Key is the hash of the caller's key; it is ignored if Operator is true.
	Key      modeller.KeyHash
	Operator bool
	Wait     modeller.Millis
}

// JobReply returns a job in the leader's state.
type JobReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	Job     *applier.Job   `cbor:",omitempty"`
}

// QueryRequest asks for an overview of the state.
type QueryRequest struct {
	Cell modeller.CellName
	// The fields from Accounts to StagedAccounts select the lists to return.
	Accounts, Workers, Jobs, Keys, Members, Templates, DataCentres, StagedAccounts bool
	// ClientAccount limits jobs and queues to one account, if it is set.
	ClientAccount modeller.ClientAccountName
	// Open limits jobs to those without an outcome.
	Open bool
	// Before limits jobs to those with a lower number, if it is not zero.
	Before modeller.JobID
	// Most is the maximum number of jobs; the newest are returned.
	Most int
}

// QueryReply is an overview of the state at an index of the log.
type QueryReply struct {
	Refusal   *coder.Refusal `cbor:",omitempty"`
	Index     uint64
	Now       modeller.Millis
	Revision  modeller.Revision
	Checksum  uint32
	Leader    journaler.ReplicaID
	Term      uint64
	Accounts  []AccountRow
	Workers   []WorkerRow
	Jobs      []JobRow
	Keys      []KeyRow
	Members   []MemberRow
	Templates []modeller.Template
	// DataCentres lists the known data centres by name.
	DataCentres []DataCentreRow `json:",omitempty" cbor:",omitempty"`
	// StagedAccounts lists the client accounts of staged jobs by name.
	StagedAccounts []StagedAccountRow `json:",omitempty" cbor:",omitempty"`
}

// AccountRow describes a client account: its share, limit and current use.
type AccountRow struct {
	Name     modeller.ClientAccountName
	Template modeller.TemplateName
	Share    int64
	Limit    modeller.Limit
	Used     modeller.Resources
	Live     int64
	Queues   []QueueRow
}

// StagedAccountRow describes a client account of staged jobs: one that the deployment lists,
// that has open jobs, or whose live attempts occupy room.
type StagedAccountRow struct {
	// Name is empty for jobs without a known key, which queues that are open to all accept.
	Name modeller.ClientAccountName
	// Weight is in jobs a second; it is zero if the deployment does not list the account,
	// whose jobs then count as within it.
	Weight int64
	// Limit bounds Used; a zero component means no limit.
	Limit modeller.Resources
	// Used is what the live attempts take, also those of jobs that are over.
	Used modeller.Resources
	// Open counts the jobs that are not over, Waiting those of them of which no task was
	// ever placed, and Excess those that were handed in beyond the weight.
	Open, Waiting, Excess int
	// IntakeThousandths is how many thousandths of a job the account may still hand in
	// within its weight at the time of the reply.
	IntakeThousandths int64
}

// QueueRow describes a queue.
type QueueRow struct {
	Queue   modeller.Queue
	Waiting uint32
}

// WorkerRow describes a worker.
type WorkerRow struct {
	Description modeller.WorkerDescription
	State       modeller.WorkerState
	Reason      string
	Used        modeller.Resources
	Live        int
}

// DataCentreRow describes a data centre.
type DataCentreRow struct {
	Name modeller.DataCentreName
	// Evacuated is when the evacuation in force was ordered, and Restored when the last
	// one was withdrawn; zero means that there is none.
	Evacuated, Restored modeller.Millis
	Workers             int
	// Live counts the tasks that run there or may begin there, of staged and other jobs.
	Live int
}

// JobRow summarises a job.
type JobRow struct {
	Spec    applier.Spec
	Open    uint32
	Running uint32
	Outcome modeller.Outcome
	Detail  string
	Ended   modeller.Millis
}

// KeyRow describes a key by its fingerprint.
type KeyRow struct {
	Fingerprint   string
	ClientAccount modeller.ClientAccountName
	Granted       modeller.Revision
	Withdrawn     modeller.Revision
}

// MemberRow describes a replica.
type MemberRow struct {
	Member journaler.Member
	Leader bool
}

// HistoryRequest asks for log entries.
type HistoryRequest struct {
	Cell modeller.CellName
	// From is the first index to return; zero starts at the oldest entry that
	// is retained.
	From uint64
	// Job limits the records to those about one job, if it is not zero.
	Job modeller.JobID
	// Follow keeps the stream open and sends new records as they are committed.
	Follow bool
}

// HistoryRecord is one log entry with the result of its command.
type HistoryRecord struct {
	Entry   journaler.Entry
	Command *applier.Command `cbor:",omitempty"`
	Result  applier.Result
	// Events are the state changes that the entry caused.
	Events []applier.Event
}

// IdentifyRequest asks a replica for its identity while a cell is being formed.
type IdentifyRequest struct {
	Cell    modeller.CellName
	ID      journaler.ReplicaID
	Address string
}

// IdentifyReply returns a replica's identity.
type IdentifyReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	ID      journaler.ReplicaID
	// Formed is true if the replica already belongs to a formed cell.
	Formed bool
	// Relay is true if the process is a relay, which never keeps a log.
	Relay   bool
	Members []journaler.Member
	// Known are the addresses of replicas that a relay knows.
	Known []string `cbor:",omitempty"`
}

// JoinRequest asks the leader to add a new replica as a learner.
type JoinRequest struct {
	Cell   modeller.CellName
	Member journaler.Member
}

// JoinReply answers a JoinRequest or MemberRequest; the change was made if
// Refusal is nil.
type JoinReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	// Members are the cell's replicas, so that a new replica can reply to them.
	Members []journaler.Member `cbor:",omitempty"`
}

// MemberRequest asks the leader to remove a replica that is permanently lost.
type MemberRequest struct {
	Cell   modeller.CellName
	Remove journaler.ReplicaID
}
