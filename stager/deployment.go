package stager

import (
	"fmt"
	"time"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Deployment is the whole configuration of staged work that operators set.
type Deployment struct {
	// Version is the operator's number for this configuration; it only
	// increases.
	Version uint64
	// Digest distinguishes configurations that have the same version.
	Digest [32]byte
	// Source is the text that the operator sent, kept to be read back.
	Source   []byte
	Queues   []Queue
	Pools    []Pool
	Accounts []Account
}

// Queue accepts the jobs of one kind.
type Queue struct {
	Name modeller.QueueName
	// Host and Prefix are the host and path prefix under which callers address
	// the queue.
	Host, Prefix string
	Pool         PoolName
	// Rank is the operators' order of the queues, 0 first. It decides while the waiting
	// steps need more than what is free; otherwise the order is by how much delay each
	// job can still tolerate.
	Rank int
	// MostFailures is how many failures of a task make its job fail.
	MostFailures uint32
	// Slack and Allowance set a job's completion objective: Slack times the run
	// time of its critical path, plus Allowance. A job that takes longer is late.
	Slack     float64
	Allowance modeller.Millis
	// Timeout is how long callers wait for an answer.
	Timeout modeller.Millis
	// OpenToAll is true if jobs are accepted without a key.
	OpenToAll bool
	// Advised describes the timing of the queue's adviser; it is nil if every
	// worker of the pool may run the queue's steps.
	Advised *AdviserTiming `cbor:",omitempty"`
}

// AdviserTiming describes how long an adviser takes to answer, and how long its
// answers are valid.
type AdviserTiming struct {
	// Decide is the fixed part of the time that one call takes, and PerWorker
	// what each worker in the question adds to it.
	Decide, PerWorker time.Duration
	// Validity is how long a ticket is valid.
	Validity time.Duration
}

// AnswerTime returns how long the adviser takes to answer a question about the
// given number of workers.
func (adviserTiming *AdviserTiming) AnswerTime(workers int) time.Duration {
	return adviserTiming.Decide + time.Duration(workers)*adviserTiming.PerWorker
}

// Pool is a set of workers.
type Pool struct {
	Name PoolName
	// Guarded is true if the workers check admission themselves and refuse
	// tasks that do not fit.
	Guarded bool
	// Standby is true if the pool's VMs are powered off.
	Standby bool
}

// Account is a client account.
type Account struct {
	Name modeller.ClientAccountName
	Keys []modeller.KeyHash
	// Weight is the account's share when the fleet is full, in jobs a second; it is at
	// least 1. What the account hands in beyond it is served last while room is scarce.
	Weight int64
	// Limit bounds the resources of the account's live attempts; a zero
	// component means no limit.
	Limit modeller.Resources
}

// Check returns the faults that make the deployment invalid, or none.
func (deployment *Deployment) Check() []string {
	var faults []string
	pools := make(map[PoolName]bool, len(deployment.Pools))
	for _, pool := range deployment.Pools {
		pools[pool.Name] = true
	}
	type queueAddress struct{ host, prefix string }
	owners := make(map[queueAddress]modeller.QueueName, len(deployment.Queues))
	for index := range deployment.Queues {
		queue := &deployment.Queues[index]
		if !pools[queue.Pool] {
			faults = append(faults, fmt.Sprintf("queue %s names the unknown pool %q", queue.Name, queue.Pool))
		}
		if queue.Timeout <= 0 {
			faults = append(faults, fmt.Sprintf("queue %s has no timeout", queue.Name))
		}
		address := queueAddress{queue.Host, queue.Prefix}
		if other, exists := owners[address]; exists {
			faults = append(faults, fmt.Sprintf("queues %s and %s share %s%s", other, queue.Name, queue.Host, queue.Prefix))
		}
		owners[address] = queue.Name
	}
	return append(faults, deployment.checkKeys()...)
}

func (deployment *Deployment) checkKeys() []string {
	var faults []string
	owners := make(map[modeller.KeyHash]modeller.ClientAccountName)
	for _, account := range deployment.Accounts {
		for _, key := range account.Keys {
			if owner, exists := owners[key]; exists && owner != account.Name {
				faults = append(faults, fmt.Sprintf("client accounts %s and %s share a key", owner, account.Name))
			}
			owners[key] = account.Name
		}
	}
	return faults
}

// Account returns the client account that a key belongs to, and whether there
// is one.
func (deployment *Deployment) Account(key modeller.KeyHash) (modeller.ClientAccountName, bool) {
	for index := range deployment.Accounts {
		for _, hash := range deployment.Accounts[index].Keys {
			if hash == key {
				return deployment.Accounts[index].Name, true
			}
		}
	}
	return "", false
}

// QueueAt returns the host's queue with the longest prefix that matches the
// path, or nil.
func (deployment *Deployment) QueueAt(host, path string) *Queue {
	var found *Queue
	for index := range deployment.Queues {
		queue := &deployment.Queues[index]
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
// its key belongs to, or why the call is refused. The account is empty if the
// queue is open to all and the key is unknown.
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
		return nil, "", coder.Refuse(coder.MissingKey, "queue %s accepts jobs only with a key", queue.Name)
	}
	return nil, "", coder.Refuse(coder.WrongKey, "the key %s belongs to no client account", key.Fingerprint())
}
