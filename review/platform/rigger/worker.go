package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a worker of the platform, over its incarnations.
type worker struct {
	rig      *rig
	id, rack string
	address  string
	capacity body
	// kind is the worker's first label.
	kind string

	mutex sync.Mutex
	life  *life
	// begins are the runs that the worker began.
	begins []begunRun
}

// begunRun is a run that began on a worker.
type begunRun struct {
	at   time.Time
	task string
}

// life is one incarnation of a worker. Its fields belong to the worker's mutex.
type life struct {
	worker *worker
	// begunAt is on the steady clock; born is the time of day, in milliseconds.
	begunAt time.Time
	born    int64
	server  *http.Server
	ended   chan struct{}
	silent  bool
	reports int
	fence   uint64
	lease   int64
	runs    map[string]*taskRun
	closed  map[string]int
	ends    []endedRun
	lastEnd int
}

// taskRun is one run of a task.
type taskRun struct {
	attempt  int
	begunAt  time.Time
	work     time.Duration
	succeeds bool
}

// endedRun is an end that the worker lists until it is observed.
type endedRun struct {
	number, attempt int
	task, how       string
}

// order is what a worker is told.
type order struct {
	Task        string `json:"task"`
	Attempt     int    `json:"attempt"`
	Spec        string `json:"spec"`
	ExpiresAtMs int64  `json:"expiresAtMs"`
	FenceToken  uint64 `json:"fenceToken"`
	Observed    int    `json:"observed"`
	WaitMs      int64  `json:"waitMs"`
}

// addWorker starts a worker on a machine and a rack of its own.
func (rig *rig) addWorker(ctx context.Context, index int, capacity body) (*worker, error) {
	worker := rig.newWorker(index, capacity)
	return worker, worker.begin(ctx)
}

// newWorker returns a worker that has not begun.
func (rig *rig) newWorker(index int, capacity body) *worker {
	worker := &worker{
		rig: rig, id: fmt.Sprintf("i-%02d", index), kind: "a", rack: fmt.Sprintf("r1-%d", index), capacity: capacity,
		address: rig.address(20+index, portWorker),
	}
	rig.workers = append(rig.workers, worker)
	return worker
}

// begin begins an incarnation.
func (worker *worker) begin(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", worker.address)
	if err != nil {
		return err
	}
	begunAt := time.Now()
	begun := &life{worker: worker, begunAt: begunAt, born: begunAt.UnixMilli(), ended: make(chan struct{}), runs: make(map[string]*taskRun), closed: make(map[string]int)}
	begun.server = &http.Server{Handler: http.HandlerFunc(begun.serve), ReadHeaderTimeout: time.Minute}
	worker.mutex.Lock()
	worker.life = begun
	worker.mutex.Unlock()
	worker.rig.add("worker %s: begins (born %d)", worker.id, begun.born)
	go func() { _ = begun.server.Serve(listener) }()
	go begun.report(ctx)
	go begun.advance()
	return nil
}

// loseContact crashes the worker's machine: all that runs is gone, and it answers nothing
// until it begins again.
func (worker *worker) loseContact() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.life != nil && !worker.life.silent {
		worker.rig.add("worker %s: crashes with %d runs", worker.id, len(worker.life.runs))
		worker.life.silent, worker.life.runs = true, nil
	}
}

// crash ends the incarnation and closes its channels.
func (worker *worker) crash() {
	worker.loseContact()
	worker.mutex.Lock()
	ended := worker.life
	worker.life = nil
	worker.mutex.Unlock()
	if ended != nil {
		close(ended.ended)
		_ = ended.server.Close()
	}
}

func (life *life) clock() int64 { return time.Since(life.begunAt).Milliseconds() }

// report sends a liveness report at each interval, to the replicas in turn until one
// acknowledges it.
func (life *life) report(ctx context.Context) {
	ticker := time.NewTicker(heartbeatMs * time.Millisecond)
	defer ticker.Stop()
	for {
		life.sendReport(ctx)
		select {
		case <-ctx.Done():
			return
		case <-life.ended:
			return
		case <-ticker.C:
		}
	}
}

func (life *life) sendReport(ctx context.Context) {
	worker := life.worker
	for try := range replicaCount {
		worker.mutex.Lock()
		if life.silent {
			worker.mutex.Unlock()
			return
		}
		life.reports++
		content := body{
			"service": serviceName, "addr": worker.address, "zone": "hobart", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": worker.capacity, "labels": []string{worker.kind, worker.rack}, "clockMs": life.clock(), "seq": life.reports, "born": life.born, "machine": "m-" + worker.id,
		}
		worker.mutex.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		answered := call(callCtx, http.MethodPut, worker.rig.address((life.reports+try)%replicaCount, portControl), "", "/instances/"+worker.id, "", content)
		cancel()
		if answered.accepted() {
			return
		}
	}
}

