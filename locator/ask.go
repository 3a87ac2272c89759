package locator

import (
	"context"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
)

// Ask calls a method on the leader with Locator.Call and returns its reply, or
// a nil reply and the refusal. The refusal function extracts the refusal from a
// reply; it returns nil if there is none.
func Ask[Request, Reply any](ctx context.Context, locator *Locator,
	method func(messenger.CellClient, context.Context, *Request) (*Reply, error),
	refusal func(*Reply) *coder.Refusal, request *Request,
) (*Reply, *coder.Refusal) {
	var answer *Reply
	refused := locator.Call(ctx, func(ctx context.Context, client messenger.CellClient) (*coder.Refusal, error) {
		reply, err := method(client, ctx, request)
		if err != nil {
			return nil, err
		}
		answer = reply
		return refusal(reply), nil
	})
	if refused != nil {
		return nil, refused
	}
	return answer, nil
}
