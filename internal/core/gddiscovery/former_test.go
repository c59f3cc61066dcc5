package gddiscovery_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
)

// history is longer than former routes are kept: the duration of a flow, and the time in which
// hosts may act on an older configuration.
const history = 76 * time.Second

// split returns a configuration whose route has the services, with equal weights.
func split(revision gddiscovery.Revision, services ...string) gddiscovery.Change {
	c := config(revision, revision.Number())
	c.Config.Routes[0].Shares = nil
	for _, s := range services {
		c.Config.Routes[0].Shares = append(c.Config.Routes[0].Shares, gddiscovery.Share{Service: s, Weight: 1})
	}
	if len(services) == 0 {
		c.Config.Routes = nil
	}
	return c
}

func watched(s *gddiscovery.State, now time.Time, changes ...gddiscovery.Change) {
	s.Apply(now, gddiscovery.Update{Changes: changes, Revision: changes[len(changes)-1].Revision, EachChange: true})
}

// formerServices returns the services of the route's former versions.
func formerServices(s *gddiscovery.State, now time.Time) []string {
	var out []string
	for r := range s.View().FormerRoutes(now, service) {
		for _, share := range r.Shares {
			out = append(out, share.Service)
		}
	}
	return out
}

// TestFormerRoutes: the services that a route had are known for as long as their flows may be
// open, whatever became of the route since.
func TestFormerRoutes(t *testing.T) {
	tests := []struct {
		name  string
		steps [][]string // of the route's services, a second apart
		want  []string   // of the former services, after the last step
	}{
		{"no change", [][]string{{"a"}, {"a"}}, nil},
		{"a service leaves the split", [][]string{{"a", "b"}, {"a"}}, []string{"a", "b"}},
		{"and comes back", [][]string{{"a", "b"}, {"a"}, {"a", "b"}}, []string{"a", "a", "b"}},
		{"the route moves", [][]string{{"a"}, {"b"}}, []string{"a"}},
		{"it moves and moves back", [][]string{{"a"}, {"b"}, {"a"}}, []string{"b", "a"}},
		{"it is removed and added again", [][]string{{"a"}, {}, {"b"}}, []string{"a"}},
		{"a change that repeats", [][]string{{"a"}, {"b"}, {"a"}, {"b"}, {"a"}}, []string{"b", "a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := loaded(t, split(10, tt.steps[0]...))
			now := start.Add(history)
			for i, services := range tt.steps[1:] {
				now = now.Add(time.Second)
				watched(s, now, split(gddiscovery.Revision(11+i), services...))
			}
			require.True(t, s.View().KnowsFormerRoutes(now))
			require.Equal(t, tt.want, formerServices(s, now))
			require.Equal(t, tt.want, formerServices(s, now.Add(70*time.Second)))
			require.Empty(t, formerServices(s, now.Add(history)), "they lapse without a change")
		})
	}
}

// TestMissedConfigurations: a host knows whether it may have missed a configuration.
func TestMissedConfigurations(t *testing.T) {
	now := start.Add(history)
	tests := []struct {
		name   string
		change func(s *gddiscovery.State)
		want   bool
	}{
		{"nothing happens", func(*gddiscovery.State) {}, true},
		{"a watch shows each version", func(s *gddiscovery.State) { watched(s, now, split(11, "b"), split(12, "a")) }, true},
		{"another host sends the latest version", func(s *gddiscovery.State) {
			s.Apply(now, gddiscovery.Update{Changes: []gddiscovery.Change{split(12, "a")}, Revision: 12})
		}, false},
		{"another host sends registrations", func(s *gddiscovery.State) {
			s.Apply(now, gddiscovery.Update{Changes: []gddiscovery.Change{upstream(12, "u1", nil)}, Revision: 12})
		}, true},
		{"a full state has a newer version", func(s *gddiscovery.State) {
			s.Load(now, gddiscovery.Update{Changes: []gddiscovery.Change{split(12, "a")}, Revision: 12, EachChange: true})
		}, false},
		{"a full state has the same version", func(s *gddiscovery.State) {
			s.Load(now, gddiscovery.Update{Changes: []gddiscovery.Change{split(10, "a")}, Revision: 12})
		}, true},
		{"the source is restored", func(s *gddiscovery.State) {
			s.Load(now, gddiscovery.Update{Changes: []gddiscovery.Change{split(era1(5), "b")}, Revision: era1(10)})
		}, false},
		{"an old copy of the state arrives", func(s *gddiscovery.State) {
			s.Load(now, gddiscovery.Update{Changes: []gddiscovery.Change{split(5, "b")}, Revision: 9})
		}, true},
		{"too many splits of different services", func(s *gddiscovery.State) {
			for i := range gddiscovery.Revision(10) {
				watched(s, now, split(11+i, fmt.Sprint("s", i)))
			}
		}, false},
		{"many splits of the same services", func(s *gddiscovery.State) {
			for i := range gddiscovery.Revision(30) {
				c := split(11+i, "a", "b")
				c.Config.Routes[0].Shares[0].Weight = float64(i + 1)
				watched(s, now, c)
			}
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := loaded(t, split(10, "a"))
			require.False(t, s.View().KnowsFormerRoutes(start.Add(time.Minute)), "after the start")
			require.True(t, s.View().KnowsFormerRoutes(now))
			tt.change(s)
			require.Equal(t, tt.want, s.View().KnowsFormerRoutes(now))
			require.True(t, s.View().KnowsFormerRoutes(now.Add(history)), "it does not last")
		})
	}
}

