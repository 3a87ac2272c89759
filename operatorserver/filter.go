package operatorserver

import (
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// filter selects records of the history. A zero field matches every record.
type filter struct {
	kind          string
	actor         string
	clientAccount modeller.ClientAccountName
	worker        modeller.WorkerName
	template      modeller.TemplateName
	refused       bool
}

// commandKinds are the values of a filter's Kind, in the order of commandKind.
var commandKinds = []string{
	"ApplyTemplate", "GrantKey", "WithdrawKey", "Submit", "Cancel", "JoinWorker", "LoseWorker", "SetWorker",
	"Place", "Stop", "Report", "Refuse", "Tick", "Evacuate",
}

func parseFilter(context echo.Context) (*filter, *coder.Refusal) {
	parsed := &filter{
		kind:          context.QueryParam("Kind"),
		actor:         context.QueryParam("Actor"),
		clientAccount: modeller.ClientAccountName(context.QueryParam("ClientAccount")),
		worker:        modeller.WorkerName(context.QueryParam("Worker")),
		template:      modeller.TemplateName(context.QueryParam("Template")),
		refused:       context.QueryParam("Refused") != "",
	}
	if parsed.kind != "" && !slices.Contains(commandKinds, parsed.kind) {
		return nil, coder.Refuse(coder.BadFilter, "Kind is one of %s", strings.Join(commandKinds, ", "))
	}
	return parsed, nil
}

// matches reports whether the record meets all of the filter's conditions. A
// record without a command matches only the empty filter.
func (filter *filter) matches(record *messenger.HistoryRecord) bool {
	command := record.Command
	if command == nil {
		return *filter == emptyFilter
	}
	return (filter.kind == "" || commandKind(record) == filter.kind) &&
		strings.Contains(command.Actor, filter.actor) &&
		(filter.clientAccount == "" || concernsAccount(record, filter.clientAccount)) &&
		(filter.worker == "" || concernsWorker(record, filter.worker)) &&
		(filter.template == "" || command.ApplyTemplate != nil && command.ApplyTemplate.Template.Name == filter.template) &&
		(!filter.refused || !record.Result.Code.Successful())
}

// emptyFilter matches every record.
var emptyFilter filter

// commandKind returns the name of the command's kind, or "" if it has none.
func commandKind(record *messenger.HistoryRecord) string {
	command := record.Command
	set := []bool{
		command.ApplyTemplate != nil, command.GrantKey != nil, command.WithdrawKey != nil, command.Submit != nil,
		command.Cancel != nil, command.JoinWorker != nil, command.LoseWorker != nil, command.SetWorker != nil,
		command.Place != nil, command.Stop != nil, command.Report != nil, command.Refuse != nil, command.Tick != nil,
		command.Evacuate != nil,
	}
	if index := slices.Index(set, true); index >= 0 {
		return commandKinds[index]
	}
	return ""
}

// concernsAccount reports whether the record's command or one of its events is
// about the client account.
func concernsAccount(record *messenger.HistoryRecord, name modeller.ClientAccountName) bool {
	command := record.Command
	switch {
	case command.ApplyTemplate != nil && command.ApplyTemplate.Template.ClientAccount == name,
		command.GrantKey != nil && command.GrantKey.ClientAccount == name,
		command.Submit != nil && command.Submit.ClientAccount == name:
		return true
	}
	for index := range record.Events {
		if spec := record.Events[index].Spec; spec != nil && spec.ClientAccount == name {
			return true
		}
	}
	return false
}

// concernsWorker reports whether the record's command or one of its events is
// about the worker.
func concernsWorker(record *messenger.HistoryRecord, name modeller.WorkerName) bool {
	command := record.Command
	switch {
	case command.JoinWorker != nil && command.JoinWorker.Worker.Name == name,
		command.LoseWorker != nil && command.LoseWorker.Worker == name,
		command.SetWorker != nil && command.SetWorker.Worker == name,
		command.Report != nil && command.Report.Worker == name:
		return true
	case command.Place != nil:
		for _, placement := range command.Place.Tasks {
			if placement.Worker == name {
				return true
			}
		}
	}
	for index := range record.Events {
		if record.Events[index].Worker == name {
			return true
		}
	}
	return false
}
