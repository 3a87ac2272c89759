package operatorserver

import (
	"context"
	"errors"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/responder"
)

// RollbackRequest is the body of a rollback, which applies the content of an
// old revision of a template as a new revision.
type RollbackRequest struct {
	RequestID modeller.RequestID
	// Expected is the template's current revision as the operator knows it.
	Expected modeller.Revision
	// Revision is the old revision to restore.
	Revision modeller.Revision
}

func (server *Server) rollback(request echo.Context) error {
	var body RollbackRequest
	if refusal := responder.Decode(request, server.config.BodyLimit, &body); refusal != nil {
		return responder.Refusal(request, refusal)
	}
	ctx, cancel := context.WithTimeout(request.Request().Context(), decisionTimeout)
	defer cancel()
	template, refusal := server.findRevision(ctx, modeller.TemplateName(request.Param("name")), body.Revision)
	if refusal == nil {
		refusal = server.removeWithdrawnKeys(ctx, template)
	}
	if refusal != nil {
		return responder.Refusal(request, refusal)
	}
	apply := &applier.ApplyTemplate{Expected: body.Expected, Template: *template}
	return server.proposeAndRespond(request, &applier.Command{RequestID: body.RequestID, ApplyTemplate: apply})
}

// errStopReading stops reading the history once the revision is found.
var errStopReading = errors.New("stop reading the history")

// findRevision returns the content of a template's revision from the history.
func (server *Server) findRevision(ctx context.Context, name modeller.TemplateName, revision modeller.Revision) (*modeller.Template, *coder.Refusal) {
	var found *modeller.Template
	err := server.config.History(ctx, &messenger.HistoryRequest{}, func(record *messenger.HistoryRecord) error {
		command := record.Command
		if command == nil || command.ApplyTemplate == nil || record.Result.Code != coder.OK || record.Result.Revision != revision {
			return nil
		}
		if template := command.ApplyTemplate.Template; template.Name == name {
			found = &template
			return errStopReading
		}
		return nil
	})
	switch {
	case found != nil:
		return found, nil
	case err != nil:
		return nil, coder.Refuse(coder.Unknown, "the history could not be read completely")
	}
	return nil, coder.Refuse(coder.UnknownTemplate, "the retained history has no revision %d of template %s", revision, name)
}

// removeWithdrawnKeys removes the keys that have been withdrawn since the old
// revision; a withdrawn key never becomes valid again.
func (server *Server) removeWithdrawnKeys(ctx context.Context, template *modeller.Template) *coder.Refusal {
	reply, refusal := server.config.Query(ctx, &messenger.QueryRequest{Keys: true})
	if refusal != nil {
		return refusal
	}
	template.Keys = slices.DeleteFunc(slices.Clone(template.Keys), func(hash modeller.KeyHash) bool {
		return slices.ContainsFunc(reply.Keys, func(row messenger.KeyRow) bool {
			return row.Fingerprint == hash.Fingerprint() && row.Withdrawn != 0
		})
	})
	return nil
}
