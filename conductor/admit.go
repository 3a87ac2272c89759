package conductor

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/forecaster"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// admission refuses jobs that are certain to finish after their callers have stopped
// waiting. It addresses a load beyond capacity, at which otherwise all jobs wait.
//
// The view that it decides by is read from the state a few times a second, and jobs that
// are accepted in between are added to it, so that a decision costs microseconds.
type admission struct {
	// viewedAt is when the view was read, on Clock; refreshAt is when it is read next.
	viewedAt  modeller.Millis
	refreshAt time.Duration
	pools     map[stager.PoolName]*poolView
	weights   map[modeller.ClientAccountName]int64
	// approvedShares are the parts of the workers that were approved lately, by queue.
	approvedShares map[modeller.QueueName]float64
	// changes are the latest changes of the workers of a pool.
	changes map[stager.PoolName]workersChange
	// served is the work that was started on time, by pool.
	served   map[stager.PoolName]*forecaster.Served
	refused  *forecaster.Refused
	refusals map[refusalKey]int
	// classes are those of which a job was submitted, and closures how many of them the
	// latest notice closes.
	classes  map[classKey]*jobClass
	closures int
}

// poolView is what is free in a pool and what waits for it.
type poolView struct {
	room     forecaster.Room
	waiting  forecaster.Waiting
	accounts map[modeller.ClientAccountName]*forecaster.Waiting
	// weight is the sum of the weights of accounts.
	weight int64
}

// workersChange is the number of a pool's workers and when it last grew.
type workersChange struct {
	workers int
	grewAt  modeller.Millis
}

// refusalKey is what refusals are counted by.
type refusalKey struct {
	cause   refusalCause
	queue   modeller.QueueName
	account modeller.ClientAccountName
}

// refusalCause is why a job was refused, as it is shown in logs and metrics.
type refusalCause string

const (
	causeTooLate  refusalCause = "TooLate"
	causeGivesWay refusalCause = "GivesWay"
	// causeAccountLimit and causeWorkers are those of gangs that do not fit their client
	// account's limit, or the workers present.
	causeAccountLimit refusalCause = "GangAboveAccountLimit"
	causeWorkers      refusalCause = "GangAboveWorkers"
)

const (
	// viewInterval is how often the view is read, and viewPauseFactor how many times the
	// duration of the reading the pause after it is at least.
	viewInterval    = 250 * time.Millisecond
	viewPauseFactor = 20
	// workersSettledAfter is how long no worker of a pool must have been added before a
	// gang is refused that does not fit the workers present: after a start they are
	// announced one by one.
	workersSettledAfter modeller.Millis = 10_000
	// maxCountedRunTime bounds what a task counts for in a backlog. Declared run times are
	// not bounded: a single one could make the forecast of all other jobs worthless.
	maxCountedRunTime modeller.Millis = 60_000
	// maxPath bounds a job's path, so that multiples of it are valid times.
	maxPath modeller.Millis = 1 << 40
	// approvalSmoothing is the weight of the newest answer of an adviser, and
	// approvalMargin is added to the mean for the jobs that get more than it.
	approvalSmoothing = 0.05
	approvalMargin    = 0.2
)

func newAdmission() *admission {
	return &admission{
		pools: make(map[stager.PoolName]*poolView), approvedShares: make(map[modeller.QueueName]float64),
		changes: make(map[stager.PoolName]workersChange), served: make(map[stager.PoolName]*forecaster.Served), refused: forecaster.NewRefused(), refusals: make(map[refusalKey]int),
		classes: make(map[classKey]*jobClass),
	}
}

// jobShape is what admission control needs to know of a job.
type jobShape struct {
	path modeller.Millis
	// need is the smallest amount with which a step can start at once, and first the work
	// of all steps that can.
	need  forecaster.Processors
	first forecaster.Backlog
}

