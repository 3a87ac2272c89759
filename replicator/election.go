package replicator

import (
	"time"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// ObserveTime sets the current time without triggering timeouts. It must be
// called before each Step: if a leader's message were recorded as received
// before it arrived, the replica would be ready to vote for another before the
// leader's lease ends.
func (core *Core) ObserveTime(now time.Duration) { core.now = max(core.now, now) }

// Tick sets the current time and triggers the timeouts that are due.
func (core *Core) Tick(now time.Duration) {
	core.ObserveTime(now)
	if core.role == Leader {
		core.tickLeader()
		return
	}
	if core.now >= core.electionDeadline && core.mayCampaign() {
		core.campaign(false)
	}
}

// mayCampaign reports whether the replica may start an election. A replica
// whose removal isn't known to be committed may: the others may need its vote
// to elect a leader, but it would always deny it because its log is longer.
func (core *Core) mayCampaign() bool {
	if isVoter(core.Members(), core.config.ID) {
		return true
	}
	newest := core.members.newest()
	return newest.index > core.hardState.Commit && isVoter(core.members.at(newest.index-1), core.config.ID)
}

func (core *Core) tickLeader() {
	if core.now >= core.nextHeartbeat {
		core.nextHeartbeat = core.now + core.config.HeartbeatInterval
		core.sendHeartbeats()
	}
	if core.transferee != "" && core.now >= core.transferStart+core.config.ElectionTimeout {
		core.abortTransfer()
		if core.role != Leader {
			return
		}
	}
	if core.now > core.quorumStamp()+core.config.ElectionTimeout*2 {
		core.becomeFollower(core.hardState.Term, "")
	}
}

// becomeFollower makes the replica a follower in the term.
func (core *Core) becomeFollower(term uint64, leader journaler.ReplicaID) {
	if term > core.hardState.Term {
		core.setTerm(term, "")
	}
	core.role = Follower
	core.leader = leader
	core.peers = nil
	core.offered = nil
	core.votes = nil
	core.transferee = ""
	core.resetElectionTimer()
}

// jitterDivisor sets the range of the random part of election deadlines, as a
// fraction of the election timeout, so that replicas seldom campaign at the same
// time.
const jitterDivisor = 2

func (core *Core) resetElectionTimer() {
	core.electionDeadline = core.now + core.config.ElectionTimeout + core.config.Jitter(core.config.ElectionTimeout/jitterDivisor)
}

// campaign starts an election. It begins with a pre-vote, which doesn't increase
// the term, so that a replica that was partitioned doesn't disrupt the others
// when it reconnects. A leadership transfer skips the pre-vote.
func (core *Core) campaign(transfer bool) {
	core.resetElectionTimer()
	core.leader = ""
	core.votes = map[journaler.ReplicaID]bool{core.config.ID: true}
	kind, term := KindPreVote, core.hardState.Term+1
	core.role = PreCandidate
	if transfer {
		kind = KindVote
		core.becomeCandidate()
	}
	core.requestVotes(kind, term, transfer)
	core.tallyVotes()
}

// becomeCandidate starts a new term and votes for the replica itself.
func (core *Core) becomeCandidate() {
	core.role = Candidate
	core.votes = map[journaler.ReplicaID]bool{core.config.ID: true}
	core.setTerm(core.hardState.Term+1, core.config.ID)
}

func (core *Core) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, member := range core.Members() {
		if member.ID == core.config.ID || !member.Voter {
			continue
		}
		core.send(Message{
			Kind:     kind,
			To:       member.ID,
			Term:     term,
			Index:    core.log.last(),
			LogTerm:  core.log.lastTerm(),
			Transfer: transfer,
		})
	}
}

// tallyVotes moves on to the next stage of the election once a quorum has granted
// its votes: from the pre-vote to the vote, and from there to leadership.
func (core *Core) tallyVotes() {
	count := 0
	for _, member := range core.Members() {
		if member.Voter && core.votes[member.ID] {
			count++
		}
	}
	if count <= countVoters(core.Members())/2 {
		return
	}
	if core.role == PreCandidate {
		core.becomeCandidate()
		core.requestVotes(KindVote, core.hardState.Term, false)
		core.tallyVotes()
		return
	}
	core.becomeLeader()
}

