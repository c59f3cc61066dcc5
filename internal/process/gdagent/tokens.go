package gdagent

import (
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
)

// tokens generates route tokens as connection IDs.
type tokens struct {
	a       *Agent
	mu      sync.Mutex
	watcher gdnode.Watcher
	serial  uint32
}

func newTokens(a *Agent) *tokens {
	return &tokens{a: a, watcher: gdnode.Watcher{Fleet: a.Fleet, Config: a.Config}}
}

// GenerateConnectionID returns a route token of this agent's incarnation.
func (t *tokens) GenerateConnectionID() (quic.ConnectionID, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, keyring, _ := t.watcher.Poll()
	service, _, ok := t.a.service()
	if !ok || keyring == nil {
		return quic.ConnectionID{}, errors.New("issue route token: no active configuration")
	}
	t.serial++
	cid := gdtoken.NewSealer(keyring).Seal(gdtoken.New(service, t.a.Upstream, t.a.Incarnation, t.serial))
	return quic.ConnectionIDFromBytes(cid[:]), nil
}

// ConnectionIDLen returns the length of a route token.
func (t *tokens) ConnectionIDLen() int { return gdtoken.Size }
