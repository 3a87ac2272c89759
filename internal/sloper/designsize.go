package main

import "fmt"

// The design size is the size of deployment that the capacity is planned for.
const (
	designWorkers         = 2700
	designRunningTasks    = 12000
	designStartsPerSecond = 740
	designTemplates       = 190
	// designChangesPerSecond is the average of a day with 4,100 changes in 86,400 s.
	designChangesPerSecond = 4100.0 / 86400
	// designEntries is the number of entry VMs: 19 VMs in all, less 5 for the
	// replicas of the cell.
	designEntries = 14
	// measuredChangesPerSecond is the rate of changes in the Templates experiment.
	measuredChangesPerSecond = 4
)

// printDesignSize prints the usage that the lines predict at the design size, with
// one cell.
func printDesignSize(measured slopes) {
	fmt.Printf("\n## At the design size, one cell, %d entries\n\n", designEntries)
	fmt.Printf("| role | quantity | idle | %d workers, 1 heartbeat a second | %d running | %d starts a second | changes | sum |\n|---|---|---|---|---|---|---|---|\n", designWorkers, designRunningTasks, designStartsPerSecond)
	for _, role := range roles {
		for _, quantity := range quantities {
			if quantity != residentMemory {
				printRow(measured, role, quantity)
			}
		}
	}
}

func printRow(measured slopes, role, quantity string) {
	line := func(experiment string) (float64, float64) {
		found := measured[experiment][role][quantity]
		return found.Intercept, found.Slope
	}
	// The idle usage comes from the Changes experiment, whose fleet has only one
	// worker.
	idleUsage, _ := line("Changes")
	_, perWorker := line("Workers")
	_, perRunningTask := line("Running")
	_, perStart := line("Starts")
	perChange := (measured["Templates"][role][quantity].At(designTemplates) - idleUsage) / measuredChangesPerSecond
	// Every entry has the idle usage and the cost of each change, while the other
	// costs are divided among the entries. For workers the row shows one worker.
	designProcesses, measuredProcesses := 1.0, 1.0
	switch role {
	case entriesRole:
		designProcesses, measuredProcesses = designEntries, entryCount
	case workersRole:
		designProcesses, measuredProcesses = designWorkers, 1
		idleUsage, perChange = 0, 0
	}
	parts := []float64{idleUsage / measuredProcesses, designWorkers * perWorker / designProcesses, designRunningTasks * perRunningTask / designProcesses, designStartsPerSecond * perStart / designProcesses, designChangesPerSecond * perChange / measuredProcesses}
	sum := 0.0
	text := ""
	for _, part := range parts {
		sum += part
		text += fmt.Sprintf(" %.4g |", part)
	}
	fmt.Printf("| %s, each | %s |%s %.4g |\n", role, quantity, text, sum)
}
