package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/differ"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
	"github.com/dotterelrill/dotterelrill/responder"
	"github.com/dotterelrill/dotterelrill/templater"
)

func (commander *commander) templateGroup(stderr io.Writer) *ffcli.Command {
	return commander.newGroup("template", "Apply, compare, show and roll back templates.", stderr,
		commander.templateApplyCommand(stderr), commander.templateDiffCommand(stderr), commander.templateShowCommand(stderr),
		commander.templateHistoryCommand(stderr), commander.templateRollbackCommand(stderr))
}

func (commander *commander) templateApplyCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl template apply", stderr)
	expected := flags.Uint64("expected", 0, "the template's current revision; 0 for a new template")
	parameters := make(parameterFlag)
	flags.Var(parameters, "set", "NAME=VALUE for a parameter; may be given more than once")
	long := "Example:\n  dotterelctl template apply -expected 3 -set Desk=North desk.ini"
	return commander.newCommand(flags, "apply FILE", "Apply a template file.", long, func(ctx context.Context, arguments []string) error {
		source, err := readTemplate(arguments)
		if err != nil {
			return err
		}
		request := operatorserver.TemplateRequest{
			RequestID: commander.ensureRequestID(), Expected: modeller.Revision(*expected), File: arguments[0],
			Source: source, Parameters: parameters,
		}
		return commander.sendAndPrint(ctx, http.MethodPost, "/v1/operator/templates", nil, request)
	})
}

func readTemplate(arguments []string) (string, error) {
	if len(arguments) != 1 {
		return "", eris.New("name one template file")
	}
	source, err := os.ReadFile(arguments[0])
	return string(source), eris.Wrap(err, "read the template")
}

// parameterFlag collects repeated flags of the form NAME=VALUE.
type parameterFlag map[string]string

// String implements flag.Value.
func (parameters parameterFlag) String() string { return "" }

// Set implements flag.Value.
func (parameters parameterFlag) Set(text string) error {
	name, value, found := strings.Cut(text, "=")
	if !found || name == "" {
		return eris.New("a parameter is given as NAME=VALUE")
	}
	parameters[name] = value
	return nil
}

func (commander *commander) templateDiffCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl template diff", stderr)
	parameters := make(parameterFlag)
	flags.Var(parameters, "set", "NAME=VALUE for a parameter; may be given more than once")
	long := "Nothing is changed. The value for the flag -expected of apply is printed as well.\n\nExample:\n  dotterelctl template diff -set Desk=North desk.ini"
	return commander.newCommand(flags, "diff FILE", "Show what applying a template would do to each client account.", long, func(ctx context.Context, arguments []string) error {
		source, err := readTemplate(arguments)
		if err != nil {
			return err
		}
		template, faults := templater.Parse(arguments[0], source, parameters)
		if len(faults) > 0 {
			refusal := &refusalError{answer: responder.Answer{Code: coder.BadTemplate, Name: coder.BadTemplate.String(), NotRun: true, Detail: fmt.Sprintf("the template has %d faults", len(faults))}}
			for _, fault := range faults {
				refusal.answer.Faults = append(refusal.answer.Faults, fault.Error())
			}
			return refusal
		}
		reply, err := commander.queryOverview(ctx, "Accounts", "Templates")
		if err != nil {
			return err
		}
		difference := differ.Compare(reply, &template)
		return commander.print(difference, func(writer *tabwriter.Writer) { printDifference(writer, difference) })
	})
}

func printDifference(writer *tabwriter.Writer, difference *differ.Difference) {
	printRow(writer, "SECTION", "KEY", "BEFORE", "AFTER")
	for _, change := range difference.Changes {
		printRow(writer, change.Section, change.Key, change.Before, change.After)
	}
	printRow(writer)
	printRow(writer, "CLIENT ACCOUNT", "OF A FULL FLEET, BEFORE", "AFTER", "")
	for _, effect := range difference.Effects {
		printRow(writer, effect.ClientAccount, percent(effect.Before), percent(effect.After), strings.Join(effect.Notes, " "))
	}
	printRow(writer)
	printRow(writer, fmt.Sprintf("apply with -expected %d", difference.Expected))
}