func (core *Core) becomeLeader() {
	core.role = Leader
	core.leader = core.config.ID
	core.transferee = ""
	core.peers = nil
	core.trackPeers()
	core.nextHeartbeat = core.now
	entry := core.appendOwn(journaler.EntryNoop, nil)
	core.termStart = entry.Index
	core.resetPeerStamps()
}

// resetPeerStamps gives followers time to reply to a new leader before it counts
// them as unresponsive. No lease follows from these stamps, since Settled is
// false until a quorum has acknowledged the leader's first entry.
func (core *Core) resetPeerStamps() {
	for _, peer := range core.peers {
		peer.ackedStamp = core.now - core.config.ElectionTimeout
	}
}

// stepVote replies to a pre-vote or vote request.
func (core *Core) stepVote(message Message) {
	reply := Message{Kind: KindVoteReply, To: message.From, Term: message.Term}
	if message.Kind == KindPreVote {
		reply.Kind = KindPreVoteReply
	}
	reply.Reject = !core.grantsVote(message)
	if reply.Reject {
		reply.Term = core.hardState.Term
	} else if message.Kind == KindVote {
		core.setTerm(message.Term, message.From)
		core.resetElectionTimer()
	}
	core.send(reply)
}

func (core *Core) grantsVote(message Message) bool {
	if message.Term < core.hardState.Term || !core.isLogUpToDate(message) {
		return false
	}
	if message.Kind == KindPreVote {
		return message.Term > core.hardState.Term
	}
	return core.hardState.Vote == "" || core.hardState.Vote == message.From
}

func (core *Core) isLogUpToDate(message Message) bool {
	lastTerm := core.log.lastTerm()
	return message.LogTerm > lastTerm || message.LogTerm == lastTerm && message.Index >= core.log.last()
}

// hasRecentLeader reports whether the last contact with a leader, or of this
// leader with a quorum, is less than an election timeout ago, so that no other
// may be elected. Leader leases rely on this.
func (core *Core) hasRecentLeader() bool {
	if core.role == Leader {
		return core.now < core.quorumStamp()+core.config.ElectionTimeout
	}
	return core.now < core.lastContact+core.config.ElectionTimeout
}

func (core *Core) stepVoteReply(message Message) {
	expectedRole := PreCandidate
	if message.Kind == KindVoteReply {
		expectedRole = Candidate
	}
	if core.role != expectedRole || message.Reject {
		return
	}
	if message.Kind == KindPreVoteReply && message.Term != core.hardState.Term+1 {
		return
	}
	core.votes[message.From] = true
	core.tallyVotes()
}

// Transfer starts a leadership transfer to the responsive voter with the most
// complete log. It reports whether a transfer is in progress.
func (core *Core) Transfer() bool {
	if core.role != Leader || core.transferee != "" {
		return core.transferee != ""
	}
	var best journaler.ReplicaID
	for _, member := range core.Members() {
		peer := core.peers[member.ID]
		if peer == nil || !member.Voter || core.now > peer.ackedStamp+core.config.ElectionTimeout {
			continue
		}
		if best == "" || peer.match > core.peers[best].match {
			best = member.ID
		}
	}
	core.transferee = best
	core.transferStart = core.now
	core.timeoutNowSent = false
	core.sendTimeoutNow()
	return best != ""
}

// abortTransfer ends a leadership transfer that timed out. A transferee that was
// sent KindTimeoutNow may still campaign at any time, and its vote requests are
// granted despite this leader's lease. The leader must therefore not claim a
// lease again in this term, and steps down.
func (core *Core) abortTransfer() {
	core.transferee = ""
	if core.timeoutNowSent {
		core.becomeFollower(core.hardState.Term, "")
	}
}

// sendTimeoutNow asks the transferee to campaign once it has the whole log.
func (core *Core) sendTimeoutNow() {
	peer := core.peers[core.transferee]
	if peer != nil && peer.match == core.log.last() {
		core.timeoutNowSent = true
		core.send(Message{Kind: KindTimeoutNow, To: core.transferee})
	}
}
