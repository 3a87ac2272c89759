package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/responder"
)

// submission is a caller's record of a request and the answers to it.
type submission struct {
	request callerserver.SubmitRequest
	team    *team
	// firstAnswer is the first answer that wasn't retryable; later ones must
	// agree with it.
	firstAnswer responder.Answer
	decided     bool
	outcome     callerserver.JobAnswer
	finished    bool
}

// submissionLog lists the submissions of all callers. It is safe for concurrent use.
type submissionLog struct {
	mutex       sync.Mutex
	submissions []*submission
}

func newSubmissionLog() *submissionLog { return &submissionLog{} }

func (submissionLog *submissionLog) add(submission *submission) {
	submissionLog.mutex.Lock()
	defer submissionLog.mutex.Unlock()
	submissionLog.submissions = append(submissionLog.submissions, submission)
}

const (
	maxCallDelay             = 60 * time.Millisecond
	submissionsPerCancelWave = 12
	submissionsPerResend     = 6
	maxRunMillis             = 400
	maxRunOnceMillis         = 2000
	maxGangTasks             = 3
	// cancelWaveBound is the exclusive upper bound of the jobs cancelled in one wave.
	cancelWaveBound       = 8
	submissionsPerService = 25
)

// runCaller submits work until the context ends, sends some answered requests
// again, and cancels groups of recent jobs.
func (soaker *Soaker) runCaller(ctx context.Context, name string, team *team, random *rand.Rand) {
	var submissions []*submission
	for number := 1; ctx.Err() == nil; number++ {
		submission := makeSubmission(fmt.Sprintf("%s-%d", name, number), number, team, random)
		soaker.submissionLog.add(submission)
		submissions = append(submissions, submission)
		soaker.submit(ctx, submission, random)
		if number%submissionsPerResend == 0 {
			soaker.submit(ctx, submissions[random.IntN(len(submissions))], random)
		}
		if number%submissionsPerCancelWave == 0 {
			soaker.cancelWave(ctx, submissions, random)
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxCallDelay))))
	}
}

func makeSubmission(id string, number int, team *team, random *rand.Rand) *submission {
	queue, tasks, run := "ordinary", 1+random.IntN(2), maxRunMillis
	switch {
	case number%submissionsPerService == 0:
		queue, tasks = "service", 1
	case random.IntN(3) == 0:
		queue, run = "once", maxRunOnceMillis
	case random.IntN(4) == 0:
		queue, tasks = "gang", 2+random.IntN(maxGangTasks-1)
	}
	payload, _ := json.Marshal(struct {
		RunMillis int
		Answer    string
	}{random.IntN(run), "answer to " + id})
	return &submission{team: team, request: callerserver.SubmitRequest{
		RequestID:     modeller.RequestID(id),
		ClientAccount: team.account,
		Queue:         modeller.QueueName(queue),
		Tasks:         uint32(tasks),
		Payload:       payload,
	}}
}

// submit sends a submission until it is decided, and checks that the answer
// agrees with the first one.
func (soaker *Soaker) submit(ctx context.Context, submission *submission, random *rand.Rand) {
	answer, decided := soaker.sendUntilDecided(ctx, random, http.MethodPost, "/v1/jobs", submission.team.key, submission.request)
	if !decided {
		return
	}
	if !submission.decided {
		submission.firstAnswer, submission.decided = answer, true
		return
	}
	if answer.Job != submission.firstAnswer.Job || answer.Code.Successful() != submission.firstAnswer.Code.Successful() {
		soaker.recordViolation("the same RequestID gets the same answer", "%s: first %+v, then %+v", submission.request.RequestID, submission.firstAnswer, answer)
	}
	if answer.Code == coder.OK {
		soaker.recordViolation("a request sent again is not accepted as new", "%s: %+v", submission.request.RequestID, answer)
	}
}

// cancelWave cancels a random number of the newest jobs concurrently.
func (soaker *Soaker) cancelWave(ctx context.Context, submissions []*submission, random *rand.Rand) {
	var group sync.WaitGroup
	for _, submission := range submissions[max(0, len(submissions)-random.IntN(cancelWaveBound)):] {
		if submission.decided && submission.firstAnswer.Code.Successful() {
			seed := random.Uint64()
			group.Go(func() { soaker.cancel(ctx, submission, rand.New(rand.NewPCG(seed, 0))) })
		}
	}
	group.Wait()
}

func (soaker *Soaker) cancel(ctx context.Context, submission *submission, random *rand.Rand) {
	path := fmt.Sprintf("/v1/jobs/%d?RequestID=cancel-%s", submission.firstAnswer.Job, submission.request.RequestID)
	soaker.sendUntilDecided(ctx, random, http.MethodDelete, path, submission.team.key, nil)
}

// decideSubmissions resends the requests that have no decision yet.
func (soaker *Soaker) decideSubmissions(ctx context.Context) {
	random := rand.New(rand.NewPCG(soaker.config.Seed, 2))
	for _, submission := range soaker.submissionLog.submissions {
		if !submission.decided {
			soaker.submit(ctx, submission, random)
		}
		if !submission.decided {
			soaker.recordViolation("every request is answered", "%s: %v", submission.request.RequestID, errNotSettled)
		}
	}
}

const maxConcurrentFinishers = 8

// awaitOutcomes waits for the outcome of every accepted job. It cancels services,
// as they don't finish by themselves.
func (soaker *Soaker) awaitOutcomes(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentFinishers)
	var group sync.WaitGroup
	for at, submission := range soaker.submissionLog.submissions {
		if !submission.decided || !submission.firstAnswer.Code.Successful() {
			continue
		}
		soaker.report.Jobs++
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			soaker.awaitOutcome(ctx, submission, rand.New(rand.NewPCG(soaker.config.Seed, uint64(1000+at))))
		})
	}
	group.Wait()
}

func (soaker *Soaker) awaitOutcome(ctx context.Context, submission *submission, random *rand.Rand) {
	if submission.request.Queue == "service" {
		soaker.cancel(ctx, submission, random)
	}
	path := fmt.Sprintf("/v1/jobs/%d?WaitMillis=1000", submission.firstAnswer.Job)
	for ctx.Err() == nil {
		err := soaker.send(ctx, random, http.MethodGet, path, submission.team.key, nil, &submission.outcome)
		if err == nil && submission.outcome.Outcome != "" {
			submission.finished = true
			return
		}
		sleep(ctx, retryDelay)
	}
	soaker.recordViolation("every accepted job has an outcome", "job %d of %s: %+v", submission.firstAnswer.Job, submission.request.RequestID, submission.outcome)
}
