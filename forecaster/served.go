package forecaster

import "github.com/dotterelrill/dotterelrill/modeller"

const (
	// servedWindows is for how many seconds the work that was started on time is kept. A
	// burst that is shorter does not count, since it may end at any time.
	servedWindows = 10
	// servedPart is the part of the least served work that is expected to go on.
	servedPart = 0.9
	// minLateShare bounds what is left for late work from below.
	minLateShare = 0.1
)

// Served records the work that is started while its job can be on time, by the second.
// Late work gets what is left. The zero value is empty.
type Served struct {
	// windows are sums by the second, of which the latest is that of second latest and
	// not complete. Recording began in second began.
	windows       [servedWindows + 1]Work
	began, latest int64
	recording     bool
}

// advance makes the second of a time the latest.
func (served *Served) advance(now modeller.Millis) {
	current := int64(now / second)
	if !served.recording {
		served.recording, served.began, served.latest = true, current, current
	}
	for ; served.latest < current; served.latest++ {
		if current-served.latest > servedWindows {
			served.windows, served.latest = [servedWindows + 1]Work{}, current
			return
		}
		served.windows[(served.latest+1)%int64(len(served.windows))] = 0
	}
}

// Add records work that is started now.
func (served *Served) Add(now modeller.Millis, work Work) {
	served.advance(now)
	served.windows[served.latest%int64(len(served.windows))] += work
}

// LateShare returns the largest part of a capacity that may be expected to be left for
// late work: all of it until work was recorded for servedWindows seconds.
func (served *Served) LateShare(now modeller.Millis, total Processors) float64 {
	served.advance(now)
	if total <= 0 || served.latest-served.began <= servedWindows {
		return 1
	}
	least := Work(0)
	for index, work := range served.windows {
		if int64(index) == served.latest%int64(len(served.windows)) {
			continue
		}
		if least == 0 || work < least {
			least = work
		}
		if work == 0 {
			return 1
		}
	}
	return max(minLateShare, 1-servedPart*float64(least)/float64(second)/float64(total))
}
