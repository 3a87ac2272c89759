package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
)

// The jobs are as wide, long and frequent as those of a small installation may be.
const (
	scheduledJobs  = 2600
	scheduledSteps = 3
	scheduledTasks = 60
	scheduledTimes = 8
	submitters     = 16
	submitInterval = 18 * time.Millisecond
	settleSpan     = 20 * time.Second
	// readLimit is how long a client asks for a job at the end.
	readLimit = 12 * time.Second
	// maxOwnEnds is how often processes may end by themselves.
	maxOwnEnds = 3
)

// runScheduledBacklog submits jobs that are due in an hour, and then kills the leader once.
// As the platform does, it kills a process that takes more memory than its machine has, and
// starts it again.
func runScheduledBacklog(ctx context.Context, rig *rig, trouble bool) ([]string, error) {
	if err := rig.configure(ctx); err != nil {
		return nil, err
	}
	if err := rig.addWorkers(ctx, 8); err != nil {
		return nil, err
	}
	if err := rig.warmUp(ctx); err != nil {
		return nil, err
	}
	accepted := rig.submitScheduled(ctx)
	rig.add("client: %d of %d jobs are accepted", len(accepted), scheduledJobs)
	if len(accepted) == 0 {
		return nil, errors.New("no job is accepted")
	}
	rig.noteMemory()
	if trouble {
		if err := rig.killLeader(ctx); err != nil {
			return nil, err
		}
	}
	ends, err := rig.enforceMemory(ctx, settleSpan)
	if err != nil {
		return nil, err
	}
	rig.noteMemory()
	var breaks []string
	if ends >= maxOwnEnds {
		breaks = append(breaks, fmt.Sprintf("Fault: replicas took more memory than their machine has %d times", ends))
	}
	go func() { _, _ = rig.enforceMemory(ctx, readLimit) }()
	if state := rig.awaitState(ctx, accepted[0], readLimit, "queued", "running", "completed"); state == "" {
		breaks = append(breaks, fmt.Sprintf("LOST: %s, which was accepted, gets no answer for %s", shortID(accepted[0]), readLimit))
	}
	return breaks, nil
}

// submitScheduled submits the jobs at a steady rate and returns the ids of those accepted.
func (rig *rig) submitScheduled(ctx context.Context) []string {
	var mutex sync.Mutex
	var group sync.WaitGroup
	var accepted []string
	indexes := make(chan int)
	for range submitters {
		group.Go(func() {
			for index := range indexes {
				id := fmt.Sprintf("00000000000%05x", 0xf0000+index)
				if rig.submitAs(ctx, tenantKeys[index%len(tenantKeys)], id, scheduledJob()).accepted() {
					mutex.Lock()
					accepted = append(accepted, id)
					mutex.Unlock()
				}
			}
		})
	}
	for index := range scheduledJobs {
		indexes <- index
		pause(ctx, submitInterval)
	}
	close(indexes)
	group.Wait()
	return accepted
}

// scheduledJob returns a job whose first occurrence is due in an hour.
func scheduledJob() body {
	var steps []body
	for index := range scheduledSteps {
		step := body{"count": scheduledTasks, "cpu": 500, "memMb": 256, "estimateMs": 2000}
		if index > 0 {
			step["after"] = []int{index - 1}
		}
		steps = append(steps, step)
	}
	return body{"spec": "2000", "steps": steps, "repeatCount": scheduledTimes, "startAtMs": time.Now().Add(time.Hour).UnixMilli(), "periodMs": 3000}
}

// killLeader kills the replica that leads, and starts it again.
func (rig *rig) killLeader(ctx context.Context) error {
	for ; ctx.Err() == nil; pause(ctx, 50*time.Millisecond) {
		for index, process := range rig.replicas {
			if launcher.Metric(ctx, rig.address(index, portInternalEnd), "dotterel_cell_leads") != "1" {
				continue
			}
			rig.add("platform: %s, which leads, is killed and started again", process.Name)
			process.Kill()
			return process.Start()
		}
	}
	return ctx.Err()
}

// enforceMemory kills each replica that takes more memory than its machine has, and starts
// it again. It returns how often it did.
func (rig *rig) enforceMemory(ctx context.Context, span time.Duration) (int, error) {
	kills := 0
	for until := time.Now().Add(span); time.Now().Before(until); pause(ctx, 100*time.Millisecond) {
		for _, process := range rig.replicas {
			used := residentMb(process.PID())
			if used <= memoryMb {
				continue
			}
			kills++
			rig.add("platform: %s takes %d MB of %d and is killed and started again", process.Name, used, memoryMb)
			process.Kill()
			if err := process.Start(); err != nil {
				return kills, err
			}
		}
	}
	return kills, nil
}

func (rig *rig) noteMemory() {
	for _, process := range rig.replicas {
		rig.add("%s takes %d MB", process.Name, residentMb(process.PID()))
	}
}

// residentMb returns the resident memory of a process in megabytes.
func residentMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes / 1024
		}
	}
	return 0
}
