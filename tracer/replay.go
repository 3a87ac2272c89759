package tracer

import (
	"container/heap"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Policy is the interface of a placement policy to a replay. Observe receives each
// change of the state, Plan returns the commands to apply now, and Undo reverts a
// command that was rejected, whose tasks must not be placed again before notBefore.
type Policy struct {
	Name    string
	Observe func(event *applier.Event)
	Plan    func(now modeller.Millis) []*applier.Command
	Undo    func(command *applier.Command, notBefore modeller.Millis)
}

// Config describes a replay.
type Config struct {
	Trace  *Trace
	Policy Policy
	// Event, unless nil, is called for each change of the state.
	Event func(event *applier.Event)
	// Decided, unless nil, is called with each command of the policy and its
	// result.
	Decided func(command *applier.Command, result applier.Result)
	// Planned, unless nil, is called after each planning round with the resulting
	// state.
	Planned func(now modeller.Millis, state *applier.State)
}

// Fixed intervals and delays of a replay, in virtual milliseconds.
const (
	// Step is the interval between planning rounds while the policy makes
	// decisions. All planning times are multiples of it.
	Step modeller.Millis = 20
	// startDelay is the time from the placement of a task to the report of its
	// start.
	startDelay modeller.Millis = 10
	// stopDelay is the time that a task takes to end after it is ordered to stop.
	stopDelay modeller.Millis = 250
	// refusedDelay is the minimum time before the tasks of a rejected decision are
	// placed again.
	refusedDelay modeller.Millis = 50
	// idleStep is the interval between planning rounds while work is waiting and
	// no other event is due.
	idleStep modeller.Millis = 200
)

const cell = modeller.CellName("replay")

type replay struct {
	config Config
	state  *applier.State
	now    modeller.Millis
	index  uint64
	timers timers
	// jobIDs holds the JobID of each submission, or zero if it was rejected, and
	// submissions the submission of each job.
	jobIDs      []modeller.JobID
	submissions map[modeller.JobID]*Submission
	waiting     int
}

// Replay runs the policy over the trace and returns the final state. It returns an
// error if a worker or template of the trace is rejected.
func Replay(config Config) (*applier.State, error) {
	replay := &replay{
		config:      config,
		state:       applier.New(cell),
		submissions: make(map[modeller.JobID]*Submission),
	}
	if err := replay.applyInitialState(); err != nil {
		return nil, err
	}
	inputs := config.Trace.Inputs
	for replay.now < config.Trace.Horizon {
		for len(inputs) > 0 && inputs[0].At <= replay.now {
			if err := replay.applyInput(&inputs[0]); err != nil {
				return nil, err
			}
			inputs = inputs[1:]
		}
		replay.reportDue()
		decided := replay.plan()
		replay.now = replay.nextTime(inputs, decided)
	}
	return replay.state, nil
}

func (replay *replay) applyInitialState() error {
	for index := range replay.config.Trace.Workers {
		join := &applier.JoinWorker{Worker: replay.config.Trace.Workers[index]}
		if result := replay.apply(&applier.Command{JoinWorker: join}); !result.Code.Successful() {
			return eris.Errorf("worker %s cannot join: %s", join.Worker.Name, result.Detail)
		}
	}
	for index := range replay.config.Trace.Templates {
		if err := replay.applyTemplate(&replay.config.Trace.Templates[index], 0); err != nil {
			return err
		}
	}
	return nil
}

func (replay *replay) applyTemplate(template *modeller.Template, expected modeller.Revision) error {
	apply := &applier.ApplyTemplate{Expected: expected, Template: *template}
	request := modeller.RequestID(fmt.Sprintf("template-%s-%d", template.Name, expected))
	if result := replay.apply(&applier.Command{RequestID: request, ApplyTemplate: apply}); !result.Code.Successful() {
		return eris.Errorf("template %s rejected: %s", template.Name, result.Detail)
	}
	return nil
}

// apply applies a command to the state and passes the resulting events on.
func (replay *replay) apply(command *applier.Command) applier.Result {
	command.Cell = cell
	command.Time = replay.now
	replay.index++
	result := replay.state.Apply(replay.index, command)
	events := replay.state.Events()
	for index := range events {
		replay.observe(&events[index])
	}
	return result
}

func (replay *replay) observe(event *applier.Event) {
	key := attemptKey{task: event.Task, attempt: event.Attempt}
	switch event.Kind {
	case applier.EventJobAccepted:
		replay.waiting += int(event.Spec.Tasks)
	case applier.EventTaskPlaced:
		replay.waiting--
		replay.timers.add(timer{at: replay.now + startDelay, key: key, phase: modeller.PhaseStarted})
	case applier.EventTaskStarted:
		runTime := replay.submissions[event.Task.Job].RunTime
		replay.timers.add(timer{at: replay.now + runTime, key: key, phase: modeller.PhaseSucceeded})
	case applier.EventTaskStopping:
		replay.timers.add(timer{at: replay.now + stopDelay, key: key, phase: modeller.PhaseStopped})
	case applier.EventTaskRequeued:
		replay.waiting++
	case applier.EventTaskDone:
		if event.Outcome == modeller.NotRun {
			replay.waiting--
		}
	}
	replay.config.Policy.Observe(event)
	if replay.config.Event != nil {
		replay.config.Event(event)
	}
}

func (replay *replay) applyInput(input *Input) error {
	switch {
	case input.Submit != nil:
		replay.submit(input.Submit)
	case input.Cancel != nil:
		job := replay.jobIDs[input.Cancel.Submission]
		request := modeller.RequestID(fmt.Sprintf("cancel-%d", input.Cancel.Submission))
		replay.apply(&applier.Command{RequestID: request, Cancel: &applier.Cancel{Job: job, Operator: true}})
	case input.Lose != nil:
		if worker := replay.state.Workers[*input.Lose]; worker != nil {
			lose := &applier.LoseWorker{Worker: *input.Lose, Incarnation: worker.Description.Incarnation, Reason: "recorded"}
			replay.apply(&applier.Command{LoseWorker: lose})
		}
	case input.Template != nil:
		changed := *replay.state.Templates[*input.Template]
		changed.Limit = input.Limit
		return replay.applyTemplate(&changed, changed.Revision)
	}
	return nil
}

// submit submits a recorded job. It predicts the JobID and records the submission
// under it first, because the events of the acceptance look it up.
func (replay *replay) submit(submission *Submission) {
	next := replay.state.LastJob + 1
	replay.submissions[next] = submission
	command := &applier.Command{
		RequestID: modeller.RequestID(fmt.Sprintf("r%d", len(replay.jobIDs))),
		Submit: &applier.Submit{
			ClientAccount: submission.ClientAccount,
			Queue:         submission.Queue,
			Work:          modeller.Work{Tasks: submission.Tasks, Size: submission.Size, RunTime: submission.Declared},
		},
	}
	replay.jobIDs = append(replay.jobIDs, replay.apply(command).Job)
}

// plan applies the commands that the policy returns and reports whether there were
// any.
func (replay *replay) plan() bool {
	commands := replay.config.Policy.Plan(replay.now)
	for _, command := range commands {
		result := replay.apply(command)
		if result.Code != coder.OK {
			replay.config.Policy.Undo(command, replay.now+refusedDelay)
		}
		if replay.config.Decided != nil {
			replay.config.Decided(command, result)
		}
	}
	if replay.config.Planned != nil {
		replay.config.Planned(replay.now, replay.state)
	}
	return len(commands) > 0
}

// nextTime returns the time of the next planning round: the next step if the policy
// made decisions, else the first step at which an event is due.
func (replay *replay) nextTime(inputs []Input, decided bool) modeller.Millis {
	if decided {
		return replay.now + Step
	}
	next := replay.config.Trace.Horizon
	if replay.waiting > 0 {
		next = min(next, replay.now+idleStep)
	}
	if len(inputs) > 0 {
		next = min(next, inputs[0].At)
	}
	if len(replay.timers) > 0 {
		next = min(next, replay.timers[0].at)
	}
	next = (next + Step - 1) / Step * Step
	return max(next, replay.now+Step)
}

// reportDue applies the reports of tasks that are due by now.
func (replay *replay) reportDue() {
	for len(replay.timers) > 0 && replay.timers[0].at <= replay.now {
		timer := heap.Pop(&replay.timers).(timer)
		job := replay.state.Jobs[timer.key.task.Job]
		if job == nil {
			continue
		}
		task := &job.Tasks[timer.key.task.Index]
		report := &applier.Report{
			Task:        timer.key.task,
			Attempt:     timer.key.attempt,
			Worker:      task.Worker,
			Incarnation: task.Incarnation,
			Phase:       timer.phase,
			Used:        replay.submissions[timer.key.task.Job].Used,
		}
		replay.apply(&applier.Command{Report: report})
	}
}
