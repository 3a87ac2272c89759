package replicator

import (
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// Role is a replica's role in its current term.
type Role uint8

// The roles.
const (
	Follower Role = iota + 1
	PreCandidate
	Candidate
	Leader
)

var roleNames = []string{"", "Follower", "PreCandidate", "Candidate", "Leader"}

// String returns the role's name.
func (role Role) String() string { return roleNames[role] }

// CoreConfig configures a Core.
type CoreConfig struct {
	Cell string
	ID   journaler.ReplicaID
	// Initial is the membership of a cell that has no log yet. It must be the
	// same on all replicas.
	Initial []journaler.Member
	// HeartbeatInterval is how often a leader sends heartbeats to its followers.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without contact from a leader after
	// which a replica starts an election; jitter extends it by up to a half.
	ElectionTimeout time.Duration
	// Jitter returns a random duration from 0 up to the given one.
	Jitter func(time.Duration) time.Duration
	// Now is the current time on a monotonic clock.
	Now time.Duration
	// PieceBytes is the size of snapshot pieces; zero means 256 KiB.
	PieceBytes int
	// KeepEntries is how many entries that a snapshot covers stay in memory, so
	// that a follower that lags slightly is sent entries instead of the snapshot.
	KeepEntries uint64
	// CatchUpBytes is the size of the entries above which a follower that lacks
	// them is sent a new snapshot instead, if that is smaller; zero means 2 MiB.
	CatchUpBytes int
}

// Limits on the data in flight to one follower.
const (
	maxAppendEntries   = 512
	maxAppendBytes     = 1 << 20
	maxInFlightEntries = 4096
	defaultPieceBytes  = 256 << 10
	maxInFlightPieces  = 4
	// defaultCatchUpBytes is the default of CatchUpBytes.
	defaultCatchUpBytes = 2 << 20
	// leaseMarginDivisor sets the safety margin of a leader's lease: the lease is
	// shorter than the election timeout by this fraction, since clocks may run
	// at different speeds.
	leaseMarginDivisor = 10
)

// Ready holds the state to save and the messages to send. First may be sent
// before saving, which is safe for a leader's appends; Then only once HardState
// and Entries are durable.
type Ready struct {
	First     []Message
	HardState journaler.HardState
	Entries   []journaler.Entry
	// MustSave is true if HardState or Entries differ from the saved state.
	MustSave bool
	// Install is a complete snapshot from the leader, to be saved and restored.
	Install *journaler.Snapshot
	// WantSnapshot is true if a snapshot of the state should be passed to
	// OfferSnapshot, for followers that lack much of the log.
	WantSnapshot bool
	Then         []Message
	// Committed holds the entries to apply, in order.
	Committed []journaler.Entry
}

// Core is the protocol's state machine. It isn't safe for concurrent use.
type Core struct {
	config    CoreConfig
	now       time.Duration
	role      Role
	hardState journaler.HardState
	leader    journaler.ReplicaID
	log       *entryLog
	// members holds the memberships in the log; the last is in force.
	members memberLog
	// deliveredIndex is the index of the last committed entry that MarkSaved
	// returned.
	deliveredIndex uint64
	// durableIndex is the index of the last entry that is durable on this replica.
	durableIndex uint64

	lastContact      time.Duration
	electionDeadline time.Duration
	nextHeartbeat    time.Duration
	votes            map[journaler.ReplicaID]bool
	peers            map[journaler.ReplicaID]*peer
	// termStart is the index of the first entry of the leader's own term.
	termStart uint64
	// transferee is the target of a leadership transfer in progress, or empty.
	// During a transfer the leader accepts no proposals and claims no lease.
	transferee    journaler.ReplicaID
	transferStart time.Duration
	// timeoutNowSent is true once the transferee has been sent KindTimeoutNow.
	timeoutNowSent bool
	incoming       *incomingSnapshot
	// offered is the newest snapshot passed to OfferSnapshot in this leadership. It
	// needs no compaction of the log, and may be on no disk.
	offered *journaler.Snapshot
	// wantSnapshot is true until TakeReady has asked for a snapshot.
	wantSnapshot bool

	beforeSave        []Message
	afterSave         []Message
	unsaved           []journaler.Entry
	hardStateChanged  bool
	installedSnapshot *journaler.Snapshot
	failure           error
}

// peer is a leader's replication state for another replica.
type peer struct {
	// match is the last index known to be replicated, next the next to send.
	match uint64
	next  uint64
	// windowStart is the index from which sending last started or restarted, and
	// windowStamp the time of the last restart.
	windowStart uint64
	windowStamp time.Duration
	// ackedStamp is the newest of the leader's stamps that the peer has echoed.
	ackedStamp time.Duration
	outgoing   *outgoingSnapshot
	// holdUntil is the time until which entries are held back for a new snapshot, or
	// zero.
	holdUntil time.Duration
}

// NewCore returns a Core that resumes from the recovered state. It fails if a
// membership entry can't be decoded.
func NewCore(config CoreConfig, recovered *journaler.Recovered) (*Core, error) {
	if config.PieceBytes == 0 {
		config.PieceBytes = defaultPieceBytes
	}
	if config.CatchUpBytes == 0 {
		config.CatchUpBytes = defaultCatchUpBytes
	}
	log := newEntryLog(recovered)
	members, err := newMemberLog(log, config.Initial)
	if err != nil {
		return nil, err
	}
	core := &Core{
		config:         config,
		now:            config.Now,
		hardState:      recovered.HardState,
		log:            log,
		members:        members,
		deliveredIndex: log.base(),
		durableIndex:   log.last(),
		// Before its restart the replica may have acknowledged a leader, whose
		// lease relies on it not voting. Counting the start as contact with that
		// leader keeps the lease valid.
		lastContact: config.Now,
	}
	core.hardState.Commit = min(core.hardState.Commit, log.last())
	core.becomeFollower(core.hardState.Term, "")
	return core, nil
}

// Members returns the membership in force. Callers must not modify it.
func (core *Core) Members() []journaler.Member { return core.members.newest().members }

// MembersAt returns the membership that was in force at the index.
func (core *Core) MembersAt(index uint64) []journaler.Member { return core.members.at(index) }

// Role returns the replica's role.
func (core *Core) Role() Role { return core.role }

// Term returns the replica's term.
func (core *Core) Term() uint64 { return core.hardState.Term }

// LeaderID returns the leader of the current term, or "" if it isn't known.
func (core *Core) LeaderID() journaler.ReplicaID { return core.leader }

// CommitIndex returns the index of the last entry known to be committed.
func (core *Core) CommitIndex() uint64 { return core.hardState.Commit }

// LastIndex returns the index of the log's last entry.
func (core *Core) LastIndex() uint64 { return core.log.last() }

// Err returns the error after which the Core can't continue, or nil.
func (core *Core) Err() error { return core.failure }

// Entry returns the entry at the index, if it is still in memory.
func (core *Core) Entry(index uint64) (journaler.Entry, bool) {
	if index <= core.log.base() || index > core.log.last() {
		return journaler.Entry{}, false
	}
	return *core.log.at(index), true
}

// Chain returns the chain hash at the index, which must still be in memory.
func (core *Core) Chain(index uint64) journaler.Chain { return core.log.chain(index) }

// EntryTerm returns the term of the entry at the index, or 0 if it isn't known.
func (core *Core) EntryTerm(index uint64) uint64 {
	term, _ := core.log.term(index)
	return term
}

// Settled reports whether the replica leads and an entry of its own term is
// committed, so that it knows all entries committed in earlier terms.
func (core *Core) Settled() bool {
	return core.role == Leader && core.hardState.Commit >= core.termStart
}

// LeaseUntil returns the time, on the replica's clock, until which no other
// replica can be elected. It is -1 if the replica holds no lease.
func (core *Core) LeaseUntil() time.Duration {
	if !core.Settled() || core.transferee != "" {
		return -1
	}
	return core.quorumStamp() + core.config.ElectionTimeout - core.config.ElectionTimeout/leaseMarginDivisor
}

// quorumStamp returns the newest stamp that a quorum has acknowledged.
func (core *Core) quorumStamp() time.Duration {
	var stamps []time.Duration
	for _, member := range core.Members() {
		if !member.Voter {
			continue
		}
		if member.ID == core.config.ID {
			stamps = append(stamps, core.now)
		} else if peer := core.peers[member.ID]; peer != nil {
			stamps = append(stamps, peer.ackedStamp)
		}
	}
	slices.Sort(stamps)
	quorumIndex := len(stamps) - (countVoters(core.Members())/2 + 1)
	if quorumIndex < 0 {
		return -core.config.ElectionTimeout
	}
	return stamps[quorumIndex]
}

// Propose appends an entry if the replica leads. It returns the entry's index
// and term, and whether the entry was appended.
func (core *Core) Propose(kind journaler.EntryKind, data []byte) (uint64, uint64, bool) {
	if core.role != Leader || core.transferee != "" {
		return 0, 0, false
	}
	entry := core.appendOwn(kind, data)
	return entry.Index, entry.Term, true
}

// appendOwn appends a new entry of the leader; TakeReady replicates it.
func (core *Core) appendOwn(kind journaler.EntryKind, data []byte) *journaler.Entry {
	entry := core.log.appendOwn(core.hardState.Term, kind, data)
	core.unsaved = append(core.unsaved, *entry)
	if kind == journaler.EntryMembers {
		core.recordMembers(entry)
	}
	return entry
}

func (core *Core) recordMembers(entry *journaler.Entry) {
	if err := core.members.add(entry); err != nil {
		core.failure = err
		return
	}
	if core.role == Leader {
		core.trackPeers()
	}
}

// trackPeers adds and removes peers to match the membership in force.
func (core *Core) trackPeers() {
	peers := make(map[journaler.ReplicaID]*peer)
	for _, member := range core.Members() {
		if member.ID == core.config.ID {
			continue
		}
		peers[member.ID] = core.peers[member.ID]
		if peers[member.ID] == nil {
			peers[member.ID] = &peer{next: core.log.last() + 1, windowStart: core.log.last() + 1, ackedStamp: core.now - core.config.ElectionTimeout}
		}
	}
	core.peers = peers
}

// TakeReady returns the pending state and messages, and clears them.
func (core *Core) TakeReady() Ready {
	core.replicate()
	ready := Ready{
		First:     core.beforeSave,
		HardState: core.hardState,
		Entries:   core.unsaved,
		MustSave:  core.hardStateChanged || len(core.unsaved) > 0,
		Install:   core.installedSnapshot,
		Then:      core.afterSave,

		WantSnapshot: core.wantSnapshot,
	}
	core.wantSnapshot = false
	core.beforeSave, core.afterSave, core.unsaved, core.installedSnapshot = nil, nil, nil, nil
	core.hardStateChanged = false
	return ready
}

// MarkSaved records that everything TakeReady returned is durable. It returns
// the committed entries that haven't been returned before.
func (core *Core) MarkSaved() []journaler.Entry {
	core.durableIndex = core.log.last()
	if core.role == Leader {
		core.advanceCommit()
	}
	lastIndex := min(core.hardState.Commit, core.durableIndex)
	if lastIndex <= core.deliveredIndex {
		return nil
	}
	entries := core.log.slice(core.deliveredIndex+1, int(lastIndex-core.deliveredIndex), 1<<62)
	core.deliveredIndex = lastIndex
	return entries
}

// advanceCommit commits the entries that a quorum holds, provided the last of
// them is of the current term.
func (core *Core) advanceCommit() {
	var matches []uint64
	for _, member := range core.Members() {
		if !member.Voter {
			continue
		}
		if member.ID == core.config.ID {
			matches = append(matches, core.durableIndex)
		} else {
			matches = append(matches, core.peers[member.ID].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-(len(matches)/2+1)]
	term, known := core.log.term(index)
	if !known || term != core.hardState.Term || index <= core.hardState.Commit {
		return
	}
	core.hardState.Commit = index
	core.stepDownIfRemoved()
}

// Compact drops the entries that a durable snapshot covers, except the last
// KeepEntries of them.
func (core *Core) Compact(snapshot *journaler.Snapshot) {
	core.log.compact(snapshot, core.config.KeepEntries)
	core.members.compact(snapshot.Index)
}

func (core *Core) setTerm(term uint64, vote journaler.ReplicaID) {
	if core.hardState.Term == term && core.hardState.Vote == vote {
		return
	}
	core.hardState.Term = term
	core.hardState.Vote = vote
	core.hardStateChanged = true
}

func (core *Core) send(message Message) {
	message.Cell = core.config.Cell
	message.From = core.config.ID
	if message.Term == 0 {
		message.Term = core.hardState.Term
	}
	// A leader may send log entries before they are saved here, but not before
	// its term is saved: after a crash it could lead the same term again with
	// different entries.
	if !core.hardStateChanged && (message.Kind == KindAppend || message.Kind == KindSnapshotPiece) {
		core.beforeSave = append(core.beforeSave, message)
		return
	}
	core.afterSave = append(core.afterSave, message)
}
