package templater

import (
	"fmt"
	"time"

	"github.com/dotterelrill/dotterelrill/configurer"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Upper bounds of the values in a template.
const (
	maxShare           = 1_000_000
	maxTasks           = 1_000_000
	maxWaiting         = 1_000_000
	maxRetries         = 100
	maxRunTime         = 365 * 24 * time.Hour
	maxMilliProcessors = 1_000_000_000
	maxMemoryMiB       = 1 << 40
	maxAccelerators    = 1_000_000
)

// Keys returns the declarations of all keys of a template, for the
// documentation.
func Keys() []configurer.Key {
	keys := new(templateFields).settingSet(templateSection).Keys
	return append(keys, new(queueFields).settingSet(queuePrefix+"NAME").Keys...)
}

// templateFields are the parsed values of the section Template.
type templateFields struct {
	name, account string
	share         int64
	limit         modeller.Limit
	keyHashes     []string
}

func (fields *templateFields) settingSet(section string) *configurer.Set {
	set := &configurer.Set{}
	limit := &fields.limit.Resources
	set.String(&fields.name, configurer.Key{Section: section, Name: "Name", Required: true, Help: "Name of the template."})
	set.String(&fields.account, configurer.Key{Section: section, Name: "ClientAccount", Required: true, Help: "Client account that the template describes; no two templates share one."})
	set.Int(&fields.share, 1, maxShare, configurer.Key{Section: section, Name: "Share", Default: "1", Help: "Weight of the client account when the fleet is full."})
	set.Int(&limit.MilliProcessors, 0, maxMilliProcessors, configurer.Key{Section: section, Name: "LimitMilliProcessors", Required: true, Help: "Upper limit of the processors of the client account's running tasks across the fleet, in thousandths of a processor core."})
	set.Int(&limit.MemoryMiB, 0, maxMemoryMiB, configurer.Key{Section: section, Name: "LimitMemoryMiB", Required: true, Help: "Upper limit of the memory of the client account's running tasks across the fleet, in MiB."})
	set.Int(&limit.Accelerators, 0, maxAccelerators, configurer.Key{Section: section, Name: "LimitAccelerators", Default: "0", Help: "Upper limit of the accelerators of the client account's running tasks across the fleet, in devices."})
	set.Int(&fields.limit.Tasks, 0, maxTasks, configurer.Key{Section: section, Name: "LimitTasks", Default: "1000000", Help: "Upper limit of the number of the client account's running tasks across the fleet."})
	set.Strings(&fields.keyHashes, configurer.Key{Section: section, Name: "KeyHashes", Help: "SHA-256 hashes in hexadecimal of the keys that may submit work, separated by commas."})
	return set
}

// queueFields are the parsed values of a queue's section.
type queueFields struct {
	queue                  modeller.Queue
	kind, urgency          string
	runTime, deadlineAfter time.Duration
	maxRetries, maxWaiting int64
}

func (fields *queueFields) settingSet(section string) *configurer.Set {
	set := &configurer.Set{}
	queue := &fields.queue
	set.String(&fields.kind, configurer.Key{Section: section, Name: "Kind", Required: true, Allowed: "Batch, Service or Gang", Help: "Kind of work: independent tasks that end by themselves, tasks that run until they are stopped, or tasks that all start together."})
	set.String(&fields.urgency, configurer.Key{Section: section, Name: "Urgency", Default: "Ordinary", Allowed: "Urgent, Ordinary or Deferrable", Help: "Urgency class of the work; waiting work of a more urgent class is placed first."})
	set.Bool(&queue.OpenToAll, configurer.Key{Section: section, Name: "OpenToAll", Default: "false", Help: "Whether work is accepted without a key."})
	set.Bool(&queue.Idempotent, configurer.Key{Section: section, Name: "Idempotent", Default: "true", Help: "Whether a task may be started again after an attempt that may have run."})
	set.Int(&queue.Size.MilliProcessors, 1, modeller.MaxMilliProcessors, configurer.Key{Section: section, Name: "MilliProcessors", Required: true, Help: "Processors of a task, in thousandths of a processor core, unless its submission sets another size."})
	set.Int(&queue.Size.MemoryMiB, 1, modeller.MaxMemoryMiB, configurer.Key{Section: section, Name: "MemoryMiB", Required: true, Help: "Memory of a task, in MiB, unless its submission sets another size."})
	set.Int(&queue.Size.Accelerators, 0, modeller.MaxAccelerators, configurer.Key{Section: section, Name: "Accelerators", Default: "0", Help: "Accelerators of a task, in devices, unless its submission sets another size."})
	set.Duration(&fields.runTime, 0, maxRunTime, configurer.Key{Section: section, Name: "RunTime", Default: "1m", Help: "Expected run time of a task, used in scheduling decisions; a longer run is not stopped."})
	set.Duration(&fields.deadlineAfter, 0, maxRunTime, configurer.Key{Section: section, Name: "DeadlineAfter", Default: "0s", Help: "Time from submission until the work must be done; 0s for no deadline."})
	set.Int(&fields.maxRetries, 0, maxRetries, configurer.Key{Section: section, Name: "MaxRetries", Default: "3", Help: "Maximum number of attempts of a task after its first one."})
	set.Int(&fields.maxWaiting, 1, maxWaiting, configurer.Key{Section: section, Name: "MaxWaiting", Default: "10000", Help: "Maximum number of tasks waiting in the queue."})
	set.Check(func() []configurer.Fault { return checkQueue(queue, section, fields.kind, fields.urgency) })
	return set
}

func checkQueue(queue *modeller.Queue, section, kind, urgency string) []configurer.Fault {
	var faults []configurer.Fault
	var ok bool
	if queue.Kind, ok = modeller.ParseKind(kind); !ok {
		faults = append(faults, configurer.Fault{Section: section, Key: "Kind", Problem: fmt.Sprintf("%q is not a kind", kind), Allowed: "Batch, Service or Gang"})
	}
	if queue.Urgency, ok = modeller.ParseUrgency(urgency); !ok {
		faults = append(faults, configurer.Fault{Section: section, Key: "Urgency", Problem: fmt.Sprintf("%q is not an urgency", urgency), Allowed: "Urgent, Ordinary or Deferrable"})
	}
	if queue.Kind == modeller.Service && !queue.Idempotent {
		faults = append(faults, configurer.Fault{Section: section, Key: "Idempotent", Problem: "a service is started again after its worker is lost", Allowed: "true for Kind = Service"})
	}
	return faults
}
