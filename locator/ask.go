package locator

import (
	"context"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
)

// Ask makes one call to the leader. Refusal returns what a reply carries. The
// reply is nil if the call was refused.
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
