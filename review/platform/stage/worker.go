package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// resources are in thousandths of a processor and MiB.
type resources struct {
	CPU   int64 `json:"cpu"`
	MemMb int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// behaviour is what a task does on a worker.
type behaviour struct {
	// atWorkAfter is how long a task that lasts takes to start.
	atWorkAfter time.Duration
	// endsAfter is how long a run takes to end; zero means that it runs until it is
	// stopped. How is its ending, or crash if the worker crashes then.
	endsAfter time.Duration
	how       string
}

// crash is the ending of a run that crashes its worker.
const crash = "crash"

// worker is a stand-in for a worker, over its incarnations.
type worker struct {
	stage   *stage
	id      string
	address string
	label   string
	rack    string
	// behave returns what a run of the task does on this worker.
	behave func(task string, attempt int) behaviour
	// downFor is how long the worker is down after a crash; zero means for good.
	downFor time.Duration

	mutex    sync.Mutex
	server   *http.Server
	capacity resources
	bornAt   time.Time
	up       bool
	draining bool
	// drainAckedAt is when the first heartbeat that says that the worker drains was
	// acknowledged.
	drainAckedAt time.Time
	sequence     uint64
	fence        uint64
	leaseEnd     int64
	runs         map[string]*taskRun
	// closed holds the highest attempt of each task that was stopped or has ended.
	closed map[string]int
	ended  []endedRun
	ends   int
	// stalledUntil is until when the worker stalls: it answers no order and carries none out.
	stalledUntil time.Time
	// shedUntil is until when the worker is unhealthy and rejects each start.
	shedUntil time.Time
	// onStart, if it is set, is called before a start is handled, with the mutex held.
	onStart func(task string)
}

// taskRun is one run of a task.
type taskRun struct {
	task      string
	attempt   int
	startedAt time.Time
	behaviour behaviour
	timer     *time.Timer
}

type endedRun struct {
	number  int
	task    string
	attempt int
	how     string
}

// order holds the fields of all orders.
type order struct {
	Task        string `json:"task"`
	Attempt     int    `json:"attempt"`
	ExpiresAtMs int64  `json:"expiresAtMs"`
	FenceToken  uint64 `json:"fenceToken"`
	Observed    int    `json:"observed"`
	WaitMs      int64  `json:"waitMs"`
}

// start begins an incarnation of the worker.
func (worker *worker) start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", worker.address)
	if err != nil {
		return err
	}
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.server = &http.Server{Handler: http.HandlerFunc(worker.serve), ReadHeaderTimeout: time.Second}
	worker.bornAt, worker.up = time.Now(), true
	worker.sequence, worker.fence, worker.leaseEnd, worker.ends = 0, 0, 0, 0
	worker.runs, worker.closed, worker.ended = make(map[string]*taskRun), make(map[string]int), nil
	go func() { _ = worker.server.Serve(listener) }()
	go worker.run(ctx, worker.bornAt)
	return nil
}

// heartbeatInterval is that of the pages' example.
const heartbeatInterval = 1500 * time.Millisecond

// run sends heartbeats and lets the lease expire, while the incarnation is up.
func (worker *worker) run(ctx context.Context, bornAt time.Time) {
	nextHeartbeat := time.Now()
	for sleep(ctx, 10*time.Millisecond) {
		worker.mutex.Lock()
		over := !worker.up || worker.bornAt != bornAt
		if !over && worker.leaseEnd > 0 && worker.clock() >= worker.leaseEnd {
			for _, run := range worker.runs {
				worker.end(run, "lapsed")
			}
		}
		worker.mutex.Unlock()
		if over {
			return
		}
		if time.Now().After(nextHeartbeat) {
			nextHeartbeat = time.Now().Add(heartbeatInterval)
			go worker.sendHeartbeat(ctx)
		}
	}
}

