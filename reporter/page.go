package reporter

import (
	"cmp"
	_ "embed"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/modeller"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// page holds the data for page.html.
type page struct {
	Cell     modeller.CellName
	From, To string
	Outcomes []outcomeRow
	Waits    []waitRow
	Packing  template.HTML
	Shares   []shareRow
	Faults   []faultRow
	Dropped  int
}

type outcomeRow struct {
	Outcome string
	Jobs    int
}

type waitRow struct {
	Account modeller.ClientAccountName
	Urgency string
	Starts  int64
	// Median, High (the highPercentile) and Most (the maximum) are waiting times
	// in milliseconds.
	Median, High, Most int64
}

type shareRow struct {
	Account modeller.ClientAccountName
	Plot    template.HTML
}

type faultRow struct {
	Fault
	Clock string
}

const timeLayout = "2006-01-02 15:04:05.000 MST"

// formatTime formats a time in UTC. The time is 0 for the entry that begins the first
// leader's term, which precedes any command with a time stamp.
func formatTime(at modeller.Millis) string {
	if at == 0 {
		return "at the beginning"
	}
	return time.UnixMilli(int64(at)).UTC().Format(timeLayout)
}

// Write writes the report as an HTML page.
func (collector *Collector) Write(out io.Writer, cell modeller.CellName) error {
	page := page{
		Cell:     cell,
		From:     formatTime(collector.firstTime),
		To:       formatTime(collector.now),
		Outcomes: collector.outcomeRows(),
		Waits:    collector.waitRows(),
		Dropped:  collector.droppedFaults,
	}
	var err error
	if page.Packing, err = collector.plotPacking(); err != nil {
		return err
	}
	for _, name := range collector.accountNames() {
		plot, err := collector.plotShare(name)
		if err != nil {
			return err
		}
		page.Shares = append(page.Shares, shareRow{name, plot})
	}
	for _, fault := range collector.faults {
		page.Faults = append(page.Faults, faultRow{fault, formatTime(fault.At)})
	}
	return eris.Wrap(pageTemplate.Execute(out, page), "write the report")
}

func (collector *Collector) outcomeRows() []outcomeRow {
	var rows []outcomeRow
	for _, outcome := range slices.Sorted(maps.Keys(collector.outcomes)) {
		rows = append(rows, outcomeRow{outcome.String(), collector.outcomes[outcome]})
	}
	return rows
}

// highPercentile is the percentile shown for long waits; page.html names it.
const highPercentile = 99

func (collector *Collector) waitRows() []waitRow {
	var rows []waitRow
	for _, key := range slices.SortedFunc(maps.Keys(collector.waits), compareWaitKeys) {
		histogram := collector.waits[key]
		rows = append(rows, waitRow{
			Account: key.account,
			Urgency: key.urgency.String(),
			Starts:  histogram.TotalCount(),
			Median:  histogram.ValueAtQuantile(50),
			High:    histogram.ValueAtQuantile(highPercentile),
			Most:    histogram.Max(),
		})
	}
	return rows
}

func compareWaitKeys(left, right waitKey) int {
	return cmp.Or(cmp.Compare(left.account, right.account), cmp.Compare(left.urgency, right.urgency))
}
