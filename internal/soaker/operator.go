package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
	"github.com/dotterelrill/dotterelrill/responder"
)

// configure applies the teams' first templates.
func (soaker *Soaker) configure(ctx context.Context) error {
	random := rand.New(rand.NewPCG(soaker.config.Seed, 3))
	for _, account := range []modeller.ClientAccountName{"north", "south"} {
		team := &team{account: account, key: keyer.Generate()}
		answer, decided := soaker.apply(ctx, team, string(account)+"-first", 1, random)
		if !decided || !answer.Code.Successful() {
			return eris.Errorf("the first template was not applied: %+v", answer)
		}
		team.revision = answer.Revision
		soaker.teams = append(soaker.teams, team)
	}
	return nil
}

func (soaker *Soaker) apply(ctx context.Context, team *team, id string, share int, random *rand.Rand) (responder.Answer, bool) {
	request := operatorserver.TemplateRequest{
		RequestID: modeller.RequestID(id),
		Expected:  team.revision,
		File:      "template.ini",
		Source:    team.template(keyer.Hash(team.key), share),
	}
	return soaker.sendUntilDecided(ctx, random, http.MethodPost, "/v1/operator/templates", soaker.fleet.OperatorKey, request)
}

const (
	operatorsPerRace = 2
	maxRaceDelay     = 300 * time.Millisecond
)

// runOperators has operators change the team's template concurrently, each time
// with equal expected revisions.
func (soaker *Soaker) runOperators(ctx context.Context, team *team, random *rand.Rand) {
	for round := 1; ctx.Err() == nil; round++ {
		answers, decided := soaker.race(ctx, team, round, random)
		if !decided {
			return
		}
		soaker.checkRace(team, answers)
		soaker.increment(&soaker.report.Changes)
		sleep(ctx, time.Duration(random.Int64N(int64(maxRaceDelay))))
	}
}

// race returns the answers to operators who concurrently expect the same revision,
// or false if the context ended before all requests were decided.
func (soaker *Soaker) race(ctx context.Context, team *team, round int, random *rand.Rand) ([]responder.Answer, bool) {
	answers := make([]responder.Answer, operatorsPerRace)
	decided := make([]bool, operatorsPerRace)
	var group sync.WaitGroup
	for at := range operatorsPerRace {
		operatorRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		id := fmt.Sprintf("%s-%d-%d", team.account, round, at)
		group.Go(func() {
			answers[at], decided[at] = soaker.apply(ctx, team, id, 1+round%7, operatorRandom)
			if !decided[at] {
				return
			}
			repeated, _ := soaker.apply(ctx, team, id, 1+round%7, operatorRandom)
			if ctx.Err() == nil && (repeated.Revision != answers[at].Revision || repeated.Code.Successful() != answers[at].Code.Successful()) {
				soaker.recordViolation("an operator's request sent again gets the first answer", "%s: %+v, then %+v", id, answers[at], repeated)
			}
		})
	}
	group.Wait()
	for at := range operatorsPerRace {
		if !decided[at] {
			return nil, false
		}
	}
	return answers, true
}

// checkRace checks that exactly one operator's change was accepted, and that the
// others were answered with the revision that it made.
func (soaker *Soaker) checkRace(team *team, answers []responder.Answer) {
	winners := 0
	next := team.revision
	for _, answer := range answers {
		if answer.Code.Successful() {
			winners++
			next = answer.Revision
		}
	}
	if winners != 1 {
		soaker.recordViolation("one of several concurrent changes is accepted", "%s at %d: %+v", team.account, team.revision, answers)
	}
	for _, answer := range answers {
		if !answer.Code.Successful() && (answer.Code != coder.RevisionConflict || answer.Revision != next) {
			soaker.recordViolation("a refused change is answered with the current revision", "%s at %d: %+v", team.account, team.revision, answers)
		}
	}
	team.revision = next
}

const (
	keyLifetime = time.Second
	// maxWithdrawalDelay is how long an entry may still accept a withdrawn key.
	maxWithdrawalDelay = 2 * time.Second
	keyUseInterval     = 100 * time.Millisecond
)

// rotateKeys grants a key, uses it, withdraws it and checks that no entry accepts
// it any more, in turn until the context ends.
func (soaker *Soaker) rotateKeys(ctx context.Context, team *team, random *rand.Rand) {
	for round := 1; ctx.Err() == nil; round++ {
		key := keyer.Generate()
		id := fmt.Sprintf("%s-key-%d", team.account, round)
		grant := operatorserver.KeyRequest{RequestID: modeller.RequestID(id), ClientAccount: team.account, Key: keyer.Hash(key)}
		if answer, decided := soaker.sendUntilDecided(ctx, random, http.MethodPost, "/v1/operator/keys", soaker.fleet.OperatorKey, grant); !decided {
			return
		} else if !answer.Code.Successful() {
			soaker.recordViolation("a new key is granted", "%s: %+v", id, answer)
		}
		soaker.useKey(ctx, team, id, key, time.Now().Add(keyLifetime), random)
		path := fmt.Sprintf("/v1/operator/keys/%s?RequestID=withdraw-%s", keyer.Hash(key), id)
		if _, decided := soaker.sendUntilDecided(ctx, random, http.MethodDelete, path, soaker.fleet.OperatorKey, nil); !decided {
			return
		}
		soaker.checkWithdrawnKey(ctx, team, id, key, time.Now().Add(maxWithdrawalDelay))
	}
}

// useKey submits jobs with a granted key. Their outcomes are queried with the
// team's permanent key, as this one is withdrawn by then.
func (soaker *Soaker) useKey(ctx context.Context, team *team, id, key string, until time.Time, random *rand.Rand) {
	for number := 0; ctx.Err() == nil && time.Now().Before(until); number++ {
		submission := makeSubmission(fmt.Sprintf("%s-%d", id, number), 1, team, random)
		soaker.submissionLog.add(submission)
		answer, decided := soaker.sendUntilDecided(ctx, random, http.MethodPost, "/v1/jobs", key, submission.request)
		if decided && !answer.Code.Successful() {
			soaker.recordViolation("a granted key is accepted", "%s: %+v", submission.request.RequestID, answer)
		}
		submission.firstAnswer, submission.decided = answer, decided
		sleep(ctx, keyUseInterval)
	}
}

// checkWithdrawnKey submits to all entries with a withdrawn key once the deadline
// has passed; each must refuse it.
func (soaker *Soaker) checkWithdrawnKey(ctx context.Context, team *team, id, key string, deadline time.Time) {
	for at, entry := range soaker.fleet.EntryAddress {
		sleep(ctx, time.Until(deadline))
		if ctx.Err() != nil {
			return
		}
		request := callerserver.SubmitRequest{
			RequestID: modeller.RequestID(fmt.Sprintf("%s-late-%d", id, at)), ClientAccount: team.account, Queue: "ordinary", Tasks: 1,
		}
		var answer responder.Answer
		if err := soaker.sendTo(ctx, entry, http.MethodPost, "/v1/jobs", key, request, &answer); err == nil && answer.Code.Successful() {
			soaker.recordViolation("a withdrawn key stops working", "%s at %s: %+v", id, entry, answer)
		}
	}
}
