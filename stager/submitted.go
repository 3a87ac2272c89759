package stager

import "path"

// Accepted reports whether the job that a caller addresses by host and path was accepted,
// even if its queue is no longer deployed.
func (state *State) Accepted(host, requestPath string) bool {
	_, id := path.Split(requestPath)
	job := state.Jobs[JobID(id)]
	if job == nil {
		return false
	}
	queue := state.Queues[job.Queue]
	return queue != nil && queue.Host == host && queue.Prefix+id == requestPath
}