// percent formats thousandths as a percentage.
func percent(thousandths int64) string { return fmt.Sprintf("%.1f%%", float64(thousandths)/10) }

func (commander *commander) templateShowCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl template show", stderr)
	long := "With a name, the text in force is printed as it was applied.\n\nExample:\n  dotterelctl template show desk"
	return commander.newCommand(flags, "show [NAME]", "Show the templates in force.", long, func(ctx context.Context, arguments []string) error {
		reply, err := commander.queryOverview(ctx, "Templates")
		if err != nil {
			return err
		}
		if len(arguments) > 0 {
			return commander.showTemplate(reply, modeller.TemplateName(arguments[0]))
		}
		return commander.print(reply.Templates, func(writer *tabwriter.Writer) {
			printRow(writer, "TEMPLATE", "REVISION", "CLIENT ACCOUNT", "SHARE", "QUEUES")
			for _, template := range reply.Templates {
				printRow(writer, template.Name, template.Revision, template.ClientAccount, template.Share, len(template.Queues))
			}
		})
	})
}

func (commander *commander) showTemplate(reply *messenger.QueryReply, name modeller.TemplateName) error {
	for _, template := range reply.Templates {
		if template.Name == name {
			return commander.print(template, func(writer *tabwriter.Writer) {
				printRow(writer, fmt.Sprintf("; %s, revision %d", template.Name, template.Revision))
				printRow(writer, strings.TrimRight(template.Source, "\n"))
			})
		}
	}
	return &refusalError{answer: responder.Answer{Code: coder.UnknownTemplate, Name: coder.UnknownTemplate.String(), Detail: "no template " + string(name)}}
}

// revisionRow is one revision of a template.
type revisionRow struct {
	Revision modeller.Revision
	At       time.Time
	Actor    string
	Code     coder.Code
	Detail   string
}

func (commander *commander) templateHistoryCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl template history", stderr)
	long := "Refused changes are listed too, with their codes.\n\nExample:\n  dotterelctl template history desk"
	return commander.newCommand(flags, "history NAME", "List a template's revisions and who made them.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 {
			return eris.New("name one template")
		}
		var rows []revisionRow
		query := url.Values{"Template": {arguments[0]}, "Kind": {"ApplyTemplate"}}
		err := commander.client().history(ctx, query, func(record *messenger.HistoryRecord) error {
			rows = append(rows, revisionRow{
				Revision: record.Result.Revision, At: time.UnixMilli(int64(record.Command.Time)).UTC(),
				Actor: record.Command.Actor, Code: record.Result.Code, Detail: record.Result.Detail,
			})
			return nil
		})
		if err != nil {
			return err
		}
		return commander.print(rows, func(writer *tabwriter.Writer) {
			printRow(writer, "REVISION", "AT", "ACTOR", "RESULT", "DETAIL")
			for _, revision := range rows {
				printRow(writer, revision.Revision, revision.At.Format(time.RFC3339), revision.Actor, revision.Code, revision.Detail)
			}
		})
	})
}

func (commander *commander) templateRollbackCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl template rollback", stderr)
	expected := flags.Uint64("expected", 0, "the template's current revision")
	long := "The old content gets a new revision; revisions never go back, and withdrawn keys stay withdrawn.\n\nExample:\n  dotterelctl template rollback -expected 9 desk 7"
	return commander.newCommand(flags, "rollback NAME REVISION", "Apply the content of an old revision as a new one.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 2 {
			return eris.New("name a template and one of its revisions")
		}
		revision, err := strconv.ParseUint(arguments[1], 10, 64)
		if err != nil {
			return eris.New("a revision is a number")
		}
		request := operatorserver.RollbackRequest{RequestID: commander.ensureRequestID(), Expected: modeller.Revision(*expected), Revision: modeller.Revision(revision)}
		return commander.sendAndPrint(ctx, http.MethodPost, "/v1/operator/templates/"+url.PathEscape(arguments[0])+"/rollback", nil, request)
	})
}