// TestDeltaHidesNoService: a host that gets several configurations at once, as a delta, knows
// each service that a route had in between. Otherwise it gets the whole configuration, and
// knows that it may have missed one.
func TestDeltaHidesNoService(t *testing.T) {
	now := start.Add(history)
	tests := []struct {
		name  string
		steps [][]string
		delta bool
	}{
		{"one step", [][]string{{"a"}, {"b"}}, true},
		{"a service is added step by step", [][]string{{"a"}, {"a", "b"}, {"b"}}, true},
		{"a service comes and goes", [][]string{{"a"}, {"b"}, {"a"}}, false},
		{"a service goes and comes", [][]string{{"a", "b"}, {"a"}, {"a", "b"}}, true},
		{"the first step has what a later one lacks", [][]string{{"b"}, {"a"}, {"b"}, {"c"}}, false},
		{"the route ends", [][]string{{"a"}, {"b"}, {}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			steps := make([]gddiscovery.Change, 0, len(tt.steps))
			for i, services := range tt.steps {
				c := split(gddiscovery.Revision(10+i), services...)
				c.Config.Routes = append(c.Config.Routes, manyRoutes(1).Config.Routes[1:]...)
				steps = append(steps, c)
			}
			sender := loaded(t, steps[0])
			watched(sender, now, steps[1:]...)
			for i := range steps[:len(steps)-1] {
				receiver := loaded(t, steps[0])
				for _, c := range steps[1 : i+1] {
					watched(receiver, now, c)
				}
				u := sender.ChangesSince(now, receiver.Revision())
				if i == 0 {
					require.Equal(t, tt.delta, u.Changes[0].Delta != nil)
				}
				delta := u.Changes[0].Delta != nil
				require.True(t, receiver.Apply(now, u))
				require.Equal(t, delta, receiver.View().KnowsFormerRoutes(now))
			}
		})
	}
}

// TestSenderThatMissedOneSendsNoDelta: what it does not know, it can't tell others.
func TestSenderThatMissedOneSendsNoDelta(t *testing.T) {
	first, second, third := manyRoutes(10), manyRoutes(12), manyRoutes(13)
	second.Config.Version, third.Config.Version = 2, 3
	now := start.Add(history)
	sender := loaded(t, first)
	require.True(t, sender.Load(now, gddiscovery.Update{Changes: []gddiscovery.Change{second}, Revision: 12}))
	require.Nil(t, sender.ChangesSince(now, 10).Changes[0].Delta)
	watched(sender, now, third)
	require.NotNil(t, sender.ChangesSince(now, 12).Changes[0].Delta, "from what it knows on")
}

// TestFirstConfiguration: a host that starts knows the history of the routes if the source has
// had no other configuration, unless the source was restored.
func TestFirstConfiguration(t *testing.T) {
	for _, era := range []uint64{0, 1} {
		c := split(gddiscovery.NewRevision(era, 10), "a")
		c.First = true
		var s gddiscovery.State
		require.True(t, s.Load(start, gddiscovery.Update{Changes: []gddiscovery.Change{c}, Revision: gddiscovery.NewRevision(era, 12)}))
		require.Equal(t, era == 0, s.View().KnowsFormerRoutes(start))
		require.False(t, s.ChangesSince(start, 0).Changes[0].First)
	}
}
