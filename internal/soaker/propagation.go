package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/forwarder"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
	"github.com/dotterelrill/dotterelrill/responder"
)

// Times is a distribution of times.
type Times []time.Duration

// String returns the median, the 99th percentile, the maximum and the count.
func (times Times) String() string {
	if len(times) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(times))
	at := func(percent int) time.Duration {
		return sorted[(len(sorted)*percent+99)/100-1].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("median %s, p99 %s, max %s, n %d", at(50), at(99), at(100), len(sorted))
}

// Spread is how long configuration changes take from their acceptance until they
// are in force at every entry.
type Spread struct {
	// Quiet holds the times without faults.
	Quiet Times
	// Killed holds the times if the leader is cut off from one entry before it
	// accepts the change, and is killed right after.
	Killed Times
	// Isolated holds the times if the leader, in place of being killed, is cut off
	// from all processes.
	Isolated Times
	// Withdrawn holds the times until every entry refuses a withdrawn key, CutOff
	// those until an entry that is cut off from all replicas refuses it.
	Withdrawn Times
	CutOff    Times
	// Taken lists the submissions that were accepted although they were sent
	// after the acceptance of the key's withdrawal.
	Taken []string
}

// String returns a line for each distribution.
func (spread *Spread) String() string {
	var text strings.Builder
	for _, row := range []struct {
		name  string
		times Times
	}{
		{"change in force at every entry", spread.Quiet},
		{"change in force, leader killed", spread.Killed},
		{"change in force, leader isolated", spread.Isolated},
		{"withdrawn key refused at every entry", spread.Withdrawn},
		{"withdrawn key refused by a cut-off entry", spread.CutOff},
	} {
		_, _ = fmt.Fprintf(&text, "%-42s %s\n", row.name, row.times)
	}
	_, _ = fmt.Fprintf(&text, "%-42s %d\n", "requests with a withdrawn key accepted", len(spread.Taken))
	return text.String()
}

// spreader measures a Spread on a fleet without workers.
type spreader struct {
	*Soaker
	random *rand.Rand
	number int
	spread Spread
}

// MeasurePropagation starts a fleet and takes a sample of each distribution in
// every round.
func MeasurePropagation(ctx context.Context, config Config, rounds int) (*Spread, error) {
	soaker, err := start(ctx, config, nil)
	if err != nil {
		return nil, err
	}
	defer soaker.fleet.Kill()
	spreader := &spreader{Soaker: soaker, random: rand.New(rand.NewPCG(config.Seed, 4))}
	for range rounds {
		for _, measure := range []func(context.Context) error{
			spreader.measureWithoutFaults, spreader.measureLeaderKilled, spreader.measureLeaderIsolated, spreader.measureWithdrawal, spreader.measureCutOffEntry,
		} {
			if err := measure(ctx); err != nil {
				return nil, err
			}
		}
	}
	return &spreader.spread, nil
}

// applyChange applies a template change and returns its revision and the time of
// its acceptance.
func (spreader *spreader) applyChange(ctx context.Context) (modeller.Revision, time.Time, error) {
	spreader.number++
	team := spreader.teams[0]
	answer, decided := spreader.apply(ctx, team, fmt.Sprint("change-", spreader.number), 1+spreader.number%5, spreader.random)
	accepted := time.Now()
	if !decided || !answer.Code.Good() {
		return 0, accepted, eris.Errorf("a change was not accepted: %+v", answer)
	}
	team.revision = answer.Revision
	return answer.Revision, accepted, nil
}

const (
	pollInterval = 2 * time.Millisecond
	// measurementTimeout bounds one wait, such as that for a change to be in
	// force at every entry.
	measurementTimeout = time.Minute
)

// awaitInForce waits until a revision is in force at every entry and returns the
// time since its acceptance.
func (spreader *spreader) awaitInForce(ctx context.Context, revision modeller.Revision, accepted time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, measurementTimeout)
	defer cancel()
	for _, entry := range spreader.fleet.Entries {
		for {
			value := launcher.Metric(ctx, spreader.fleet.MetricsAddress(entry), "dotterel_entry_configuration_revision")
			if found, err := strconv.ParseUint(value, 10, 64); err == nil && modeller.Revision(found) >= revision {
				break
			}
			if ctx.Err() != nil {
				return 0, eris.Errorf("revision %d is not in force at %s", revision, entry.Name)
			}
			sleep(ctx, pollInterval)
		}
	}
	return time.Since(accepted), nil
}

func (spreader *spreader) measureWithoutFaults(ctx context.Context) error {
	revision, accepted, err := spreader.applyChange(ctx)
	if err != nil {
		return err
	}
	took, err := spreader.awaitInForce(ctx, revision, accepted)
	spreader.spread.Quiet = append(spreader.spread.Quiet, took)
	return err
}

// measureWithLaggingEntry applies a change at a leader that is cut off from one
// entry and then injects the fault, so that this entry receives the change from
// the next leader only.
func (spreader *spreader) measureWithLaggingEntry(ctx context.Context, fault func(leader *launcher.Process)) (time.Duration, error) {
	leader, err := spreader.fleet.Leader(ctx)
	if err != nil {
		return 0, err
	}
	spreader.network.Cut(forwarder.Link{From: forwarder.Name(leader.Name), To: processName("entry", entryCount-1)})
	revision, accepted, err := spreader.applyChange(ctx)
	if err != nil {
		return 0, err
	}
	fault(leader)
	return spreader.awaitInForce(ctx, revision, accepted)
}

