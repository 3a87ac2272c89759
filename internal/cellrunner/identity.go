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
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
)

const identityFile = "Identity"

// identity is the content of the identity file in the data folder. Its ID never
// changes.
type identity struct {
	Cell string
	ID   journaler.ReplicaID
	// Formed is true once the replica belongs to a cell. Initial is then the first
	// membership of the cell, or empty if the replica joined later.
	Formed  bool
	Initial []journaler.Member
	// Joined is true once a replica that joined later has been a voter.
	Joined bool
}

// hadVote reports whether the replica has ever been a voter of its cell.
func (identity *identity) hadVote() bool { return identity.Joined || len(identity.Initial) > 0 }

// loadIdentity reads the identity file, or creates one in an empty data folder.
func loadIdentity(config journaler.Config) (*identity, error) {
	path := filepath.Join(config.Folder, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return createIdentity(config)
	}
	if err != nil {
		return nil, eris.Wrap(err, "read identity")
	}
	identity := &identity{}
	if err := encoder.Unmarshal(data, identity); err != nil {
		return nil, eris.Wrapf(err, "decode identity file %s", path)
	}
	if identity.Cell != config.Cell {
		return nil, eris.Errorf("the data folder belongs to cell %s, not %s", identity.Cell, config.Cell)
	}
	return identity, nil
}

// createIdentity writes an identity with a new ID. It fails if the folder has a
// log but no identity, since it is unknown which replica the log belongs to.
func createIdentity(config journaler.Config) (*identity, error) {
	segments, err := journaler.Segments(config.Folder)
	if err != nil {
		return nil, err
	}
	if len(segments) > 0 {
		return nil, eris.Errorf("data folder %s has a log but no identity file", config.Folder)
	}
	identity := &identity{Cell: config.Cell, ID: journaler.ReplicaID(uuid.NewString())}
	return identity, identity.save(config)
}

func (identity *identity) save(config journaler.Config) error {
	data, err := encoder.Marshal(identity)
	if err != nil {
		return err
	}
	return journaler.WriteFile(config, identityFile, data)
}

// formation lets replicas with empty data folders agree on the first membership
// of a cell, and lets a new replica of a formed cell join as a learner.
type formation struct {
	runner *Runner
	// identity is the identity that is saved in the data folder.
	identity atomic.Pointer[identity]
}

func (formation *formation) identify(_ context.Context, request *messenger.IdentifyRequest) (*messenger.IdentifyReply, error) {
	if request.Cell != formation.runner.cellName() {
		return &messenger.IdentifyReply{Refusal: coder.Refuse(coder.WrongCell, "this is cell %s", formation.runner.cellName())}, nil
	}
	identity := formation.identity.Load()
	reply := &messenger.IdentifyReply{ID: identity.ID, Formed: identity.Formed, Members: identity.Initial}
	if node := formation.runner.node.Load(); node != nil && len(identity.Initial) == 0 {
		reply.Members = node.Status().Members
	}
	return reply, nil
}

const (
	formationRetryDelay = 100 * time.Millisecond
	identifyTimeout     = time.Second
)

// run retries until the replica belongs to a cell, and saves its identity.
func (formation *formation) run(ctx context.Context) error {
	for {
		if formed := formation.formOrJoin(ctx); formed != nil {
			return formation.save(ctx, formed)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(formationRetryDelay):
		}
	}
}

// save saves the identity, as soon as the disk has room, and then uses it.
func (formation *formation) save(ctx context.Context, identity *identity) error {
	runner := formation.runner
	err := runner.waitForRoom(ctx, func() error { return identity.save(runner.journalConfig()) })
	if err == nil {
		formation.identity.Store(identity)
	}
	return err
}

