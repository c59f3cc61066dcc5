package gdload

import (
	"context"
	"fmt"

	"github.com/google/uuid"
)

// key returns the Idempotency-Key of the next at-most-once request. Every other
// flow stamps a UUID of version 7; the rest ask for a key of the system's own
// by sending a request without one. The key is empty when none was offered.
func (f *flow) key(ctx context.Context, c *conn) (string, error) {
	if f.stamps {
		return uuid.Must(uuid.NewV7()).String(), nil
	}
	f.sent++
	id := fmt.Sprintf("%s-%d", f.name, f.sent)
	one := call{path: f.target.OncePath, body: f.body()}
	a, err := f.send(ctx, c, id, one)
	if key := a.header.Get(HeaderKey); key != "" {
		return key, nil
	}
	f.judge(a, err, id, one.body, 0)
	if err != nil && c.dead() {
		return "", err
	}
	return "", nil
}