// advance ends runs that are done or whose lease has expired.
func (life *life) advance() {
	for {
		select {
		case <-life.ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		life.worker.mutex.Lock()
		for task, run := range life.runs {
			switch {
			case life.clock() >= life.lease:
				life.end(task, "lapsed")
			case time.Since(run.begunAt) >= run.work && run.succeeds:
				life.end(task, "done")
			case time.Since(run.begunAt) >= run.work:
				life.end(task, "failed")
			}
		}
		life.worker.mutex.Unlock()
	}
}

// end ends a run. It is called with the worker's mutex held.
func (life *life) end(task, how string) {
	run := life.runs[task]
	delete(life.runs, task)
	life.lastEnd++
	life.closed[task] = max(life.closed[task], run.attempt)
	life.ends = append(life.ends, endedRun{number: life.lastEnd, attempt: run.attempt, task: task, how: how})
	life.worker.rig.noteEnd(task)
	life.worker.rig.add("worker %s: run %d of %s ends %s", life.worker.id, run.attempt, task, how)
}

func (life *life) serve(writer http.ResponseWriter, request *http.Request) {
	var told order
	if json.NewDecoder(request.Body).Decode(&told) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	worker := life.worker
	worker.mutex.Lock()
	if life.silent {
		worker.rig.add("worker %s: crashed, %s %s does not reach it", worker.id, request.URL.Path, told.Task)
		worker.mutex.Unlock()
		<-life.ended
		panic(http.ErrAbortHandler)
	}
	status, content := http.StatusMisdirectedRequest, body{"clockMs": life.clock()}
	if request.Header.Get("X-Expect-Instance") == worker.id {
		status, content = life.handle(request.URL.Path, &told)
	}
	worker.mutex.Unlock()
	if status == http.StatusOK && request.URL.Path == "/hold" {
		content = life.awaitEnd(request.Context(), time.Duration(told.WaitMs)*time.Millisecond)
	}
	worker.mutex.Lock()
	silent := life.silent
	worker.mutex.Unlock()
	if silent {
		<-life.ended
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

// handle carries out an order. It is called with the worker's mutex held.
func (life *life) handle(path string, told *order) (int, body) {
	if told.FenceToken < life.fence {
		return life.reject("fence")
	}
	life.fence = told.FenceToken
	life.lease = max(life.lease, min(told.ExpiresAtMs, life.clock()+holdMaxMs))
	switch path {
	case "/run-start":
		return life.begin(told)
	case "/run-stop":
		if run := life.runs[told.Task]; run != nil && run.attempt <= told.Attempt {
			life.end(told.Task, "stopped")
		}
		life.closed[told.Task] = max(life.closed[told.Task], told.Attempt)
	case "/hold":
		for len(life.ends) > 0 && life.ends[0].number <= told.Observed {
			life.ends = life.ends[1:]
		}
	}
	return http.StatusOK, life.answer(nil)
}

func (life *life) reject(reason string) (int, body) {
	return http.StatusConflict, life.answer(body{"reason": reason})
}

func (life *life) answer(content body) body {
	answer := body{"clockMs": life.clock(), "born": life.born}
	for name, value := range content {
		answer[name] = value
	}
	return answer
}

// begin begins a run. The spec holds how long it works, in milliseconds, and how it ends.
func (life *life) begin(told *order) (int, body) {
	if run := life.runs[told.Task]; run != nil && run.attempt == told.Attempt {
		return http.StatusOK, life.answer(nil)
	}
	if told.Attempt <= life.closed[told.Task] || life.runs[told.Task] != nil {
		return life.reject("old")
	}
	if life.clock() >= told.ExpiresAtMs {
		return life.reject("late")
	}
	work, how, _ := strings.Cut(told.Spec, " ")
	millis, err := strconv.Atoi(work)
	if err != nil {
		return http.StatusBadRequest, life.answer(nil)
	}
	life.runs[told.Task] = &taskRun{attempt: told.Attempt, begunAt: time.Now(), work: time.Duration(millis) * time.Millisecond, succeeds: how != "failed"}
	life.worker.begins = append(life.worker.begins, begunRun{time.Now(), told.Task})
	life.worker.rig.add("worker %s: begins run %d of %s", life.worker.id, told.Attempt, told.Task)
	return http.StatusOK, life.answer(nil)
}

// awaitEnd returns the lists of a worker once there is an end to list or the wait is over.
func (life *life) awaitEnd(ctx context.Context, wait time.Duration) body {
	for until := time.Now().Add(wait); time.Now().Before(until) && ctx.Err() == nil; pause(ctx, 5*time.Millisecond) {
		life.worker.mutex.Lock()
		listed := len(life.ends) > 0 || life.silent
		life.worker.mutex.Unlock()
		if listed {
			break
		}
	}
	life.worker.mutex.Lock()
	defer life.worker.mutex.Unlock()
	running, finished := [][]any{}, [][]any{}
	for task, run := range life.runs {
		percent := min(100, int(time.Since(run.begunAt)*100/max(run.work, 1)))
		running = append(running, []any{task, run.attempt, "", percent, 0})
	}
	for _, ended := range life.ends {
		finished = append(finished, []any{ended.number, ended.task, ended.attempt, ended.how, ""})
	}
	return life.answer(body{"running": running, "finished": finished})
}
