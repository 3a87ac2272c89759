// Package messenger owns the protocol between dotterelrill's own processes:
// the messages, the gRPC services that carry them, and the clients.
//
// Messages are Go structs in the encoder's CBOR, so no generator is needed.
// Every request names its cell, and a refusal travels inside the reply as a
// numbered code, so that a failure of the transport is never mistaken for a
// decision. The package decides nothing; replicas and entries fill in the
// functions of its servers.
package messenger

import (
	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// ProposeRequest asks the leader to put a command into the log. The leader
// stamps the time.
type ProposeRequest struct {
	Command applier.Command
}

// ProposeReply is the decision about a command. Refusal is set if the command
// did not come into the log, or may not have.
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

// Beat is a worker's heartbeat as an entry passes it on.
type Beat struct {
	// Worker is brief once a beat with the whole description was answered. If
	// that is refused with UnknownWorker, the next one is whole again.
	Worker modeller.WorkerDescription
	// Clock is the worker's own monotonic clock when it sent the beat.
	Clock modeller.Millis
	// Clockless is true if the worker cannot state its clock. It is then given
	// spans in place of deadlines.
	Clockless bool `json:",omitzero" cbor:",omitzero"`
	// Leaving is true once the worker wants no new work.
	Leaving bool `json:",omitzero" cbor:",omitzero"`
	// Gone is true in the last beat of a process that runs nothing any more.
	Gone    bool             `json:",omitzero" cbor:",omitzero"`
	Running []AttemptKey     `json:",omitempty" cbor:",omitempty"`
	Reports []applier.Report `json:",omitempty" cbor:",omitempty"`
	// Used is what the worker's attempts are using now.
	Used modeller.Resources `json:",omitzero" cbor:",omitzero"`
}

// BeatRequest carries the beats that an entry has gathered.
type BeatRequest struct {
	Cell  modeller.CellName
	Entry string
	Beats []Beat
}

// BeatReply answers beats in their order.
type BeatReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	Answers []BeatAnswer
}

// BeatAnswer renews a worker's lease and tells it what to do.
type BeatAnswer struct {
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	// Refusal is set if the lease was not renewed.
	Refusal *coder.Refusal `json:",omitempty" cbor:",omitempty"`
	// Deadline is the end of the lease on the worker's clock.
	Deadline modeller.Millis
	// Interval is how long the worker is to wait until its next beat, unless it
	// has something to report. Zero leaves that to the worker.
	Interval modeller.Millis `json:",omitzero" cbor:",omitzero"`
	// Span is how long the lease runs on from now, for a worker that cannot
	// state its clock.
	Span modeller.Millis `json:",omitzero" cbor:",omitzero"`
	// Stay is true while a service that a leaving worker handed on does not run
	// elsewhere yet; the worker is not to end before.
	Stay bool `json:",omitzero" cbor:",omitzero"`
	// Done lists the reports that need not be sent again.
	Done   []ReportKey  `json:",omitempty" cbor:",omitempty"`
	Starts []Start      `json:",omitempty" cbor:",omitempty"`
	Stops  []AttemptKey `json:",omitempty" cbor:",omitempty"`
}

// Start tells a worker to run an attempt.
type Start struct {
	Cell        modeller.CellName
	Task        modeller.TaskID
	Attempt     modeller.Attempt
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	// Deadline is on the worker's clock; the worker refuses a start after it.
	Deadline modeller.Millis
	// Span is set in place of Deadline for a worker that cannot state its clock;
	// it counts from the sending.
	Span          modeller.Millis
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
	Kind          modeller.Kind
	Size          modeller.Resources
	RunTime       modeller.Millis
	Payload       []byte
}

// Order is pushed to an entry for a worker: exactly one pointer is set.
type Order struct {
	// Address is where the worker takes orders.
	Address string
	Worker  modeller.WorkerName
	Start   *Start      `cbor:",omitempty"`
	Stop    *AttemptKey `cbor:",omitempty"`
}

// OrdersRequest attaches an entry to the leader.
type OrdersRequest struct {
	Cell       modeller.CellName
	Entry      string
	DataCentre modeller.DataCentreName
}

// ReportRequest passes on reports that came outside of a beat.
type ReportRequest struct {
	Cell    modeller.CellName
	Reports []applier.Report
}

// ReportReply answers reports in their order.
type ReportReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	Codes   []coder.Code
}

// JobRequest asks for one job. If Wait is positive, the reply may wait that
// long for the job's outcome.
type JobRequest struct {
	Cell modeller.CellName
	Job  modeller.JobID
	// Key is the hash of the caller's key; it is not looked at for an operator.
	Key      modeller.KeyHash
	Operator bool
	Wait     modeller.Millis
}

// JobReply is a job as the leader sees it.
type JobReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	Job     *applier.Job   `cbor:",omitempty"`
}

// QueryRequest asks for an overview of the state.
type QueryRequest struct {
	Cell modeller.CellName
	// What selects the lists that are wanted.
	Accounts, Workers, Jobs, Keys, Members, Templates bool
	// ClientAccount narrows jobs and queues, if it is set.
	ClientAccount modeller.ClientAccountName
	// Open narrows jobs to those without an outcome.
	Open bool
	// Before narrows jobs to those with a lower number, if it is not zero.
	Before modeller.JobID
	// Most bounds the number of jobs; the newest come.
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
}

// AccountRow describes a client account's standing.
type AccountRow struct {
	Name     modeller.ClientAccountName
	Template modeller.TemplateName
	Share    int64
	Limit    modeller.Limit
	Used     modeller.Resources
	Live     int64
	Queues   []QueueRow
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

// JobRow describes a job in a line.
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
	// From is the first index wanted; zero begins with the oldest kept.
	From uint64
	// Job narrows the records to those about one job, if it is not zero.
	Job modeller.JobID
	// Follow keeps the stream open for records to come.
	Follow bool
}

// HistoryRecord is one log entry together with what was decided about it.
type HistoryRecord struct {
	Entry   journaler.Entry
	Command *applier.Command `cbor:",omitempty"`
	Result  applier.Result
	// Events are the changes that the entry brought about.
	Events []applier.Event
}

// IdentifyRequest asks a replica who it is, while a cell is being formed.
type IdentifyRequest struct {
	Cell    modeller.CellName
	ID      journaler.ReplicaID
	Address string
}

// IdentifyReply tells who a replica is.
type IdentifyReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	ID      journaler.ReplicaID
	// Formed is true if the replica belongs to a cell already.
	Formed bool
	// Relay is true if the process keeps no log and never will.
	Relay   bool
	Members []journaler.Member
}

// JoinRequest asks the leader to take a new replica in as a learner.
type JoinRequest struct {
	Cell   modeller.CellName
	Member journaler.Member
}

// JoinReply tells whether the new replica is a member.
type JoinReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	// Members are the cell's replicas, so that the new one can answer them.
	Members []journaler.Member `cbor:",omitempty"`
}

// MemberRequest asks the leader to remove a replica that is lost for good.
type MemberRequest struct {
	Cell   modeller.CellName
	Remove journaler.ReplicaID
}