// sendHeartbeat sends a heartbeat to one node after the other until one acknowledges it.
func (worker *worker) sendHeartbeat(ctx context.Context) {
	for at := range worker.stage.controls {
		worker.mutex.Lock()
		worker.sequence++
		state := "ready"
		if worker.draining {
			state = "draining"
		}
		content := body{
			"service": serviceName, "addr": worker.address, "zone": "hobart", "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
			"capacity": worker.capacity, "labels": []string{worker.label, worker.rack}, "machine": "m-" + worker.id,
			"clockMs": worker.clock(), "born": worker.bornAt.UnixMilli(), "seq": worker.sequence,
		}
		if worker.draining {
			content["remainingMs"] = 8000
		}
		up, control := worker.up, worker.stage.controls[(int(worker.sequence)+at)%len(worker.stage.controls)]
		worker.mutex.Unlock()
		if !up {
			return
		}
		request, err := newRequest(ctx, http.MethodPut, "http://"+control+"/instances/"+worker.id, content)
		if err != nil {
			return
		}
		if status, _, err := call(ctx, worker.stage.client, time.Second, request); err == nil && status/100 == 2 {
			worker.acknowledged(state)
			return
		}
	}
}

// acknowledged records the ack of a heartbeat.
func (worker *worker) acknowledged(state string) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if state == "draining" && worker.drainAckedAt.IsZero() {
		worker.drainAckedAt = time.Now()
		worker.stage.record.printf("worker %s: draining is acknowledged", worker.id)
	}
}

// drainAck returns when the ack that the worker drains came, or zero.
func (worker *worker) drainAck() time.Time {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return worker.drainAckedAt
}

// clock returns the worker's clock in milliseconds. The mutex must be held.
func (worker *worker) clock() int64 { return time.Since(worker.bornAt).Milliseconds() + 1 }

// serve handles an order.
func (worker *worker) serve(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/healthz" {
		writer.Header().Set("X-Instance-Id", worker.id)
		writer.WriteHeader(http.StatusOK)
		return
	}
	var received order
	if err := json.NewDecoder(request.Body).Decode(&received); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if request.Header.Get("X-Expect-Instance") != worker.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	worker.mutex.Lock()
	if request.URL.Path == "/run-start" && worker.onStart != nil {
		worker.onStart(received.Task)
	}
	if time.Now().Before(worker.stalledUntil) {
		worker.mutex.Unlock()
		worker.stage.record.printf("worker %s stalls: no answer to %s %s", worker.id, request.URL.Path, received.Task)
		<-request.Context().Done()
		return
	}
	status, answer := worker.handle(request.URL.Path, &received)
	worker.mutex.Unlock()
	if status == http.StatusOK && request.URL.Path == "/hold" {
		answer = worker.awaitEnd(request.Context(), &received)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(answer)
}

// handle carries an order out. The mutex must be held.
func (worker *worker) handle(path string, received *order) (int, body) {
	if received.FenceToken < worker.fence {
		return worker.reject("fence")
	}
	worker.fence = received.FenceToken
	if received.ExpiresAtMs > 0 {
		worker.leaseEnd = max(worker.leaseEnd, min(received.ExpiresAtMs, worker.clock()+holdMax.Milliseconds()))
	}
	switch path {
	case "/run-start":
		return worker.startRun(received)
	case "/run-stop":
		if run := worker.runs[received.Task]; run != nil && run.attempt <= received.Attempt {
			worker.end(run, "stopped")
		}
		worker.closed[received.Task] = max(worker.closed[received.Task], received.Attempt)
	case "/hold":
		for len(worker.ended) > 0 && worker.ended[0].number <= received.Observed {
			worker.ended = worker.ended[1:]
		}
	}
	return http.StatusOK, worker.answer(nil)
}

func (worker *worker) reject(reason string) (int, body) {
	return http.StatusConflict, worker.answer(body{"reason": reason})
}

// answer returns an answer with the fields that all answers have.
func (worker *worker) answer(fields body) body {
	answer := body{"clockMs": worker.clock(), "born": worker.bornAt.UnixMilli()}
	for name, value := range fields {
		answer[name] = value
	}
	return answer
}

// startRun begins a run. As the service has no admission check, the worker starts
// whatever it is told to.
func (worker *worker) startRun(received *order) (int, body) {
	if run := worker.runs[received.Task]; run != nil && run.attempt == received.Attempt {
		return http.StatusOK, worker.answer(nil)
	}
	if time.Now().Before(worker.shedUntil) {
		worker.stage.record.printf("worker %s sheds %s, attempt %d: 503", worker.id, received.Task, received.Attempt)
		return http.StatusServiceUnavailable, worker.answer(nil)
	}
	if received.Attempt <= worker.closed[received.Task] {
		return worker.reject("old")
	}
	if worker.clock() >= received.ExpiresAtMs {
		return worker.reject("late")
	}
	run := &taskRun{task: received.Task, attempt: received.Attempt, startedAt: time.Now(), behaviour: worker.behave(received.Task, received.Attempt)}
	worker.runs[run.task] = run
	if run.behaviour.endsAfter > 0 {
		run.timer = time.AfterFunc(run.behaviour.endsAfter, func() { worker.finish(run) })
	}
	worker.stage.history.started(worker, run)
	return http.StatusOK, worker.answer(nil)
}

