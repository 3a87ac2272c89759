package tracer

import (
	_ "embed"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Recorded describes a trace in testdata by its generator's name and seed, the
// number of its inputs, the checksum of its content, and the outcomes required of
// a policy.
type Recorded struct {
	Name     string
	Seed     uint64
	Inputs   int
	Checksum uint32
	Outcomes Outcomes
}

// Outcomes are the results that a policy must reach on a trace. They are the users'
// targets.
type Outcomes struct {
	// UrgentMost is the maximum time from the submission of urgent work to its
	// start.
	UrgentMost modeller.Millis
	// ShareLargest is the maximum distance of a client account's usage from its
	// share, as a fraction of the share, in a window in which work was waiting
	// throughout. Zero means no requirement.
	ShareLargest float64
	// Committed is the minimum committed share of the bottleneck resource while a
	// task is left waiting that would fit into the fleet's total free resources.
	// Zero means no requirement.
	Committed float64
	// Missed is the maximum number of jobs that miss their deadline.
	Missed int
}

//go:embed testdata/traces.json
var recordedTraces []byte

// Recordings returns the descriptions of all recorded traces.
func Recordings() ([]Recorded, error) {
	var all []Recorded
	if err := json.Unmarshal(recordedTraces, &all); err != nil {
		return nil, eris.Wrap(err, "decode recorded traces")
	}
	return all, nil
}

// Load generates the trace. It returns an error if the number of inputs or the
// checksum differs from the recorded one.
func (recorded *Recorded) Load() (*Trace, error) {
	trace, err := Generate(recorded.Name, recorded.Seed)
	if err != nil {
		return nil, err
	}
	checksum, err := trace.Checksum()
	if err != nil {
		return nil, err
	}
	if len(trace.Inputs) != recorded.Inputs || checksum != recorded.Checksum {
		return nil, eris.Errorf("trace %s has %d inputs and checksum %d; recorded are %d inputs and checksum %d",
			recorded.Name, len(trace.Inputs), checksum, recorded.Inputs, recorded.Checksum)
	}
	return trace, nil
}
