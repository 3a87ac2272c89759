package stager

import "github.com/dotterelrill/dotterelrill/modeller"

// An account may hand in the jobs of IntakeSeconds at its weight at once, and IntakeSlack
// jobs more: callers come in bursts of seconds, and a burst of a small account is a large
// multiple of its weight. These are the window and the slack within which operators judge
// whether an account keeps to a rate.
const (
	IntakeSeconds = 5
	IntakeSlack   = 20
)

// Intake is what a client account may still hand in within its weight, which is a number of
// jobs a second.
type Intake struct {
	_ struct{} `cbor:",toarray"`
	// Thousandths is how many thousandths of a job were left at At.
	Thousandths int64
	At          modeller.Millis
}

// Weight returns the client account's weight; it is zero if the deployment does not list the
// account.
func (state *State) Weight(name modeller.ClientAccountName) int64 { return state.usage(name).weight }

// IntakeLeft returns how many thousandths of a job a client account may still hand in within
// its weight at a time of the leader. It is zero for an account that the deployment does not
// list, whose jobs are never marked.
func (state *State) IntakeLeft(name modeller.ClientAccountName, now modeller.Millis) int64 {
	weight := state.Weight(name)
	if weight == 0 {
		return 0
	}
	intake, known := state.Intakes[name]
	full := (IntakeSeconds*weight + IntakeSlack) * 1000
	if !known {
		return full
	}
	if passed := int64(now - intake.At); passed > 0 {
		return min(full, intake.Thousandths+min(passed, full)*weight)
	}
	return intake.Thousandths
}

// takeIn counts a job of a client account, and reports whether it lies beyond the account's
// weight. It rests on the time of the log alone, so that all replicas agree, and a time
// that steps back between two terms adds nothing.
func (state *State) takeIn(name modeller.ClientAccountName) bool {
	if state.Weight(name) == 0 {
		return false
	}
	intake := Intake{Thousandths: state.IntakeLeft(name, state.Now), At: state.Now}
	excess := intake.Thousandths < 1000
	if !excess {
		intake.Thousandths -= 1000
	}
	state.Intakes[name] = intake
	return excess
}