// admit returns why a job is not accepted, or nil. It must not be called for a job that
// was accepted before. A malformed job is left to the state.
func (conductor *Conductor) admit(submit *stager.Submit) *coder.Refusal {
	queue := conductor.state.Queues[submit.Queue]
	if !conductor.config.Settings.Admission || queue == nil || submit.Schedule.Occurrences > 0 || stager.CheckSteps(submit.Steps, submit.Schedule) != nil ||
		slices.ContainsFunc(submit.Steps, func(step stager.Step) bool { return step.Lasting }) {
		return nil
	}
	if conductor.closed(submit) {
		refusal := coder.Refuse(coder.ForecastTooLate, "jobs of queue %s and client account %s would finish after their callers have stopped waiting", submit.Queue, submit.ClientAccount)
		refusal.RetryAfter = returnAfter(0)
		return conductor.countRefusal(refusal, causeTooLate, submit)
	}
	conductor.refreshView()
	if refusal := conductor.checkGangs(submit, queue); refusal != nil {
		return refusal
	}
	shape := conductor.shapeOf(submit.Queue, submit.Steps)
	pool := conductor.admission.pools[queue.Pool]
	if pool == nil || pool.room.Total() == 0 || shape.need == 0 {
		return nil
	}
	refused, now := conductor.admission.refused, conductor.elapsed()
	since := refused.Since(submit.ID, now)
	question := conductor.question(queue, submit.ClientAccount, pool, shape, now-since)
	asked := forecaster.RefusedJob{ID: submit.ID, Pool: queue.Pool, ClientAccount: submit.ClientAccount, Rank: queue.Rank, Work: shape.first, First: since}
	decision, forecast := forecaster.Decide(question, refused.Returning(&asked, now))
	if decision == forecaster.Accepted {
		refused.Accept(submit.ID)
		conductor.admission.addWork(pool, submit.ClientAccount, conductor.placeOf(queue, shape), forecaster.Ahead{OnTime: shape.first})
		return nil
	}
	refused.Remember(asked)
	cause := causeTooLate
	if decision == forecaster.GivesWay {
		cause = causeGivesWay
	} else {
		conductor.class(submit).refused.Extend(submit.Steps)
	}
	refusal := coder.Refuse(coder.ForecastTooLate, "the job would finish after %d ms at the earliest, and its callers wait for %d ms", forecast.Earliest, question.Deadline())
	refusal.RetryAfter = returnAfter(now - since)
	return conductor.countRefusal(refusal, cause, submit)
}

// returnAfter returns when the caller of a job that has waited for a time may return.
func returnAfter(waited modeller.Millis) time.Duration {
	return time.Duration(forecaster.ReturnAfter(waited, rand.Float64())) * time.Millisecond
}

// question returns the question to the forecaster about a job.
func (conductor *Conductor) question(queue *stager.Queue, account modeller.ClientAccountName, pool *poolView, shape jobShape, waited modeller.Millis) *forecaster.Question {
	place := conductor.placeOf(queue, shape)
	question := &forecaster.Question{
		Now: conductor.elapsed() - conductor.admission.viewedAt, Room: &pool.room,
		Fleet: pool.waiting.Before(place), Account: pool.accounts[account].Before(place),
		AccountShare: conductor.admission.accountShare(pool, account), ApprovedShare: 1, LateShare: 1,
		Need: shape.need, Path: shape.path, Objective: objectiveOf(queue, shape.path), Waited: waited,
	}
	if served := conductor.admission.served[queue.Pool]; served != nil {
		question.LateShare = served.LateShare(conductor.elapsed(), pool.room.Total())
	}
	if share, known := conductor.admission.approvedShares[queue.Name]; known && queue.Advised != nil {
		question.ApprovedShare = min(1, share+approvalMargin)
	}
	return question
}

func objectiveOf(queue *stager.Queue, path modeller.Millis) modeller.Millis {
	return modeller.Millis(queue.Slack*float64(path)) + queue.Allowance
}

// placeOf returns the place of a job that is submitted now.
func (conductor *Conductor) placeOf(queue *stager.Queue, shape jobShape) forecaster.Place {
	latestStart := conductor.elapsed() - conductor.admission.viewedAt + objectiveOf(queue, shape.path) - shape.path
	return forecaster.Place{Rank: queue.Rank, Need: shape.need, LatestStart: latestStart}
}

