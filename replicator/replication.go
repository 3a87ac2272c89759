package replicator

import (
	"hash/crc32"
	"time"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// Step handles a message from another replica. Messages that are malformed or
// addressed to another replica or cell are ignored.
func (core *Core) Step(message Message) {
	if message.Cell != core.config.Cell || message.To != core.config.ID || core.failure != nil || !isWellFormed(&message) {
		return
	}
	asksVote := message.Kind == KindPreVote || message.Kind == KindVote
	if asksVote && !message.Transfer && core.hasRecentLeader() {
		return
	}
	if message.Term > core.hardState.Term && !hasTentativeTerm(message) {
		core.becomeFollower(message.Term, "")
	}
	if message.Term < core.hardState.Term && !asksVote {
		core.stepStale(message)
		return
	}
	core.stepCurrent(message)
}

// isWellFormed reports whether a message is one that a Core could have sent.
// Others are ignored, since any process may have sent them.
func isWellFormed(message *Message) bool {
	for at := range message.Entries {
		if message.Entries[at].Index != message.Index+1+uint64(at) {
			return false
		}
	}
	piece := message.Piece
	if message.Kind != KindSnapshotPiece || piece == nil {
		return message.Kind != KindSnapshotPiece
	}
	return piece.Offset >= 0 && piece.Offset <= piece.Total && int64(len(piece.Data)) <= piece.Total-piece.Offset
}

// hasTentativeTerm reports whether the message's term is that of a pre-vote, so
// that no replica has entered it yet.
func hasTentativeTerm(message Message) bool {
	return message.Kind == KindPreVote || message.Kind == KindPreVoteReply && !message.Reject
}

// stepStale informs the leader of an earlier term that a newer term exists.
func (core *Core) stepStale(message Message) {
	if message.Kind == KindAppend || message.Kind == KindSnapshotPiece {
		core.send(Message{Kind: KindAppendReply, To: message.From, Reject: true, Index: core.hardState.Commit})
	}
}

func (core *Core) stepCurrent(message Message) {
	switch message.Kind {
	case KindPreVote, KindVote:
		core.stepVote(message)
	case KindPreVoteReply, KindVoteReply:
		core.stepVoteReply(message)
	case KindAppend:
		core.recordLeaderContact(message)
		core.stepAppend(message)
	case KindAppendReply:
		core.stepAppendReply(message)
	case KindSnapshotPiece:
		core.recordLeaderContact(message)
		core.stepPiece(message)
	case KindSnapshotPieceReply:
		core.stepPieceReply(message)
	case KindTimeoutNow:
		if core.role == Follower && isVoter(core.Members(), core.config.ID) {
			core.campaign(true)
		}
	}
}

// recordLeaderContact records the leader of the term and the time of contact.
func (core *Core) recordLeaderContact(message Message) {
	if core.role != Follower || core.leader != message.From {
		core.becomeFollower(message.Term, message.From)
	}
	core.lastContact = core.now
	core.resetElectionTimer()
}

func (core *Core) stepAppend(message Message) {
	reply := Message{Kind: KindAppendReply, To: message.From, Stamp: message.Stamp}
	if message.Index < core.hardState.Commit && len(message.Entries) == 0 {
		reply.Index = core.hardState.Commit
		core.send(reply)
		return
	}
	term, known := core.log.term(message.Index)
	if message.Index >= core.log.base() && (!known || term != message.LogTerm) {
		reply.Reject = true
		reply.Index = min(core.hardState.Commit, message.Index)
		if !known {
			reply.Index = min(core.log.last(), message.Index)
		}
		core.send(reply)
		return
	}
	if !core.mergeEntries(message.Entries) {
		return
	}
	reply.Index = max(message.Index+uint64(len(message.Entries)), core.log.base())
	core.hardState.Commit = max(core.hardState.Commit, min(message.Commit, reply.Index))
	core.send(reply)
}

// mergeEntries merges a leader's entries into the log. It reports whether the
// Core can continue.
func (core *Core) mergeEntries(entries []journaler.Entry) bool {
	newEntries, err := core.log.merge(entries, core.hardState.Commit)
	if err != nil {
		core.failure = err
		return false
	}
	if len(newEntries) == 0 {
		return true
	}
	core.durableIndex = min(core.durableIndex, newEntries[0].Index-1)
	core.members.truncate(newEntries[0].Index)
	for at := range newEntries {
		core.recordMembers(&newEntries[at])
	}
	core.unsaved = append(core.unsavedBefore(newEntries[0].Index), newEntries...)
	return core.failure == nil
}

// unsavedBefore returns the unsaved entries before the index from.
func (core *Core) unsavedBefore(from uint64) []journaler.Entry {
	for at := range core.unsaved {
		if core.unsaved[at].Index >= from {
			return core.unsaved[:at:at]
		}
	}
	return core.unsaved
}

func (core *Core) stepAppendReply(message Message) {
	peer := core.peers[message.From]
	if core.role != Leader || peer == nil {
		return
	}
	peer.ackedStamp = max(peer.ackedStamp, message.Stamp)
	if message.Reject {
		core.restartSending(peer, message)
		return
	}
	peer.match = max(peer.match, min(message.Index, core.log.last()))
	peer.next = max(peer.next, peer.match+1)
	if peer.outgoing != nil && peer.match >= peer.outgoing.snapshot.Index {
		peer.outgoing = nil
		peer.windowStart = peer.next
	}
	core.advanceCommit()
	core.sendTimeoutNow()
}

// restartSending continues after the index of a rejection. A rejection of a message sent
// before sending last restarted says nothing of what was sent since.
func (core *Core) restartSending(peer *peer, rejection Message) {
	if rejection.Stamp < peer.windowStamp {
		return
	}
	peer.next = max(min(rejection.Index, core.log.last())+1, peer.match+1)
	peer.windowStart = peer.next
	peer.windowStamp = core.now
}

// replicate sends each follower the entries it lacks, up to the in-flight limit.
func (core *Core) replicate() {
	if core.role != Leader {
		return
	}
	for _, member := range core.Members() {
		peer := core.peers[member.ID]
		if peer != nil && peer.outgoing == nil && core.prefersSnapshot(member.ID, peer) {
			continue
		}
		for peer != nil && peer.outgoing == nil && peer.next <= core.log.last() && peer.inFlight() <= maxInFlightEntries {
			core.sendAppend(member.ID, peer)
		}
	}
}

// inFlight returns the number of entries that were sent but not acknowledged.
func (peer *peer) inFlight() uint64 {
	return peer.next - max(peer.match+1, peer.windowStart)
}

// sendHeartbeats sends a heartbeat to each follower, or a probe of the snapshot
// transfer. A heartbeat carries the index of the last entry sent, so that a
// follower that missed a message rejects it.
func (core *Core) sendHeartbeats() {
	for _, member := range core.Members() {
		peer := core.peers[member.ID]
		switch {
		case peer == nil:
		case peer.outgoing != nil:
			core.sendPieceProbe(member.ID, peer)
		default:
			core.sendHeartbeat(member.ID, peer)
		}
	}
}

func (core *Core) sendHeartbeat(id journaler.ReplicaID, peer *peer) {
	previous := peer.next - 1
	term, known := core.log.term(previous)
	if !known && core.now < peer.holdUntil {
		// Every log agrees at index 0.
		previous, known = 0, true
	}
	if !known {
		core.beginSnapshot(id, peer)
		return
	}
	core.send(Message{
		Kind:    KindAppend,
		To:      id,
		Index:   previous,
		LogTerm: term,
		Commit:  core.hardState.Commit,
		Stamp:   core.now,
	})
}

func (core *Core) sendAppend(id journaler.ReplicaID, peer *peer) {
	previous := peer.next - 1
	term, known := core.log.term(previous)
	if !known {
		core.beginSnapshot(id, peer)
		return
	}
	entries := core.log.slice(peer.next, maxAppendEntries, maxAppendBytes)
	core.send(Message{
		Kind:    KindAppend,
		To:      id,
		Index:   previous,
		LogTerm: term,
		Entries: entries,
		Commit:  core.hardState.Commit,
		Stamp:   core.now,
	})
	peer.next += uint64(len(entries))
}

// outgoingSnapshot is a snapshot in transfer to a follower. The transfer
// continues with the same snapshot even if the leader takes newer ones meanwhile.
type outgoingSnapshot struct {
	snapshot *journaler.Snapshot
	checksum uint32
	// offset is the number of bytes that the follower has acknowledged, and next the
	// offset of the next piece.
	offset, next int64
	// sentAt is when the last piece was sent.
	sentAt time.Duration
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshotPatience is how long entries are held back for a new snapshot.
const snapshotPatience = time.Second

// prefersSnapshot reports whether a follower to which sending begins is sent no entries,
// since it lacks many: it is sent a recent snapshot if that is smaller, and otherwise waits
// for one.
func (core *Core) prefersSnapshot(id journaler.ReplicaID, peer *peer) bool {
	limit := core.config.CatchUpBytes
	if peer.next != peer.windowStart || core.log.size(peer.next, limit) <= limit {
		return false
	}
	snapshot := core.newestSnapshot()
	if snapshot.Index >= peer.next && core.log.size(snapshot.Index+1, limit) <= limit {
		peer.holdUntil = 0
		smaller := core.log.size(peer.next, len(snapshot.Data)) > len(snapshot.Data)
		if smaller {
			core.beginSnapshot(id, peer)
		}
		return smaller
	}
	if peer.holdUntil == 0 {
		peer.holdUntil = core.now + snapshotPatience
		core.wantSnapshot = true
	}
	return core.now < peer.holdUntil
}

// newestSnapshot returns the newest of the snapshots that cover a part of the log.
func (core *Core) newestSnapshot() *journaler.Snapshot {
	if core.offered != nil && core.offered.Index > core.log.snapshot.Index {
		return core.offered
	}
	return core.log.snapshot
}

// OfferSnapshot passes a snapshot of committed entries to the Core, which sends it to
// followers that lack much of the log.
func (core *Core) OfferSnapshot(snapshot *journaler.Snapshot) {
	if core.role == Leader && snapshot.Index <= core.hardState.Commit {
		core.offered = snapshot
	}
}

func (core *Core) beginSnapshot(id journaler.ReplicaID, peer *peer) {
	snapshot := core.newestSnapshot()
	peer.outgoing = &outgoingSnapshot{snapshot: snapshot, checksum: crc32.Checksum(snapshot.Data, castagnoli)}
	if len(snapshot.Data) == 0 {
		core.sendPieceProbe(id, peer)
	}
	core.sendPieces(id, peer)
}

// sendPieces sends pieces until maxInFlightPieces are on their way.
func (core *Core) sendPieces(id journaler.ReplicaID, peer *peer) {
	outgoingSnapshot := peer.outgoing
	size, total := int64(core.config.PieceBytes), int64(len(outgoingSnapshot.snapshot.Data))
	for outgoingSnapshot.next < min(outgoingSnapshot.offset+maxInFlightPieces*size, total) {
		end := min(outgoingSnapshot.next+size, total)
		core.sendPiece(id, peer, outgoingSnapshot.snapshot.Data[outgoingSnapshot.next:end])
		outgoingSnapshot.next = end
		outgoingSnapshot.sentAt = core.now
	}
}

// sendPieceProbe sends a piece without data, whose reply says whether the pieces before it
// have arrived. Sending those again would fill a slow link with copies of them.
func (core *Core) sendPieceProbe(id journaler.ReplicaID, peer *peer) { core.sendPiece(id, peer, nil) }

func (core *Core) sendPiece(id journaler.ReplicaID, peer *peer, data []byte) {
	outgoingSnapshot := peer.outgoing
	core.send(Message{Kind: KindSnapshotPiece, To: id, Stamp: core.now, Piece: &Piece{
		Index:    outgoingSnapshot.snapshot.Index,
		Term:     outgoingSnapshot.snapshot.Term,
		Chain:    outgoingSnapshot.snapshot.Chain,
		Members:  outgoingSnapshot.snapshot.Members,
		Offset:   outgoingSnapshot.next,
		Total:    int64(len(outgoingSnapshot.snapshot.Data)),
		Checksum: outgoingSnapshot.checksum,
		Data:     data,
	}})
}

// incomingSnapshot is a snapshot being received.
type incomingSnapshot struct {
	// piece is the first piece received, for the snapshot's metadata.
	piece Piece
	data  []byte
}

func (core *Core) stepPiece(message Message) {
	piece := message.Piece
	if piece.Index <= core.hardState.Commit {
		core.send(Message{Kind: KindAppendReply, To: message.From, Stamp: message.Stamp, Index: core.hardState.Commit})
		return
	}
	if term, known := core.log.term(piece.Index); known && term == piece.Term {
		// The log already holds the entries that the snapshot covers. It may also
		// hold later entries that count towards a quorum, so it must be kept.
		core.hardState.Commit = piece.Index
		core.send(Message{Kind: KindAppendReply, To: message.From, Stamp: message.Stamp, Index: piece.Index})
		return
	}
	if core.incoming == nil || core.incoming.piece.Index != piece.Index || core.incoming.piece.Checksum != piece.Checksum {
		core.incoming = &incomingSnapshot{piece: *piece}
	}
	incomingSnapshot := core.incoming
	if piece.Offset == int64(len(incomingSnapshot.data)) {
		incomingSnapshot.data = append(incomingSnapshot.data, piece.Data...)
	}
	if int64(len(incomingSnapshot.data)) == piece.Total {
		core.installSnapshot(incomingSnapshot, message)
		return
	}
	core.send(Message{Kind: KindSnapshotPieceReply, To: message.From, Stamp: message.Stamp, Index: uint64(len(incomingSnapshot.data))})
}

// installSnapshot replaces the log by a completely received snapshot. If its
// checksum is wrong, the transfer restarts.
func (core *Core) installSnapshot(incomingSnapshot *incomingSnapshot, message Message) {
	core.incoming = nil
	if crc32.Checksum(incomingSnapshot.data, castagnoli) != incomingSnapshot.piece.Checksum {
		core.send(Message{Kind: KindSnapshotPieceReply, To: message.From, Stamp: message.Stamp})
		return
	}
	snapshot := &journaler.Snapshot{
		Index:   incomingSnapshot.piece.Index,
		Term:    incomingSnapshot.piece.Term,
		Chain:   incomingSnapshot.piece.Chain,
		Members: incomingSnapshot.piece.Members,
		Data:    incomingSnapshot.data,
	}
	core.log = &entryLog{snapshot: snapshot, preceding: positionOf(snapshot)}
	core.members = memberLog{{index: snapshot.Index, members: snapshot.Members}}
	core.unsaved = nil
	core.hardState.Commit = snapshot.Index
	core.deliveredIndex = snapshot.Index
	core.hardStateChanged = true
	core.installedSnapshot = snapshot
	core.send(Message{Kind: KindAppendReply, To: message.From, Stamp: message.Stamp, Index: snapshot.Index})
}

func (core *Core) stepPieceReply(message Message) {
	peer := core.peers[message.From]
	if core.role != Leader || peer == nil {
		return
	}
	peer.ackedStamp = max(peer.ackedStamp, message.Stamp)
	outgoingSnapshot := peer.outgoing
	received := int64(message.Index)
	if outgoingSnapshot == nil || received > int64(len(outgoingSnapshot.snapshot.Data)) {
		return
	}
	switch {
	case message.Stamp > outgoingSnapshot.sentAt && received != outgoingSnapshot.next:
		// What was sent after the last piece arrived without all pieces: the rest is lost.
		outgoingSnapshot.offset, outgoingSnapshot.next = received, received
	case received > outgoingSnapshot.offset:
		outgoingSnapshot.offset = received
		outgoingSnapshot.next = max(outgoingSnapshot.next, received)
	}
	core.sendPieces(message.From, peer)
}
