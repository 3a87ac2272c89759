package modeller

// Kind is the kind of work that a queue accepts.
type Kind uint8

// The kinds of work. The tasks of a Gang are placed together or not at all.
const (
	Batch Kind = iota + 1
	Service
	Gang
)

// Urgency orders queues: work of a smaller value is placed first.
type Urgency uint8

// The urgencies.
const (
	Urgent Urgency = iota + 1
	Ordinary
	Deferrable
)

// The names of kinds and urgencies in templates and records.
var (
	kindNames    = []string{"", "Batch", "Service", "Gang"}
	urgencyNames = []string{"", "Urgent", "Ordinary", "Deferrable"}
)

// String returns the name that templates use.
func (kind Kind) String() string { return nameOf(kindNames, int(kind)) }

// String returns the name that templates use.
func (urgency Urgency) String() string { return nameOf(urgencyNames, int(urgency)) }

// ParseKind returns the kind with that name, and whether there is one.
func ParseKind(name string) (Kind, bool) {
	index, ok := parseName(kindNames, name)
	return Kind(index), ok
}

// ParseUrgency returns the urgency with that name, and whether there is one.
func ParseUrgency(name string) (Urgency, bool) {
	index, ok := parseName(urgencyNames, name)
	return Urgency(index), ok
}

func nameOf(names []string, index int) string {
	if index <= 0 || index >= len(names) {
		return "Invalid"
	}
	return names[index]
}

func parseName(names []string, name string) (int, bool) {
	for index, candidate := range names {
		if index > 0 && candidate == name {
			return index, true
		}
	}
	return 0, false
}

// Limit is the maximum that a client account may have running across the fleet.
type Limit struct {
	Resources Resources
	// Tasks is the maximum number of running tasks.
	Tasks int64
}

// Queue describes one queue of a client account.
type Queue struct {
	Name    QueueName
	Kind    Kind
	Urgency Urgency
	// OpenToAll is true if the queue accepts work without a key.
	OpenToAll bool
	// Idempotent is true if a task may be started again after an attempt that
	// may have run.
	Idempotent bool
	// Size is the size of a task whose submission states none.
	Size Resources
	// RunTime is the declared run time of a task whose submission states none.
	// Only the placement policy uses it.
	RunTime Millis
	// DeadlineAfter is the time from a job's submission to its deadline, zero
	// for no deadline.
	DeadlineAfter Millis
	// MaxRetries is the maximum number of retries of a task after a failed
	// attempt.
	MaxRetries uint32
	// MaxWaiting is the maximum number of tasks waiting in the queue. A single
	// larger job is accepted by an empty queue.
	MaxWaiting uint32
}

// Template is the compiled configuration of one client account.
type Template struct {
	Name          TemplateName
	ClientAccount ClientAccountName
	// Share is the client account's weight when the fleet is full, at least 1.
	Share int64
	Limit Limit
	// Keys are the hashes of the keys that the template grants.
	Keys   []KeyHash
	Queues []Queue
	// Revision is the configuration revision that last changed the template.
	Revision Revision
	// Source is the text that the operator applied, for auditing.
	Source string
}

// Queue returns the queue with that name, and whether there is one.
func (template *Template) Queue(name QueueName) (Queue, bool) {
	for _, queue := range template.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return Queue{}, false
}