// shapeOf returns the shape of a job that has not begun. Its steps must be valid.
func (conductor *Conductor) shapeOf(queue modeller.QueueName, steps []stager.Step) jobShape {
	shape := jobShape{need: forecaster.StartNeed(steps), path: slices.Max(conductor.pathsOf(&stager.Job{Queue: queue, Steps: steps}))}
	for index := range steps {
		step := &steps[index]
		if len(step.After) == 0 {
			shape.first = shape.first.Add(conductor.backlogOf(queue, step, step.Tasks))
		}
	}
	return shape
}

// backlogOf returns the work of some waiting tasks of a step.
func (conductor *Conductor) backlogOf(queue modeller.QueueName, step *stager.Step, tasks uint32) forecaster.Backlog {
	demand := forecaster.Processors(step.Demand().MilliProcessors) * forecaster.Processors(tasks)
	runTime := min(max(0, conductor.runTime(queue, step.RunTime)), maxCountedRunTime)
	return forecaster.Backlog{Work: forecaster.Work(demand) * forecaster.Work(runTime), Demand: demand, Tasks: int(tasks)}
}

// checkGangs refuses a job with a gang that can never fit its client account's limit, or
// the workers present.
func (conductor *Conductor) checkGangs(submit *stager.Submit, queue *stager.Queue) *coder.Refusal {
	for index := range submit.Steps {
		step := &submit.Steps[index]
		if !step.Gang {
			continue
		}
		limit := conductor.state.Room(submit.ClientAccount).Add(conductor.state.Used(submit.ClientAccount))
		if size := step.Size.Times(int64(step.Tasks)); !size.Fits(limit) {
			refusal := coder.Refuse(coder.CanNeverRun, "step %d needs %s at once, and the limit of client account %s is %s", index, size, submit.ClientAccount, limit)
			return conductor.countRefusal(refusal, causeAccountLimit, submit)
		}
		if fit := conductor.fittingTasks(step, queue.Pool); fit < int64(step.Tasks) && conductor.workersSettled(queue.Pool) {
			refusal := coder.Refuse(coder.ForecastTooLate, "step %d needs %d tasks at once, and the workers present hold %d", index, step.Tasks, fit)
			refusal.RetryAfter = returnAfter(0)
			return conductor.countRefusal(refusal, causeWorkers, submit)
		}
	}
	return nil
}

// fittingTasks returns how many tasks of a step a pool's workers would hold at once if
// they were empty. It stops counting at the number of the step's tasks.
func (conductor *Conductor) fittingTasks(step *stager.Step, pool stager.PoolName) int64 {
	fit, size := int64(0), step.Demand()
	for _, connection := range conductor.sortedConnections {
		worker := conductor.state.Workers[connection.name]
		if worker == nil || worker.Pool != pool || !worker.HasLabel(step.Label) {
			continue
		}
		onWorker := int64(step.Tasks)
		if step.MostPerWorker > 0 {
			onWorker = min(onWorker, int64(step.MostPerWorker))
		}
		onWorker = min(onWorker, timesIn(size.MilliProcessors, worker.Capacity.MilliProcessors), timesIn(size.MemoryMiB, worker.Capacity.MemoryMiB),
			timesIn(size.Accelerators, worker.Capacity.Accelerators))
		if fit += onWorker; fit >= int64(step.Tasks) {
			break
		}
	}
	return fit
}

// timesIn returns how often a size fits a capacity.
func timesIn(size, capacity int64) int64 {
	if size <= 0 {
		return math.MaxInt64
	}
	return capacity / size
}

// workersSettled reports whether a pool has workers, none of which was added lately.
func (conductor *Conductor) workersSettled(pool stager.PoolName) bool {
	change, known := conductor.admission.changes[pool]
	return known && change.workers > 0 && conductor.elapsed()-change.grewAt >= workersSettledAfter
}

// countRefusal counts a refusal by cause, queue and account, for the log and the
// metrics, and returns it.
func (conductor *Conductor) countRefusal(refusal *coder.Refusal, cause refusalCause, submit *stager.Submit) *coder.Refusal {
	refusal.NotProposed = true
	conductor.admission.refusals[refusalKey{cause, submit.Queue, submit.ClientAccount}]++
	conductor.instruments.set.GetOrCreateCounter(fmt.Sprintf("dotterel_staged_jobs_refused_total{cause=%q,queue=%q,account=%q}", cause, submit.Queue, submit.ClientAccount)).Inc()
	return refusal
}