// formOrJoin sends Identify to all Bootstrap addresses once and returns the
// identity of a member, or nil if the replica can neither form nor join a cell
// yet. A cell is formed only if every address has answered and none belongs to
// a cell already, so that no second cell can form beside an existing one. Only
// replicas whose own address is in Bootstrap form a cell; others join it.
func (formation *formation) formOrJoin(ctx context.Context) *identity {
	settings := formation.runner.settings
	own := formation.identity.Load()
	members := []journaler.Member{{ID: own.ID, Address: settings.Address, Voter: true}}
	unanswered := make(map[string]struct{})
	for _, address := range settings.Bootstrap {
		if address != settings.Address {
			unanswered[address] = struct{}{}
		}
	}
	var joined *identity
	ask := func(ctx context.Context, address string) *messenger.IdentifyReply {
		return formation.askIdentity(ctx, address, own.ID)
	}
	askAll(ctx, settings.Address, settings.Bootstrap, ask, func(address string, reply *messenger.IdentifyReply) ([]string, bool) {
		if reply == nil {
			return nil, false
		}
		_, configured := unanswered[address]
		delete(unanswered, address)
		switch {
		case reply.Formed:
			joined = formation.joinFormed(own, reply.Members)
		case reply.Relay:
			return reply.Known, false
		case configured:
			members = append(members, journaler.Member{ID: reply.ID, Address: address, Voter: true})
		}
		return nil, joined != nil
	})
	if joined != nil {
		return joined
	}
	if len(unanswered) > 0 || !settings.Form || !slices.Contains(settings.Bootstrap, settings.Address) {
		return nil
	}
	slices.SortFunc(members, compareMembers)
	logger.Info(formation.runner.logger, "cell formed", "Members", len(members))
	return &identity{Cell: own.Cell, ID: own.ID, Formed: true, Initial: members}
}

// askAll asks the processes at the addresses, all at once so that one that is gone delays
// no other, and those that handle returns. It ends when all have answered or handle
// returns true. It asks each address once, and never own.
func askAll[Answer any](ctx context.Context, own string, addresses []string, ask func(context.Context, string) Answer, handle func(string, Answer) ([]string, bool)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answered struct {
		address string
		answer  Answer
	}
	answers := make(chan answered)
	asked := map[string]bool{own: true, "": true}
	for pending := 0; ; pending-- {
		for _, address := range addresses {
			if asked[address] {
				continue
			}
			asked[address] = true
			pending++
			go func() {
				answer := answered{address: address, answer: ask(ctx, address)}
				select {
				case answers <- answer:
				case <-ctx.Done():
				}
			}()
		}
		if pending == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case next := <-answers:
			others, done := handle(next.address, next.answer)
			if done {
				return
			}
			addresses = others
		}
	}
}

func compareMembers(left, right journaler.Member) int {
	if left.ID < right.ID {
		return -1
	}
	return 1
}

// joinFormed returns an identity with the first membership if this replica is one
// of its members, and otherwise one without a membership, which has to join as a
// learner.
func (formation *formation) joinFormed(own *identity, members []journaler.Member) *identity {
	joined := &identity{Cell: own.Cell, ID: own.ID, Formed: true}
	if slices.ContainsFunc(members, func(member journaler.Member) bool { return member.ID == own.ID }) {
		joined.Initial = members
	}
	return joined
}

func (formation *formation) askIdentity(ctx context.Context, address string, own journaler.ReplicaID) *messenger.IdentifyReply {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	connection, err := messenger.Dial(address, formation.runner.transport)
	if err != nil {
		return nil
	}
	defer func() { _ = connection.Close() }()
	request := &messenger.IdentifyRequest{Cell: formation.runner.cellName(), ID: own}
	if formation.identity.Load().Formed {
		request.Address = formation.runner.settings.Address
	}
	reply, err := messenger.ReplicaClient{Connection: connection}.Identify(ctx, request)
	if err != nil || reply.Refusal != nil {
		return nil
	}
	return reply
}

const joinRetryDelay = 500 * time.Millisecond

// leaderlessTimeout is how long a learner is without a known leader before it
// asks to join again, because the change that added it may have been lost with the leader.
const leaderlessTimeout = 3 * time.Second

