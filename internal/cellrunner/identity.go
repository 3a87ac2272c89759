package cellrunner

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
)

const identityFile = "Identity"

// identity is made with the data folder and never changes its ID.
type identity struct {
	Cell string
	ID   journaler.ReplicaID
	// Formed is true once the replica belongs to a cell: Initial then holds the
	// cell's first membership, or nothing if the replica came later.
	Formed  bool
	Initial []journaler.Member
	// Joined is true once a replica that came later has had a vote.
	Joined bool
}

// hadVote reports whether the replica has ever been a voter of its cell.
func (identity *identity) hadVote() bool { return identity.Joined || len(identity.Initial) > 0 }

// loadIdentity reads the folder's identity, or makes one for an empty folder.
func loadIdentity(settings *Settings) (*identity, error) {
	path := filepath.Join(settings.DataFolder, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return makeIdentity(settings)
	}
	if err != nil {
		return nil, eris.Wrap(err, "read identity")
	}
	found := &identity{}
	if err := encoder.Unmarshal(data, found); err != nil {
		return nil, eris.Wrapf(err, "identity file %s", path)
	}
	if found.Cell != settings.CellName {
		return nil, eris.Errorf("the data folder belongs to cell %s, not %s", found.Cell, settings.CellName)
	}
	return found, nil
}

