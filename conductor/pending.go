package conductor

import (
	"sync"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// unbegunJobs are the jobs with placed tasks of which no worker has shown that one has
// begun. A start may be rejected, or lost with its worker. It is safe for concurrent use.
type unbegunJobs struct {
	mutex  sync.Mutex
	queues map[stager.JobID]modeller.QueueName
	counts map[modeller.QueueName]int
}

func newUnbegunJobs() *unbegunJobs {
	return &unbegunJobs{queues: make(map[stager.JobID]modeller.QueueName), counts: make(map[modeller.QueueName]int)}
}

func (unbegunJobs *unbegunJobs) add(job *stager.Job) {
	unbegunJobs.mutex.Lock()
	defer unbegunJobs.mutex.Unlock()
	if _, added := unbegunJobs.queues[job.ID]; !added {
		unbegunJobs.queues[job.ID] = job.Queue
		unbegunJobs.counts[job.Queue]++
	}
}

func (unbegunJobs *unbegunJobs) remove(id stager.JobID) {
	unbegunJobs.mutex.Lock()
	defer unbegunJobs.mutex.Unlock()
	if queue, added := unbegunJobs.queues[id]; added {
		delete(unbegunJobs.queues, id)
		unbegunJobs.counts[queue]--
		if unbegunJobs.counts[queue] == 0 {
			delete(unbegunJobs.counts, queue)
		}
	}
}

func (unbegunJobs *unbegunJobs) count(queue modeller.QueueName) int {
	unbegunJobs.mutex.Lock()
	defer unbegunJobs.mutex.Unlock()
	return unbegunJobs.counts[queue]
}

// Unbegun returns how many of a queue's jobs have placed tasks of which none is known to
// have begun. The state does not count them as pending.
func (conductor *Conductor) Unbegun(queue modeller.QueueName) int {
	return conductor.unbegun.count(queue)
}

// unbegun reports whether an attempt ends without a sign from its worker that it has begun.
func (attempt *attempt) unbegun(ending stager.Ending) bool {
	return attempt.startAcknowledgedAt == 0 && (ending == stager.Refusing || ending == stager.Losing)
}

// recordBegun records what the end of an attempt tells about whether its job has begun.
func (conductor *Conductor) recordBegun(job *stager.Job, end *stager.End) {
	switch {
	case !end.Unbegun:
		conductor.unbegun.remove(job.ID)
	case !job.Started:
		// Until this is committed, the state that callers are shown does not count the
		// job as pending.
		conductor.afterCommit(func(error) {
			if !job.Started {
				conductor.unbegun.remove(job.ID)
			}
		})
	}
}
