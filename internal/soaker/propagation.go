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

// Propagation is how long configuration changes take from their acceptance until
// they are in force at every entry.
type Propagation struct {
	// WithoutFaults holds the times without injected faults.
	WithoutFaults Times
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
	// Accepted lists the submissions with a withdrawn key that were accepted
	// although they were sent after the acceptance of the key's withdrawal.
	Accepted []string
}

// String returns a line for each distribution.
func (propagation *Propagation) String() string {
	var text strings.Builder
	for _, row := range []struct {
		name  string
		times Times
	}{
		{"change in force at every entry", propagation.WithoutFaults},
		{"change in force, leader killed", propagation.Killed},
		{"change in force, leader isolated", propagation.Isolated},
		{"withdrawn key refused at every entry", propagation.Withdrawn},
		{"withdrawn key refused by a cut-off entry", propagation.CutOff},
	} {
		_, _ = fmt.Fprintf(&text, "%-42s %s\n", row.name, row.times)
	}
	_, _ = fmt.Fprintf(&text, "%-42s %d\n", "requests with a withdrawn key accepted", len(propagation.Accepted))
	return text.String()
}

// meter measures a Propagation on a fleet without workers.
type meter struct {
	*Soaker
	random      *rand.Rand
	sequence    int
	propagation Propagation
}

// MeasurePropagation starts a fleet and takes a sample of each distribution in
// every round.
func MeasurePropagation(ctx context.Context, config Config, rounds int) (*Propagation, error) {
	soaker, err := start(ctx, config, nil)
	if err != nil {
		return nil, err
	}
	defer soaker.fleet.Kill()
	meter := &meter{Soaker: soaker, random: rand.New(rand.NewPCG(config.Seed, 4))}
	for range rounds {
		for _, measure := range []func(context.Context) error{
			meter.measureWithoutFaults, meter.measureLeaderKilled, meter.measureLeaderIsolated, meter.measureWithdrawal, meter.measureCutOffEntry,
		} {
			if err := measure(ctx); err != nil {
				return nil, err
			}
		}
	}
	return &meter.propagation, nil
}

