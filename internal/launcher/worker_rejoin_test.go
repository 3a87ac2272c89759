package launcher_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
)

// A worker that was declared lost while paused must send its full description
// again when it resumes, although its heartbeats had been shortened to its name
// and incarnation.
func TestALostWorkerRejoins(t *testing.T) {
	fixture := startFixtureWith(t, launcher.Config{
		CellSettings: "[Lease]\nTerm = 2s\nFresh = 1500ms\n",
		Workers:      []launcher.Worker{{Name: "worker-1", DataCentre: "dc1", Rack: "r1", Settings: "BeatInterval = 300ms"}},
	})
	fixture.awaitStart(fixture.submitRemotely("before"), 20*time.Second)
	worker := fixture.fleet.Workers[0]
	worker.Signal(syscall.SIGSTOP)
	// Longer than the lease term plus its safety margin.
	time.Sleep(4 * time.Second)
	worker.Signal(syscall.SIGCONT)
	fixture.awaitStart(fixture.submitRemotely("behind"), 20*time.Second)
}
