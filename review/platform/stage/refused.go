package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// playRefusedButRun lets the channel between an entry and the leader go silent after a
// submission has passed, and takes the tenant's key away before the entry asks again.
func playRefusedButRun(ctx context.Context, stage *stage) error {
	stage.proxied = true
	err := stage.begin(ctx, plain(4), func(int, string, int) behaviour {
		return behaviour{endsAfter: 6 * time.Second, how: "done"}
	})
	if err != nil {
		return err
	}
	if stage.trouble {
		for _, proxy := range stage.proxies {
			proxy.arm(stage.entries[0].pid())
		}
	}
	id, answered := newID(), make(chan int, 1)
	go func() {
		status, _ := stage.submit(ctx, 0, clientKey, id, step{Count: 1, CPU: 2800, MemMb: 2900, EstimateMs: 6000})
		answered <- status
	}()
	task := id + ".0.0.0"
	for until := time.Now().Add(5 * time.Second); len(stage.history.of(task)) == 0; {
		if time.Now().After(until) || !sleep(ctx, 5*time.Millisecond) {
			return fmt.Errorf("the submission did not reach the leader")
		}
	}
	silent := 0
	for _, proxy := range stage.proxies {
		silent += proxy.silent()
	}
	stage.record.printf("%d channels of entry 0 have gone silent", silent)
	if stage.trouble && silent == 0 {
		return fmt.Errorf("no channel has gone silent")
	}
	if err := stage.putConfig(ctx, roomyTenant(otherKey)); err != nil {
		return err
	}
	status := <-answered
	stage.record.printf("with the tenant's other key the submission is shown as %q", stage.state(ctx, 1, otherKey, id))
	if err := stage.checkAlive(); err != nil {
		return err
	}
	refusals := []int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	if slices.Contains(refusals, status) && len(stage.history.of(task)) > 0 {
		return fmt.Errorf("REFUSED: the only attempt of the client was rejected with %d, and task %s has started: %w", status, task, errBroken)
	}
	return nil
}
