package launcher

import (
	"context"
	"os"
	"os/exec"

	"github.com/rotisserie/eris"
)

// RunWithPrograms builds the programs into a temporary folder, calls run with
// that folder, removes it and returns run's result. End-to-end tests call it from
// TestMain; it panics if the build fails, since no test can run without the
// programs.
func RunWithPrograms(run func(folder string) int, packages ...string) int {
	folder, err := os.MkdirTemp("", "dotterel-programs-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := Build(context.Background(), folder, packages...); err != nil {
		panic(err)
	}
	return run(folder)
}

// modulePath is the prefix of this module's import paths.
const modulePath = "github.com/dotterelrill/dotterelrill/"

// Build builds the programs of the given packages, named relative to the module,
// into a folder; without packages it builds those of cmd. The working directory
// must be inside the module.
func Build(ctx context.Context, folder string, packages ...string) error {
	if len(packages) == 0 {
		packages = []string{"cmd/..."}
	}
	arguments := []string{"build", "-o", folder + string(os.PathSeparator)}
	for _, name := range packages {
		arguments = append(arguments, modulePath+name)
	}
	command := exec.CommandContext(ctx, "go", arguments...)
	output, err := command.CombinedOutput()
	return eris.Wrapf(err, "build programs: %s", output)
}
