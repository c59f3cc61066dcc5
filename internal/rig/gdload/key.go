package gdload

import (
	"context"
	"fmt"

	"github.com/google/uuid"
)

// nextKey returns the Idempotency-Key of the next at-most-once request. Every
// second flow creates a stamped key, a UUID of version 7. The others send a request
// without a key and use the key that the agent issues with its refusal. The key is
// empty if the agent issued none.
func (f *flow) nextKey(ctx context.Context, c *conn) (string, error) {
	if f.stamps {
		return uuid.Must(uuid.NewV7()).String(), nil
	}
	f.sent++
	id := fmt.Sprintf("%s-%d", f.name, f.sent)
	spec := requestSpec{path: f.target.OncePath, body: f.body()}
	a, err := f.send(ctx, c, id, spec)
	if key := a.header.Get(HeaderKey); key != "" {
		return key, nil
	}
	f.countOutcome(a, err, id, spec.body, 0)
	if err != nil && c.ended() {
		return "", err
	}
	return "", nil
}
