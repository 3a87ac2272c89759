package measurer

import (
	"math"
	"slices"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Distance describes how far the usage of client accounts was from their share.
// It covers the windows in which work was waiting throughout. An account's share
// is its entitlement under weighted max-min fairness over dominant resources:
// the resources in use are divided among the accounts, each limited to the sum of
// what it has running and waiting.
type Distance struct {
	// Windows counts the windows in which work was waiting throughout.
	Windows int
	// Largest and Mean are the maximum and mean distance of an account's usage
	// from its share in one window, as a fraction of that share.
	Largest, Mean float64
	// Account and Window (its start) identify where Largest was found.
	Account modeller.ClientAccountName
	Window  modeller.Millis
}

// windowLength is the period over which mean usage is compared with the share.
const windowLength = modeller.Millis(5 * 60 * 1000)

type usage struct {
	accounts     map[modeller.ClientAccountName]*accountUsage
	accountNames []modeller.ClientAccountName
	// windowStart is the start of the current window. contended becomes false when
	// a sample in the window finds no work waiting.
	windowStart   modeller.Millis
	contended     bool
	samples       int
	result        Distance
	distanceSum   float64
	distanceCount int
}

type accountUsage struct {
	share        int64
	used         modeller.Resources
	demand       float64
	usedShare    float64
	meanUsed     float64
	meanEntitled float64
}

func newUsage() *usage {
	return &usage{accounts: make(map[modeller.ClientAccountName]*accountUsage), contended: true}
}

func (usage *usage) observe(event *applier.Event) {
	switch event.Kind {
	case applier.EventConfigured:
		if event.Template != nil {
			usage.account(event.Template.ClientAccount).share = event.Template.Share
		}
	case applier.EventTaskPlaced:
		account := usage.account(event.Spec.ClientAccount)
		account.used = account.used.Add(event.Spec.Size)
	case applier.EventTaskRequeued, applier.EventTaskDone:
		if event.Attempt > 0 && event.Outcome != modeller.NotRun {
			account := usage.account(event.Spec.ClientAccount)
			account.used = account.used.Sub(event.Spec.Size)
		}
	}
}

func (usage *usage) account(name modeller.ClientAccountName) *accountUsage {
	account := usage.accounts[name]
	if account == nil {
		account = &accountUsage{share: 1}
		usage.accounts[name] = account
		usage.accountNames = append(usage.accountNames, name)
		slices.Sort(usage.accountNames)
	}
	return account
}

// sample adds the current usage and entitlements to the means of the window, and
// starts a new window when the current one is over.
func (usage *usage) sample(now modeller.Millis, measurer *measurer) {
	if now >= usage.windowStart+windowLength {
		usage.closeWindow()
		usage.windowStart = now / windowLength * windowLength
	}
	if !usage.updateDemands(measurer) {
		usage.contended = false
	}
	total := 0.0
	for _, name := range usage.accountNames {
		total += usage.accounts[name].usedShare
	}
	usage.samples++
	for name, entitlement := range usage.entitlements(total) {
		account := usage.accounts[name]
		account.meanUsed += (account.usedShare - account.meanUsed) / float64(usage.samples)
		account.meanEntitled += (entitlement - account.meanEntitled) / float64(usage.samples)
	}
}

// updateDemands computes the dominant share that each account uses, and the one
// that it demands with its waiting work included. It reports whether any work is
// waiting.
func (usage *usage) updateDemands(measurer *measurer) bool {
	wanted := make(map[modeller.ClientAccountName]modeller.Resources)
	for _, job := range measurer.waiting {
		name := job.spec.ClientAccount
		wanted[name] = wanted[name].Add(job.spec.Size.Times(int64(job.tasks)))
	}
	for name, account := range usage.accounts {
		account.usedShare = account.used.DominantShare(measurer.capacity)
		account.demand = account.used.Add(wanted[name]).DominantShare(measurer.capacity)
	}
	return len(wanted) > 0
}

// entitlements divides the total among the accounts by weighted max-min fairness:
// accounts that demand less than their part receive their demand, and the rest is
// divided again among the others.
func (usage *usage) entitlements(total float64) map[modeller.ClientAccountName]float64 {
	entitlements := make(map[modeller.ClientAccountName]float64, len(usage.accounts))
	unsatisfied := slices.Clone(usage.accountNames)
	for len(unsatisfied) > 0 {
		var weights int64
		for _, name := range unsatisfied {
			weights += usage.accounts[name].share
		}
		level := total / float64(weights)
		satisfied := slices.DeleteFunc(slices.Clone(unsatisfied), func(name modeller.ClientAccountName) bool {
			account := usage.accounts[name]
			return account.demand > level*float64(account.share)
		})
		if len(satisfied) == 0 {
			for _, name := range unsatisfied {
				entitlements[name] = level * float64(usage.accounts[name].share)
			}
			return entitlements
		}
		for _, name := range satisfied {
			entitlements[name] = usage.accounts[name].demand
			total -= entitlements[name]
		}
		unsatisfied = slices.DeleteFunc(unsatisfied, func(name modeller.ClientAccountName) bool { return slices.Contains(satisfied, name) })
	}
	return entitlements
}

// closeWindow ends the current window and includes it in the distance if work was
// waiting throughout.
func (usage *usage) closeWindow() {
	if usage.contended && usage.samples > 0 {
		usage.result.Windows++
		for _, name := range usage.accountNames {
			usage.recordDistance(name, usage.accounts[name])
		}
	}
	for _, account := range usage.accounts {
		account.meanUsed, account.meanEntitled = 0, 0
	}
	usage.samples = 0
	usage.contended = true
}

func (usage *usage) recordDistance(name modeller.ClientAccountName, account *accountUsage) {
	if account.meanEntitled <= 0 {
		return
	}
	distance := math.Abs(account.meanUsed-account.meanEntitled) / account.meanEntitled
	usage.distanceSum += distance
	usage.distanceCount++
	if distance > usage.result.Largest {
		usage.result.Largest = distance
		usage.result.Account = name
		usage.result.Window = usage.windowStart
	}
}

func (usage *usage) distance() Distance {
	usage.closeWindow()
	if usage.distanceCount > 0 {
		usage.result.Mean = usage.distanceSum / float64(usage.distanceCount)
	}
	return usage.result
}
