package commander

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
)

func (commander *commander) dataCentreGroup(stderr io.Writer) *ffcli.Command {
	return commander.newGroup("data-centre", "Evacuate, restore and list data centres.", stderr,
		commander.dataCentreEvacuateCommand(stderr), commander.dataCentreRestoreCommand(stderr), commander.dataCentreListCommand(stderr))
}

// evacuationPath returns the path of the evacuation of a data centre, whose name may
// hold any character.
func evacuationPath(name string) string {
	return "/v1/operator/data-centres/" + url.PathEscape(name) + "/evacuation"
}

var errOneDataCentre = eris.New("name one data centre")

func (commander *commander) dataCentreEvacuateCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl data-centre evacuate", stderr)
	long := "What runs there goes on; data-centre list shows how much is left.\n\nExample:\n  dotterelctl data-centre evacuate hobart"
	return commander.newCommand(flags, "evacuate NAME", "Start nothing more in a data centre.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 {
			return errOneDataCentre
		}
		request := operatorserver.EvacuationRequest{RequestID: commander.ensureRequestID()}
		return commander.sendAndPrint(ctx, http.MethodPost, evacuationPath(arguments[0]), nil, request)
	})
}

func (commander *commander) dataCentreRestoreCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl data-centre restore", stderr)
	long := "Example:\n  dotterelctl data-centre restore hobart"
	return commander.newCommand(flags, "restore NAME", "Withdraw the evacuation of a data centre.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 {
			return errOneDataCentre
		}
		query := url.Values{"RequestID": {string(commander.ensureRequestID())}}
		return commander.sendAndPrint(ctx, http.MethodDelete, evacuationPath(arguments[0]), query, nil)
	})
}

func (commander *commander) dataCentreListCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl data-centre list", stderr)
	long := "An evacuated data centre is empty once TASKS is 0.\n\nExample:\n  dotterelctl data-centre list"
	return commander.newCommand(flags, "list", "List data centres with their state and the tasks that are live there.", long, func(ctx context.Context, _ []string) error {
		reply, err := commander.queryOverview(ctx, "DataCentres")
		if err != nil {
			return err
		}
		return commander.print(reply.DataCentres, func(writer *tabwriter.Writer) {
			printRow(writer, "DATA CENTRE", "STATE", "SINCE", "WORKERS", "TASKS")
			for _, row := range reply.DataCentres {
				state, since := dataCentreState(row)
				printRow(writer, row.Name, state, since, row.Workers, row.Live)
			}
		})
	})
}

// dataCentreState returns the state of a data centre and the time since which it holds.
func dataCentreState(row messenger.DataCentreRow) (string, string) {
	switch {
	case row.Evacuated != 0:
		return "Evacuated", timeText(row.Evacuated)
	case row.Restored != 0:
		return "Restored", timeText(row.Restored)
	}
	return "InService", "-"
}

func timeText(at modeller.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format(time.RFC3339)
}