// logRefusals logs the refusals since the last call, one line for each cause, queue and
// account: a flood must not flood the log.
func (conductor *Conductor) logRefusals() {
	keys := make([]refusalKey, 0, len(conductor.admission.refusals))
	for key := range conductor.admission.refusals {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(left, right refusalKey) int {
		return cmp.Or(cmp.Compare(left.cause, right.cause), cmp.Compare(left.queue, right.queue), cmp.Compare(left.account, right.account))
	})
	for _, key := range keys {
		logger.Warn(conductor.config.Logger, "jobs refused", "Cause", string(key.cause), "Queue", key.queue, "ClientAccount", key.account,
			"Jobs", conductor.admission.refusals[key])
	}
	clear(conductor.admission.refusals)
}

// observeAdvice records which part of the workers an adviser approved.
func (conductor *Conductor) observeAdvice(queue modeller.QueueName, asked, approved int) {
	if asked == 0 {
		return
	}
	shares, share := conductor.admission.approvedShares, float64(approved)/float64(asked)
	if previous, known := shares[queue]; known {
		share = previous + approvalSmoothing*(share-previous)
	}
	shares[queue] = share
}

// noteStarted records work that was started while its job can be on time.
func (conductor *Conductor) noteStarted(job *stager.Job, place *stager.Place) {
	queue := conductor.state.Queues[job.Queue]
	if !conductor.config.Settings.Admission || queue == nil {
		return
	}
	step, paths := &job.Steps[place.Step.Step], conductor.pathsOf(job)
	released := max(job.Schedule.Due(place.Step.Occurrence), job.Accepted)
	if conductor.state.Now > released+objectiveOf(queue, slices.Max(paths))-paths[place.Step.Step] {
		return
	}
	served := conductor.admission.served[queue.Pool]
	if served == nil {
		served = &forecaster.Served{}
		conductor.admission.served[queue.Pool] = served
	}
	served.Add(conductor.elapsed(), conductor.backlogOf(job.Queue, step, uint32(len(place.Tasks))).Work)
}

// pathsOf returns a job's longest chains of expected run times, by step.
func (conductor *Conductor) pathsOf(job *stager.Job) []modeller.Millis {
	return job.CriticalPaths(func(declared modeller.Millis) modeller.Millis {
		return min(max(0, conductor.runTime(job.Queue, declared)), maxPath)
	})
}

// refreshView reads the view from the state if it is due.
func (conductor *Conductor) refreshView() {
	began := conductor.config.Clock()
	if began < conductor.admission.refreshAt {
		return
	}
	admission := conductor.admission
	admission.viewedAt = millis(began)
	clear(admission.pools)
	admission.weights = make(map[modeller.ClientAccountName]int64)
	if conductor.state.Deployment != nil {
		for index := range conductor.state.Deployment.Accounts {
			account := &conductor.state.Deployment.Accounts[index]
			admission.weights[account.Name] = max(1, account.Weight)
		}
	}
	conductor.viewWorkers(began)
	for _, job := range conductor.state.Open() {
		conductor.viewJob(job)
	}
	admission.refused.Forget(admission.viewedAt)
	admission.refreshAt = began + max(viewInterval, viewPauseFactor*(conductor.config.Clock()-began))
}

func (admission *admission) pool(name stager.PoolName) *poolView {
	pool := admission.pools[name]
	if pool == nil {
		pool = &poolView{accounts: make(map[modeller.ClientAccountName]*forecaster.Waiting)}
		admission.pools[name] = pool
	}
	return pool
}

// addWork adds waiting work of a client account.
func (admission *admission) addWork(pool *poolView, account modeller.ClientAccountName, place forecaster.Place, ahead forecaster.Ahead) {
	waiting := pool.accounts[account]
	if waiting == nil {
		waiting = &forecaster.Waiting{}
		pool.accounts[account] = waiting
		pool.weight += admission.weight(account)
	}
	waiting.Add(place, ahead)
	pool.waiting.Add(place, ahead)
}