// makeIdentity refuses a folder that has a log but no identity: whose log it
// is cannot be told.
func makeIdentity(settings *Settings) (*identity, error) {
	segments, err := journaler.Segments(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	if len(segments) > 0 {
		return nil, eris.Errorf("data folder %s has a log without an identity", settings.DataFolder)
	}
	made := &identity{Cell: settings.CellName, ID: journaler.ReplicaID(uuid.NewString())}
	return made, made.save(settings)
}

func (identity *identity) save(settings *Settings) error {
	data, err := encoder.Marshal(identity)
	if err != nil {
		return err
	}
	return journaler.WriteFile(filepath.Join(settings.DataFolder, identityFile), data)
}

// formation lets replicas with empty folders agree on the first membership,
// and lets a new replica of a formed cell join as a learner.
type formation struct {
	runner *Runner
	// known is what others are told about this replica.
	known atomic.Pointer[identity]
}

func (formation *formation) identify(_ context.Context, request *messenger.IdentifyRequest) (*messenger.IdentifyReply, error) {
	if request.Cell != formation.runner.cellName() {
		return &messenger.IdentifyReply{Refusal: coder.Refuse(coder.WrongCell, "this is cell %s", formation.runner.cellName())}, nil
	}
	known := formation.known.Load()
	reply := &messenger.IdentifyReply{ID: known.ID, Formed: known.Formed, Members: known.Initial}
	if node := formation.runner.node.Load(); node != nil && len(known.Initial) == 0 {
		reply.Members = node.Status().Members
	}
	return reply, nil
}

const (
	formationPause = 100 * time.Millisecond
	identifyMost   = time.Second
)

// run returns once the replica belongs to a cell.
func (formation *formation) run(ctx context.Context) error {
	settings := formation.runner.settings
	for {
		if formed := formation.attempt(ctx); formed != nil {
			if err := formed.save(settings); err != nil {
				return err
			}
			formation.known.Store(formed)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(formationPause):
		}
	}
}

// attempt asks all addresses once. A cell is formed only if every address has
// answered that it is new, so that no second cell can come about beside one, and
// only by the replicas at these addresses: another one joins what they form.
func (formation *formation) attempt(ctx context.Context) *identity {
	settings := formation.runner.settings
	own := formation.known.Load()
	members := []journaler.Member{{ID: own.ID, Address: settings.Address, Voter: true}}
	complete := true
	for _, address := range settings.Bootstrap {
		if address == settings.Address {
			continue
		}
		reply := formation.ask(ctx, address, own.ID)
		switch {
		case reply == nil:
			complete = false
		case reply.Formed:
			return formation.joinFormed(own, reply.Members)
		case reply.Relay:
		default:
			members = append(members, journaler.Member{ID: reply.ID, Address: address, Voter: true})
		}
	}
	if !complete || !settings.Form || !slices.Contains(settings.Bootstrap, settings.Address) {
		return nil
	}
	slices.SortFunc(members, compareMembers)
	logger.Info(formation.runner.logger, "cell formed", "Members", len(members))
	return &identity{Cell: own.Cell, ID: own.ID, Formed: true, Initial: members}
}

func compareMembers(left, right journaler.Member) int {
	if left.ID < right.ID {
		return -1
	}
	return 1
}

// joinFormed takes over the first membership if this replica is part of it, and
// starts as a stranger to be taken in otherwise.
func (formation *formation) joinFormed(own *identity, members []journaler.Member) *identity {
	joined := &identity{Cell: own.Cell, ID: own.ID, Formed: true}
	if slices.ContainsFunc(members, func(member journaler.Member) bool { return member.ID == own.ID }) {
		joined.Initial = members
	}
	return joined
}

func (formation *formation) ask(ctx context.Context, address string, own journaler.ReplicaID) *messenger.IdentifyReply {
	ctx, cancel := context.WithTimeout(ctx, identifyMost)
	defer cancel()
	connection, err := messenger.Dial(address, formation.runner.transport)
	if err != nil {
		return nil
	}
	defer func() { _ = connection.Close() }()
	request := &messenger.IdentifyRequest{Cell: formation.runner.cellName(), ID: own, Address: formation.runner.settings.Address}
	reply, err := messenger.ReplicaClient{Connection: connection}.Identify(ctx, request)
	if err != nil || reply.Refusal != nil {
		return nil
	}
	return reply
}

const joinPause = 500 * time.Millisecond

// silenceMost is how long a learner goes without a leader before it asks again:
// its being taken in may have been lost with the leader that did it.
const silenceMost = 3 * time.Second

// keepJoining asks the leader to take this replica in until it has a vote. One
// that had a vote and was removed does not ask: an operator wanted it gone, and
// only an empty folder makes it a new replica.
func (formation *formation) keepJoining(ctx context.Context) error {
	runner := formation.runner
	led := time.Now()
	for !formation.known.Load().hadVote() {
		status := runner.node.Load().Status()
		if status.Leader != "" {
			led = time.Now()
		}
		if isVoter(status.Members, status.ID) {
			joined := *formation.known.Load()
			joined.Joined = true
			if err := joined.save(runner.settings); err != nil {
				return err
			}
			formation.known.Store(&joined)
			break
		}
		if !memberOf(status.Members, status.ID) || time.Since(led) > silenceMost {
			formation.askToJoin(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(joinPause):
		}
	}
	<-ctx.Done()
	return nil
}

// introducePause is how often a replica makes itself known.
const introducePause = time.Second

// introduce makes this replica known at the addresses of the settings that are
// no replicas', since others may be told of these alone.
func (formation *formation) introduce(ctx context.Context) error {
	runner := formation.runner
	for {
		members := runner.node.Load().Status().Members
		for _, address := range runner.settings.Bootstrap {
			member := slices.ContainsFunc(members, func(member journaler.Member) bool { return member.Address == address })
			if !member && len(members) > 0 {
				formation.ask(ctx, address, formation.known.Load().ID)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(introducePause):
		}
	}
}

func isVoter(members []journaler.Member, id journaler.ReplicaID) bool {
	return slices.ContainsFunc(members, func(member journaler.Member) bool { return member.ID == id && member.Voter })
}

func memberOf(members []journaler.Member, id journaler.ReplicaID) bool {
	return slices.ContainsFunc(members, func(member journaler.Member) bool { return member.ID == id })
}

func (formation *formation) askToJoin(ctx context.Context) {
	runner := formation.runner
	own := journaler.Member{ID: formation.known.Load().ID, Address: runner.settings.Address}
	for _, address := range runner.settings.Bootstrap {
		if address == runner.settings.Address {
			continue
		}
		if formation.joinAt(ctx, address, own) {
			return
		}
	}
}

func (formation *formation) joinAt(ctx context.Context, address string, own journaler.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, identifyMost)
	defer cancel()
	connection, err := messenger.Dial(address, formation.runner.transport)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	reply, err := messenger.ReplicaClient{Connection: connection}.Join(ctx, &messenger.JoinRequest{Cell: formation.runner.cellName(), Member: own})
	if err != nil || reply.Refusal != nil {
		return false
	}
	// Without a membership of its own this replica could not answer the leader:
	// the entry or the last piece that names it comes only after many answers.
	if len(formation.runner.node.Load().Status().Members) == 0 {
		formation.runner.sender.Load().SetMembers(own.ID, reply.Members)
	}
	return true
}