// applyChange applies a template change and returns its revision and the time of
// its acceptance.
func (meter *meter) applyChange(ctx context.Context) (modeller.Revision, time.Time, error) {
	meter.sequence++
	team := meter.teams[0]
	answer, decided := meter.apply(ctx, team, fmt.Sprint("change-", meter.sequence), 1+meter.sequence%5, meter.random)
	accepted := time.Now()
	if !decided || !answer.Code.Successful() {
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
func (meter *meter) awaitInForce(ctx context.Context, revision modeller.Revision, accepted time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, measurementTimeout)
	defer cancel()
	for _, entry := range meter.fleet.Entries {
		for {
			value := launcher.Metric(ctx, meter.fleet.MetricsAddress(entry), "dotterel_entry_configuration_revision")
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

func (meter *meter) measureWithoutFaults(ctx context.Context) error {
	revision, accepted, err := meter.applyChange(ctx)
	if err != nil {
		return err
	}
	took, err := meter.awaitInForce(ctx, revision, accepted)
	meter.propagation.WithoutFaults = append(meter.propagation.WithoutFaults, took)
	return err
}

// measureWithLaggingEntry applies a change at a leader that is cut off from one
// entry and then injects the fault, so that this entry receives the change from
// the next leader only.
func (meter *meter) measureWithLaggingEntry(ctx context.Context, fault func(leader *launcher.Process)) (time.Duration, error) {
	leader, err := meter.fleet.Leader(ctx)
	if err != nil {
		return 0, err
	}
	meter.network.Cut(forwarder.Link{From: forwarder.ProcessName(leader.Name), To: processName("entry", entryCount-1)})
	revision, accepted, err := meter.applyChange(ctx)
	if err != nil {
		return 0, err
	}
	fault(leader)
	return meter.awaitInForce(ctx, revision, accepted)
}

func (meter *meter) measureLeaderKilled(ctx context.Context) error {
	var killed *launcher.Process
	took, err := meter.measureWithLaggingEntry(ctx, func(leader *launcher.Process) {
		killed = leader
		leader.Kill()
	})
	meter.propagation.Killed = append(meter.propagation.Killed, took)
	if killed != nil {
		err = firstError(err, killed.Start())
	}
	return firstError(err, meter.awaitRecovery(ctx))
}

func (meter *meter) measureLeaderIsolated(ctx context.Context) error {
	names := meter.injector.processNames(All)
	took, err := meter.measureWithLaggingEntry(ctx, func(leader *launcher.Process) {
		meter.network.Cut(forwarder.LinksBetween(forwarder.ProcessName(leader.Name), names...)...)
	})
	meter.propagation.Isolated = append(meter.propagation.Isolated, took)
	return firstError(err, meter.awaitRecovery(ctx))
}

// awaitRecovery heals the network and waits until all processes serve.
func (meter *meter) awaitRecovery(ctx context.Context) error {
	meter.network.Heal()
	ctx, cancel := context.WithTimeout(ctx, measurementTimeout)
	defer cancel()
	return meter.fleet.AwaitReady(ctx)
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
func (meter *meter) grant(ctx context.Context) (string, error) {
	meter.sequence++
	key := keyer.Generate()
	grant := operatorserver.KeyRequest{
		RequestID: modeller.RequestID(fmt.Sprint("grant-", meter.sequence)), ClientAccount: meter.teams[0].account, Key: keyer.Hash(key),
	}
	answer, decided := meter.sendUntilDecided(ctx, meter.random, http.MethodPost, "/v1/operator/keys", meter.fleet.OperatorKey, grant)
	if !decided || !answer.Code.Successful() {
		return "", eris.Errorf("a key was not granted: %+v", answer)
	}
	_, err := meter.awaitInForce(ctx, answer.Revision, time.Now())
	return key, err
}

func (meter *meter) withdraw(ctx context.Context, key string) error {
	meter.sequence++
	path := fmt.Sprintf("/v1/operator/keys/%s?RequestID=withdraw-%d", keyer.Hash(key), meter.sequence)
	answer, decided := meter.sendUntilDecided(ctx, meter.random, http.MethodDelete, path, meter.fleet.OperatorKey, nil)
	if !decided || !answer.Code.Successful() {
		return eris.Errorf("a key was not withdrawn: %+v", answer)
	}
	return nil
}

// awaitRefusal submits to an entry with a withdrawn key until the entry refuses it,
// and records the submissions that are still accepted.
func (meter *meter) awaitRefusal(ctx context.Context, entry, key string) error {
	ctx, cancel := context.WithTimeout(ctx, measurementTimeout)
	defer cancel()
	for ctx.Err() == nil {
		meter.sequence++
		request := callerserver.SubmitRequest{
			RequestID: modeller.RequestID(fmt.Sprint("late-", meter.sequence)), ClientAccount: meter.teams[0].account, Queue: "once", Tasks: 1,
		}
		var answer responder.Answer
		err := meter.sendTo(ctx, entry, http.MethodPost, "/v1/jobs", key, request, &answer)
		switch {
		case err == nil && answer.Code.Successful():
			meter.propagation.Accepted = append(meter.propagation.Accepted, fmt.Sprintf("%s at %s: %+v", request.RequestID, entry, answer))
		case err == nil && (answer.Code == coder.WithdrawnKey || answer.Code == coder.NotServing):
			return nil
		}
	}
	return eris.Errorf("entry %s still accepts a withdrawn key", entry)
}

func (meter *meter) measureWithdrawal(ctx context.Context) error {
	key, err := meter.grant(ctx)
	if err != nil {
		return err
	}
	if err := meter.withdraw(ctx, key); err != nil {
		return err
	}
	accepted := time.Now()
	for _, entry := range meter.fleet.EntryAddress {
		if err := meter.awaitRefusal(ctx, entry, key); err != nil {
			return err
		}
	}
	meter.propagation.Withdrawn = append(meter.propagation.Withdrawn, time.Since(accepted))
	return nil
}

// measureCutOffEntry withdraws a key while one entry, at which the key is in
// force, is cut off from all replicas.
func (meter *meter) measureCutOffEntry(ctx context.Context) error {
	key, err := meter.grant(ctx)
	if err != nil {
		return err
	}
	meter.network.Cut(forwarder.LinksBetween(processName("entry", entryCount-1), meter.injector.processNames("cell")...)...)
	if err := meter.withdraw(ctx, key); err != nil {
		return err
	}
	accepted := time.Now()
	if err := meter.awaitRefusal(ctx, meter.fleet.EntryAddress[entryCount-1], key); err != nil {
		return err
	}
	meter.propagation.CutOff = append(meter.propagation.CutOff, time.Since(accepted))
	return meter.awaitRecovery(ctx)
}