func (admission *admission) weight(account modeller.ClientAccountName) int64 {
	return max(1, admission.weights[account])
}

// accountShare returns the part of a pool that an account gets by its weight while those
// that wait share it.
func (admission *admission) accountShare(pool *poolView, account modeller.ClientAccountName) float64 {
	weight, sum := admission.weight(account), pool.weight
	if pool.accounts[account] == nil {
		sum += weight
	}
	return float64(weight) / float64(sum)
}

// viewWorkers reads what is free on the workers and when their tasks are expected to
// end. A lasting task does not end. A worker that is out of contact counts with its
// free room, since it may come back.
func (conductor *Conductor) viewWorkers(now time.Duration) {
	counts := make(map[stager.PoolName]int)
	for _, connection := range conductor.sortedConnections {
		worker := conductor.state.Workers[connection.name]
		if worker == nil {
			continue
		}
		counts[worker.Pool]++
		if worker.Leaving {
			continue
		}
		room := &conductor.admission.pool(worker.Pool).room
		room.Release(0, forecaster.Processors(max(0, worker.Capacity.Sub(worker.Used()).MilliProcessors)))
		for id, attempt := range connection.attempts {
			job := conductor.state.Jobs[id.Job]
			if job == nil || len(job.Steps) <= int(id.Step) || job.Steps[id.Step].Lasting && !job.Over() {
				continue
			}
			step, remaining := &job.Steps[id.Step], time.Duration(0)
			if !job.Over() {
				remaining = attempt.remainingTime(conductor.runTime(job.Queue, step.RunTime), now)
			}
			room.Release(millis(remaining), forecaster.Processors(step.Demand().MilliProcessors))
		}
	}
	for name, count := range counts {
		change, known := conductor.admission.changes[name]
		if !known || count > change.workers {
			change.grewAt = millis(now)
		}
		change.workers = count
		conductor.admission.changes[name] = change
	}
}

// viewJob adds the waiting tasks of a job's steps that are ready. Those of a job so late
// that its callers have stopped waiting go last, and are left out.
func (conductor *Conductor) viewJob(job *stager.Job) {
	queue := conductor.state.Queues[job.Queue]
	if queue == nil {
		return
	}
	var paths []modeller.Millis
	now := conductor.config.Now()
	for occurrence := range job.Occurrences() {
		due := job.Schedule.Due(occurrence)
		if due > now {
			return
		}
		for index := range uint32(len(job.Steps)) {
			tasks := waitingTasks(job, occurrence, index)
			if tasks == 0 {
				continue
			}
			if paths == nil {
				paths = conductor.pathsOf(job)
			}
			step, released := &job.Steps[index], max(due, job.Accepted)
			objective := objectiveOf(queue, slices.Max(paths))
			latestStart := released + objective - paths[index]
			backlog, ahead := conductor.backlogOf(job.Queue, step, tasks), forecaster.Ahead{}
			switch {
			case step.Lasting || now <= latestStart:
				ahead.OnTime = backlog
			case now <= released+forecaster.ServedObjectives*objective:
				ahead.Late = backlog
			default:
				continue
			}
			conductor.admission.addWork(conductor.admission.pool(queue.Pool), job.ClientAccount,
				forecaster.Place{Rank: queue.Rank, Need: forecaster.Need(step, tasks), LatestStart: latestStart - now}, ahead)
		}
	}
}

// waitingTasks returns how many tasks of a step wait for nothing but room.
func waitingTasks(job *stager.Job, occurrence, step uint32) uint32 {
	if job.Undone(occurrence, step) == 0 || !job.Ready(occurrence, step) {
		return 0
	}
	waiting, tasks := uint32(0), job.StepTasks(occurrence, step)
	for index := range tasks {
		if !tasks[index].Done && !tasks[index].Live {
			waiting++
		}
	}
	if job.Steps[step].Gang && waiting < uint32(len(tasks)) {
		return 0
	}
	return waiting
}
