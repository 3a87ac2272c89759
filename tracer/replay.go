package tracer

import (
	"container/heap"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Policy is what decides in a replay.
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
	// Event is told each change of the state; nil is told nothing.
	Event func(event *applier.Event)
	// Decided is told each command of the policy and what came of it.
	Decided func(command *applier.Command, result applier.Result)
	// Planned is called after each planning with the state as it then is.
	Planned func(now modeller.Millis, state *applier.State)
}

// The fixed delays of a replay.
const (
	// Step is the time between two plannings while there is something to plan.
	Step modeller.Millis = 20
	// startDelay is the time from a placement until its start is reported.
	startDelay modeller.Millis = 10
	// stopDelay is how long a stopped task takes to end.
	stopDelay modeller.Millis = 250
	// refusedPause is how long a refused decision waits.
	refusedPause modeller.Millis = 50
	// idleStep is the time between two plannings while work waits and nothing
	// else happens.
	idleStep modeller.Millis = 200
)

const cell = modeller.CellName("replay")

type replay struct {
	config Config
	state  *applier.State
	now    modeller.Millis
	index  uint64
	timers timers
	// submitted holds the job of each submission, zero if it was refused, and
	// recorded the submission of each job.
	submitted []modeller.JobID
	recorded  map[modeller.JobID]*Submission
	waiting   int
}

// Replay runs the policy over the trace and returns the state at its end.
func Replay(config Config) (*applier.State, error) {
	replay := &replay{
		config:   config,
		state:    applier.New(cell),
		recorded: make(map[modeller.JobID]*Submission),
	}
	if err := replay.begin(); err != nil {
		return nil, err
	}
	inputs := config.Trace.Inputs
	for replay.now < config.Trace.Horizon {
		for len(inputs) > 0 && inputs[0].At <= replay.now {
			if err := replay.input(&inputs[0]); err != nil {
				return nil, err
			}
			inputs = inputs[1:]
		}
		replay.expire()
		decided := replay.plan()
		replay.now = replay.next(inputs, decided)
	}
	return replay.state, nil
}

func (replay *replay) begin() error {
	for at := range replay.config.Trace.Workers {
		join := &applier.JoinWorker{Worker: replay.config.Trace.Workers[at]}
		if result := replay.apply(&applier.Command{JoinWorker: join}); !result.Code.Successful() {
			return eris.Errorf("worker %s cannot join: %s", join.Worker.Name, result.Detail)
		}
	}
	for at := range replay.config.Trace.Templates {
		if err := replay.template(&replay.config.Trace.Templates[at], 0); err != nil {
			return err
		}
	}
	return nil
}

func (replay *replay) template(template *modeller.Template, expected modeller.Revision) error {
	apply := &applier.ApplyTemplate{Expected: expected, Template: *template}
	request := modeller.RequestID(fmt.Sprintf("template-%s-%d", template.Name, expected))
	if result := replay.apply(&applier.Command{RequestID: request, ApplyTemplate: apply}); !result.Code.Successful() {
		return eris.Errorf("template %s is refused: %s", template.Name, result.Detail)
	}
	return nil
}

// apply puts a command through the applier and tells the changes.
func (replay *replay) apply(command *applier.Command) applier.Result {
	command.Cell = cell
	command.Time = replay.now
	replay.index++
	result := replay.state.Apply(replay.index, command)
	events := replay.state.Events()
	for at := range events {
		replay.event(&events[at])
	}
	return result
}

func (replay *replay) event(event *applier.Event) {
	key := attemptKey{task: event.Task, attempt: event.Attempt}
	switch event.Kind {
	case applier.EventJobAccepted:
		replay.waiting += int(event.Spec.Tasks)
	case applier.EventTaskPlaced:
		replay.waiting--
		replay.timers.add(timer{at: replay.now + startDelay, key: key, phase: modeller.PhaseStarted})
	case applier.EventTaskStarted:
		run := replay.recorded[event.Task.Job].RunTime
		replay.timers.add(timer{at: replay.now + run, key: key, phase: modeller.PhaseSucceeded})
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

func (replay *replay) input(input *Input) error {
	switch {
	case input.Submit != nil:
		replay.submit(input.Submit)
	case input.Cancel != nil:
		job := replay.submitted[input.Cancel.Submission]
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
		return replay.template(&changed, changed.Revision)
	}
	return nil
}

// submit asks for a recorded job. Its JobID is known beforehand, since the
// events of the acceptance need the recording.
func (replay *replay) submit(submission *Submission) {
	next := replay.state.LastJob + 1
	replay.recorded[next] = submission
	command := &applier.Command{
		RequestID: modeller.RequestID(fmt.Sprintf("r%d", len(replay.submitted))),
		Submit: &applier.Submit{
			ClientAccount: submission.ClientAccount,
			Queue:         submission.Queue,
			Work:          modeller.Work{Tasks: submission.Tasks, Size: submission.Size, RunTime: submission.Declared},
		},
	}
	replay.submitted = append(replay.submitted, replay.apply(command).Job)
}

// plan lets the policy decide and carries its decisions out.
func (replay *replay) plan() bool {
	commands := replay.config.Policy.Plan(replay.now)
	for _, command := range commands {
		result := replay.apply(command)
		if result.Code != coder.OK {
			replay.config.Policy.Undo(command, replay.now+refusedPause)
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

// next returns the time of the next step at which something may happen.
func (replay *replay) next(inputs []Input, decided bool) modeller.Millis {
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

// expire reports what the running tasks came to by now.
func (replay *replay) expire() {
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
			Used:        replay.recorded[timer.key.task.Job].Used,
		}
		replay.apply(&applier.Command{Report: report})
	}
}
