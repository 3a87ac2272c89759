package launcher

import (
	"context"
	"os"
	"os/exec"

	"github.com/rotisserie/eris"
)

// RunBuilt builds the programs into a folder of their own, which is there for
// as long as run takes, and returns what run returns. Tests of whole paths call
// it from TestMain; without the programs they can only give up.
func RunBuilt(run func(folder string) int, packages ...string) int {
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

// module is this repository's.
const module = "github.com/dotterelrill/dotterelrill/"

// Build builds the programs of some packages of the module into a folder, those
// of cmd unless others are named. It is run within the module.
func Build(ctx context.Context, folder string, packages ...string) error {
	if len(packages) == 0 {
		packages = []string{"cmd/..."}
	}
	arguments := []string{"build", "-o", folder + string(os.PathSeparator)}
	for _, name := range packages {
		arguments = append(arguments, module+name)
	}
	command := exec.CommandContext(ctx, "go", arguments...)
	output, err := command.CombinedOutput()
	return eris.Wrapf(err, "build the programs: %s", output)
}