// finish ends a run whose time has come.
func (worker *worker) finish(run *taskRun) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.runs[run.task] != run {
		return
	}
	if run.behaviour.how == crash {
		worker.crash()
		return
	}
	worker.end(run, run.behaviour.how)
}

// end ends a run. The mutex must be held.
func (worker *worker) end(run *taskRun, how string) {
	delete(worker.runs, run.task)
	worker.closed[run.task] = max(worker.closed[run.task], run.attempt)
	worker.ends++
	worker.ended = append(worker.ended, endedRun{worker.ends, run.task, run.attempt, how})
	if run.timer != nil {
		run.timer.Stop()
	}
	worker.stage.history.ended(worker, run, how)
}

// crash ends the incarnation with all that runs, and begins the next one after downFor.
// The mutex must be held.
func (worker *worker) crash() {
	worker.up = false
	for _, run := range worker.runs {
		if run.timer != nil {
			run.timer.Stop()
		}
		worker.stage.history.ended(worker, run, crash)
	}
	worker.runs = make(map[string]*taskRun)
	server := worker.server
	go func() { _ = server.Close() }()
	if worker.downFor == 0 {
		return
	}
	time.AfterFunc(worker.downFor, func() {
		if worker.stage.ctx.Err() != nil {
			return
		}
		if err := worker.start(worker.stage.ctx); err != nil {
			worker.stage.record.printf("worker %s does not come back: %v", worker.id, err)
			return
		}
		worker.stage.record.printf("worker %s is back", worker.id)
	})
}

// awaitEnd answers a hold once an end is listed or its wait has passed.
func (worker *worker) awaitEnd(ctx context.Context, received *order) body {
	until := time.Now().Add(time.Duration(received.WaitMs) * time.Millisecond)
	for {
		worker.mutex.Lock()
		answer, waits := worker.list(), len(worker.ended) == 0
		worker.mutex.Unlock()
		if !waits || !time.Now().Before(until) || !sleep(ctx, 5*time.Millisecond) {
			return answer
		}
	}
}

// list lists what runs and what has ended. The mutex must be held.
func (worker *worker) list() body {
	running, finished := [][]any{}, [][]any{}
	for _, run := range worker.runs {
		running = append(running, []any{run.task, run.attempt, "", run.percent(), 0})
	}
	for _, run := range worker.ended {
		finished = append(finished, []any{run.number, run.task, run.attempt, run.how, ""})
	}
	return worker.answer(body{"running": running, "finished": finished})
}

// percent returns how much of the work is done or, of a task that lasts, is at work.
func (run *taskRun) percent() int {
	passed := time.Since(run.startedAt)
	switch {
	case run.behaviour.atWorkAfter > 0 && passed >= run.behaviour.atWorkAfter:
		return 100
	case run.behaviour.atWorkAfter > 0 || run.behaviour.endsAfter == 0:
		return 0
	}
	return min(99, int(100*passed/run.behaviour.endsAfter))
}

// leave ends the worker as it announced.
func (worker *worker) leave(ctx context.Context) { worker.leaveBy(ctx, worker.stage.controls) }

// leaveBy ends the worker and says so at one node after the other until one acknowledges it.
func (worker *worker) leaveBy(ctx context.Context, controls []string) {
	worker.mutex.Lock()
	worker.up = false
	for _, run := range worker.runs {
		worker.end(run, "lost with its worker")
	}
	server := worker.server
	worker.mutex.Unlock()
	_ = server.Close()
	worker.stage.record.printf("worker %s leaves", worker.id)
	for _, control := range controls {
		request, err := newRequest(ctx, http.MethodDelete, "http://"+control+"/instances/"+worker.id, nil)
		if err != nil {
			return
		}
		if status, _, err := call(ctx, worker.stage.client, time.Second, request); err == nil && status/100 == 2 {
			return
		}
	}
}

func (worker *worker) close() {
	worker.mutex.Lock()
	worker.up = false
	server := worker.server
	worker.mutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}