func (spreader *spreader) measureLeaderKilled(ctx context.Context) error {
	var killed *launcher.Process
	took, err := spreader.measureWithLaggingEntry(ctx, func(leader *launcher.Process) {
		killed = leader
		leader.Kill()
	})
	spreader.spread.Killed = append(spreader.spread.Killed, took)
	if killed != nil {
		err = firstError(err, killed.Start())
	}
	return firstError(err, spreader.awaitRecovery(ctx))
}

func (spreader *spreader) measureLeaderIsolated(ctx context.Context) error {
	names := spreader.faults.processNames(All)
	took, err := spreader.measureWithLaggingEntry(ctx, func(leader *launcher.Process) {
		spreader.network.Cut(forwarder.Around(forwarder.Name(leader.Name), names...)...)
	})
	spreader.spread.Isolated = append(spreader.spread.Isolated, took)
	return firstError(err, spreader.awaitRecovery(ctx))
}

// awaitRecovery heals the network and waits until all processes serve.
func (spreader *spreader) awaitRecovery(ctx context.Context) error {
	spreader.network.Heal()
	ctx, cancel := context.WithTimeout(ctx, measurementTimeout)
	defer cancel()
	return spreader.fleet.AwaitReady(ctx)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// grant grants a new key and waits until it is in force at every entry.
func (spreader *spreader) grant(ctx context.Context) (string, error) {
	spreader.number++
	key := keyer.Make()
	grant := operatorserver.KeyRequest{
		RequestID: modeller.RequestID(fmt.Sprint("grant-", spreader.number)), ClientAccount: spreader.teams[0].account, Key: keyer.Hash(key),
	}
	answer, decided := spreader.sendUntilDecided(ctx, spreader.random, http.MethodPost, "/v1/operator/keys", spreader.fleet.OperatorKey, grant)
	if !decided || !answer.Code.Good() {
		return "", eris.Errorf("a key was not granted: %+v", answer)
	}
	_, err := spreader.awaitInForce(ctx, answer.Revision, time.Now())
	return key, err
}

func (spreader *spreader) withdraw(ctx context.Context, key string) error {
	spreader.number++
	path := fmt.Sprintf("/v1/operator/keys/%s?RequestID=withdraw-%d", keyer.Hash(key), spreader.number)
	answer, decided := spreader.sendUntilDecided(ctx, spreader.random, http.MethodDelete, path, spreader.fleet.OperatorKey, nil)
	if !decided || !answer.Code.Good() {
		return eris.Errorf("a key was not withdrawn: %+v", answer)
	}
	return nil
}

// awaitRefusal submits to an entry with a withdrawn key until the entry refuses it,
// and records the submissions that are still accepted.
func (spreader *spreader) awaitRefusal(ctx context.Context, entry, key string) error {
	ctx, cancel := context.WithTimeout(ctx, measurementTimeout)
	defer cancel()
	for ctx.Err() == nil {
		spreader.number++
		request := callerserver.SubmitRequest{
			RequestID: modeller.RequestID(fmt.Sprint("late-", spreader.number)), ClientAccount: spreader.teams[0].account, Queue: "once", Tasks: 1,
		}
		var answer responder.Answer
		err := spreader.sendTo(ctx, entry, http.MethodPost, "/v1/jobs", key, request, &answer)
		switch {
		case err == nil && answer.Code.Good():
			spreader.spread.Taken = append(spreader.spread.Taken, fmt.Sprintf("%s at %s: %+v", request.RequestID, entry, answer))
		case err == nil && (answer.Code == coder.WithdrawnKey || answer.Code == coder.NotServing):
			return nil
		}
	}
	return eris.Errorf("entry %s still accepts a withdrawn key", entry)
}

func (spreader *spreader) measureWithdrawal(ctx context.Context) error {
	key, err := spreader.grant(ctx)
	if err != nil {
		return err
	}
	if err := spreader.withdraw(ctx, key); err != nil {
		return err
	}
	accepted := time.Now()
	for _, entry := range spreader.fleet.EntryAddress {
		if err := spreader.awaitRefusal(ctx, entry, key); err != nil {
			return err
		}
	}
	spreader.spread.Withdrawn = append(spreader.spread.Withdrawn, time.Since(accepted))
	return nil
}

// measureCutOffEntry withdraws a key while one entry, at which the key is in
// force, is cut off from all replicas.
func (spreader *spreader) measureCutOffEntry(ctx context.Context) error {
	key, err := spreader.grant(ctx)
	if err != nil {
		return err
	}
	spreader.network.Cut(forwarder.Around(processName("entry", entryCount-1), spreader.faults.processNames("cell")...)...)
	if err := spreader.withdraw(ctx, key); err != nil {
		return err
	}
	accepted := time.Now()
	if err := spreader.awaitRefusal(ctx, spreader.fleet.EntryAddress[entryCount-1], key); err != nil {
		return err
	}
	spreader.spread.CutOff = append(spreader.spread.CutOff, time.Since(accepted))
	return spreader.awaitRecovery(ctx)
}