// joinUntilVoter asks the leader to add this replica until it is a voter. A
// former voter that was removed does not ask: an operator removed it, and it
// can rejoin only as a new replica with an empty data folder.
func (formation *formation) joinUntilVoter(ctx context.Context) error {
	runner := formation.runner
	lastLeaderAt := time.Now()
	for !formation.identity.Load().hadVote() {
		status := runner.node.Load().Status()
		if status.Leader != "" {
			lastLeaderAt = time.Now()
		}
		if isVoter(status.Members, status.ID) {
			joined := *formation.identity.Load()
			joined.Joined = true
			if err := formation.save(ctx, &joined); err != nil {
				return errUnlessDone(ctx, err)
			}
			break
		}
		if !isMember(status.Members, status.ID) || time.Since(lastLeaderAt) > leaderlessTimeout {
			formation.askToJoin(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(joinRetryDelay):
		}
	}
	<-ctx.Done()
	return nil
}

// relayAnnounceInterval is the time between two announcements to the relays.
const relayAnnounceInterval = time.Second

// announceToRelays announces this replica at the Bootstrap addresses that
// belong to no member. These may be relays, and some processes are configured
// with the addresses of relays only.
func (formation *formation) announceToRelays(ctx context.Context) error {
	runner := formation.runner
	for {
		members := runner.node.Load().Status().Members
		for _, address := range runner.settings.Bootstrap {
			known := slices.ContainsFunc(members, func(member journaler.Member) bool { return member.Address == address })
			if !known && len(members) > 0 {
				formation.askIdentity(ctx, address, formation.identity.Load().ID)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(relayAnnounceInterval):
		}
	}
}

func isVoter(members []journaler.Member, id journaler.ReplicaID) bool {
	return slices.ContainsFunc(members, func(member journaler.Member) bool { return member.ID == id && member.Voter })
}

func isMember(members []journaler.Member, id journaler.ReplicaID) bool {
	return slices.ContainsFunc(members, func(member journaler.Member) bool { return member.ID == id })
}

// askToJoin asks the processes at the Bootstrap addresses to add this replica, and those
// that they name: none of them has to lead, and all may be relays.
func (formation *formation) askToJoin(ctx context.Context) {
	own := journaler.Member{ID: formation.identity.Load().ID, Address: formation.runner.settings.Address}
	ask := func(ctx context.Context, address string) joinAnswer { return formation.joinAt(ctx, address, own) }
	askAll(ctx, own.Address, formation.runner.settings.Bootstrap, ask, func(_ string, answer joinAnswer) ([]string, bool) {
		return answer.others, answer.joined
	})
}

// joinAnswer tells whether the process that was asked added the replica, and otherwise the
// addresses of replicas that it named.
type joinAnswer struct {
	joined bool
	others []string
}

// joinAt asks the process at the address to add this replica.
func (formation *formation) joinAt(ctx context.Context, address string, own journaler.Member) joinAnswer {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	connection, err := messenger.Dial(address, formation.runner.transport)
	if err != nil {
		return joinAnswer{}
	}
	defer func() { _ = connection.Close() }()
	reply, err := messenger.ReplicaClient{Connection: connection}.Join(ctx, &messenger.JoinRequest{Cell: formation.runner.cellName(), Member: own})
	if status.Code(err) == codes.Unimplemented {
		return joinAnswer{others: formation.askRelay(ctx, connection, own)}
	}
	if err != nil {
		return joinAnswer{}
	}
	if reply.Refusal != nil {
		return joinAnswer{others: []string{reply.Refusal.Leader}}
	}
	// Without a membership this replica could not send replies to the leader. It
	// gets its own one from a log entry or from the last chunk of a snapshot, both
	// of which need many replies first.
	if len(formation.runner.node.Load().Status().Members) == 0 {
		formation.runner.sender.Load().SetMembers(own.ID, reply.Members)
	}
	return joinAnswer{joined: true}
}

// askRelay returns the addresses of the replicas that a relay knows.
func (formation *formation) askRelay(ctx context.Context, connection *grpc.ClientConn, own journaler.Member) []string {
	request := &messenger.IdentifyRequest{Cell: formation.runner.cellName(), ID: own.ID}
	reply, err := messenger.ReplicaClient{Connection: connection}.Identify(ctx, request)
	if err != nil {
		return nil
	}
	return reply.Known
}
