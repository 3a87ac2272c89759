package launcher

import (
	"bufio"
	"context"
	"net/http"
	"strings"
)

// isLeader reports whether the replica's metrics state that it leads.
func isLeader(ctx context.Context, address string) bool {
	return Metric(ctx, address, "dotterel_cell_leads") == "1"
}

// Metric returns the value of the named metric that is served at address, or an
// empty string if it is missing or the process cannot be reached.
func Metric(ctx context.Context, address, name string) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if value, found := strings.CutPrefix(scanner.Text(), name+" "); found {
			return value
		}
	}
	return ""
}

// MetricsAddress returns the address at which a process serves its metrics.
func (fleet *Fleet) MetricsAddress(process *Process) string { return fleet.metricsAddresses[process] }
