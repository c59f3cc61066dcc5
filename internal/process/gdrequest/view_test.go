package gdrequest

import (
	"context"
	"math/rand/v2"
	"net/url"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/core/gdfixture"
)

// settableConfig is a source of views that a test sets.
type settableConfig struct {
	mu   sync.Mutex
	view *gdconf.View
}

func (c *settableConfig) View() *gdconf.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *settableConfig) set(v *gdconf.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = v
}

func (*settableConfig) MayDecide(time.Time) bool                  { return true }
func (*settableConfig) ObservePeerVersion(string, gdconf.Version) {}

// TestViewTakesEffectAsAWhole delays each of the two cores in turn. Requests must not see
// a view that only one of them has: a leaving agent would issue a key that no agent runs.
func TestViewTakesEffectAsAWhole(t *testing.T) {
	for _, delayed := range []string{"admission", "deduplication"} {
		t.Run(delayed, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := gdfixture.Deployment(1, 2)
				serving := gdfixture.View(d)
				d.Services[0].Upstreams[0].State = config.StateLeaving
				leaving := gdfixture.View(d)
				source := &settableConfig{view: serving}
				s := &Server{
					Self: 101, Config: source, Target: &url.URL{},
					Signer: gddedup.NewSigner([]byte("secret")), Rand: rand.New(rand.NewPCG(1, 1)),
				}
				s.init()
				block := make(chan struct{})
				if delayed == "admission" {
					s.admitLoop.Post(func(time.Time) []gdadmit.Action { <-block; return nil })
				} else {
					s.dedupLoop.Post(func(time.Time) []gddedup.Action { <-block; return nil })
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go s.Run(ctx)
				const manyPolls = 10 * pollInterval
				time.Sleep(manyPolls)
				require.Nil(t, s.applied.Load(), "a core has no view yet")
				close(block)
				time.Sleep(manyPolls)
				require.Same(t, serving, s.applied.Load().view)
				require.False(t, s.applied.Load().leaving)
				source.set(leaving)
				time.Sleep(manyPolls)
				require.Same(t, leaving, s.applied.Load().view)
				require.True(t, s.applied.Load().leaving)
			})
		})
	}
}
