package stager

import (
	"fmt"
	"time"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Deployment is the whole of what operators set for staged work.
type Deployment struct {
	// Version is the operator's number; it only grows.
	Version uint64
	// Digest tells two contents of one version apart.
	Digest [32]byte
	// Source is the text that the operator sent, for whoever reads it back.
	Source   []byte
	Queues   []Queue
	Pools    []Pool
	Accounts []Account
}

// Queue is where jobs of one kind come in.
type Queue struct {
	Name modeller.QueueName
	// Host and Prefix are where callers address the queue.
	Host, Prefix string
	Pool         PoolName
	// Rank is the operators' order of the queues, 0 first. The policy goes by
	// what each job's lateness still allows, and uses it for nothing yet.
	Rank int
	// MostFailures is how often a task may fail before its job does.
	MostFailures uint32
	// Slack is how many times its own work a job may take, and Allowance what
	// is added to that, until it is late.
	Slack     float64
	Allowance modeller.Millis
	// Timeout is how long callers wait for an answer.
	Timeout modeller.Millis
	// OpenToAll is true if work is taken without a key.
	OpenToAll bool
	// Advised is nil if every worker of the pool may run the queue's steps.
	Advised *Advised `cbor:",omitempty"`
}

// Advised describes how long an adviser takes, and how long its word holds.
type Advised struct {
	// Decide and PerWorker add up to the time of one call.
	Decide, PerWorker time.Duration
	// Validity is how long a ticket holds.
	Validity time.Duration
}

// Takes is how long a question about so many workers takes.
func (advised *Advised) Takes(workers int) time.Duration {
	return advised.Decide + time.Duration(workers)*advised.PerWorker
}

// Pool is a set of workers.
type Pool struct {
	Name PoolName
	// Guarded is true if the workers refuse what does not fit them.
	Guarded bool
	// Standby is true if the pool's VMs are off.
	Standby bool
}

// Account is a client account.
type Account struct {
	Name modeller.ClientAccountName
	Keys []modeller.KeyHash
	// Weight is its share when the fleet is full; it is at least 1.
	Weight int64
	// Limit is the most that it may have running; zero parts mean no limit.
	Limit modeller.Resources
}

// Check returns what makes the deployment invalid.
func (deployment *Deployment) Check() []string {
	var faults []string
	pools := make(map[PoolName]bool, len(deployment.Pools))
	for _, pool := range deployment.Pools {
		pools[pool.Name] = true
	}
	type place struct{ host, prefix string }
	places := make(map[place]modeller.QueueName, len(deployment.Queues))
	for at := range deployment.Queues {
		queue := &deployment.Queues[at]
		if !pools[queue.Pool] {
			faults = append(faults, fmt.Sprintf("queue %s names the unknown pool %q", queue.Name, queue.Pool))
		}
		if queue.Timeout <= 0 {
			faults = append(faults, fmt.Sprintf("queue %s has no timeout", queue.Name))
		}
		here := place{queue.Host, queue.Prefix}
		if other, taken := places[here]; taken {
			faults = append(faults, fmt.Sprintf("queues %s and %s share %s%s", other, queue.Name, queue.Host, queue.Prefix))
		}
		places[here] = queue.Name
	}
	return append(faults, deployment.checkKeys()...)
}

func (deployment *Deployment) checkKeys() []string {
	var faults []string
	owners := make(map[modeller.KeyHash]modeller.ClientAccountName)
	for _, account := range deployment.Accounts {
		for _, key := range account.Keys {
			if owner, taken := owners[key]; taken && owner != account.Name {
				faults = append(faults, fmt.Sprintf("client accounts %s and %s share a key", owner, account.Name))
			}
			owners[key] = account.Name
		}
	}
	return faults
}

// Account returns the client account that a key belongs to.
func (deployment *Deployment) Account(key modeller.KeyHash) (modeller.ClientAccountName, bool) {
	for at := range deployment.Accounts {
		for _, hash := range deployment.Accounts[at].Keys {
			if hash == key {
				return deployment.Accounts[at].Name, true
			}
		}
	}
	return "", false
}

// QueueAt returns the queue with the longest prefix of the path, or nil.
func (deployment *Deployment) QueueAt(host, path string) *Queue {
	var found *Queue
	for at := range deployment.Queues {
		queue := &deployment.Queues[at]
		if queue.Host != host || len(path) < len(queue.Prefix) || path[:len(queue.Prefix)] != queue.Prefix {
			continue
		}
		if found == nil || len(queue.Prefix) > len(found.Prefix) {
			found = queue
		}
	}
	return found
}

// Route returns the queue that a caller addresses and the client account that
// its key belongs to, or why it is refused.
func (deployment *Deployment) Route(host, path string, key modeller.KeyHash) (*Queue, modeller.ClientAccountName, *coder.Refusal) {
	queue := deployment.QueueAt(host, path)
	if queue == nil {
		return nil, "", coder.Refuse(coder.UnknownQueue, "no queue at %s%s", host, path)
	}
	account, known := deployment.Account(key)
	switch {
	case known || queue.OpenToAll:
		return queue, account, nil
	case key == "":
		return nil, "", coder.Refuse(coder.MissingKey, "queue %s takes work with a key only", queue.Name)
	}
	return nil, "", coder.Refuse(coder.WrongKey, "the key %s belongs to no client account", key.Fingerprint())
}
