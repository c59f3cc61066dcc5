package gdfeed_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdreaders"
	"godwitdrift.example/godwitdrift/internal/wire/gdfeed"
)

func address(i int) gdflow.Address {
	return gdflow.AddressFrom([4]byte{10, 0, byte(i >> 8), byte(i)}, 8080)
}

func registration(i int) gddiscovery.Change {
	id := fmt.Sprintf("i-%08x", i)
	return gddiscovery.Change{
		Subject: gddiscovery.Subject{Kind: gddiscovery.Registration, Name: id}, Revision: gddiscovery.Revision(100 + i),
		Upstream: &gddiscovery.Upstream{
			ID: id, Service: "booking", Domain: "bilbao-a", Address: address(i), Slots: 3, Draining: i%2 == 0,
			ColdFor: 2 * time.Second, StartUnixMilli: 1_796_342_400_000,
		},
	}
}

func config(routes int) gddiscovery.Change {
	c := &gddiscovery.Config{
		Version: 7, IdleTimeout: 15 * time.Second,
		Routes:   []gddiscovery.Route{},
		Services: []gddiscovery.Service{{Name: "booking", MaxFlows: 2000, ColdFor: 2 * time.Second, ColdFlowsPerSecond: 20}},
	}
	for i := range routes {
		c.Routes = append(c.Routes, gddiscovery.Route{
			Name: fmt.Sprintf("r-%06x", i), Address: address(i), Shares: []gddiscovery.Share{{Service: "booking", Weight: 1}},
			Priority: 2, LatencyObjective: 120 * time.Millisecond, Timeout: time.Second, Idempotent: true,
		})
	}
	return gddiscovery.Change{Subject: gddiscovery.Subject{Kind: gddiscovery.Configuration}, Revision: 90, Config: c}
}

func removed(i int) gddiscovery.Change {
	c := registration(i)
	c.Removed, c.Upstream = true, nil
	return c
}

func beacon(changes ...gddiscovery.Change) gdfeed.Beacon {
	return gdfeed.Beacon{
		Beacon: gdreaders.Beacon{
			Revision: 500, Age: 250 * time.Millisecond, Rank: 9, Reading: true,
			Members: []gdreaders.Member{{Address: address(1), Rank: 4}, {Address: address(2), Rank: 5}},
		},
		BaseRevision: 80,
		Update:       gddiscovery.Update{Changes: changes, Revision: 500, Age: 250 * time.Millisecond},
	}
}

func TestBeaconRoundTrips(t *testing.T) {
	want := beacon(registration(1), removed(2), gddiscovery.Change{
		Subject: gddiscovery.Subject{Kind: gddiscovery.Evacuation, Name: "bilbao-a"}, Revision: 120,
	})
	data, err := gdfeed.EncodeBeacons(want)
	require.NoError(t, err)
	require.Len(t, data, 1)
	got, err := gdfeed.DecodeBeacon(data[0])
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// TestManyChangesGoIntoSeveralBeacons encodes the changes after a power failure, when all
// upstreams register again within a second or two. The beacons, applied in order, must
// bring the receiver's state to the sender's revision without a fetch.
func TestManyChangesGoIntoSeveralBeacons(t *testing.T) {
	var changes []gddiscovery.Change
	for i := range 120 {
		changes = append(changes, registration(i))
	}
	data, err := gdfeed.EncodeBeacons(beacon(changes...))
	require.NoError(t, err)
	var state gddiscovery.State
	now := time.Unix(1000, 0)
	require.True(t, state.Load(now, gddiscovery.Update{Changes: []gddiscovery.Change{config(1)}, Revision: 90}))
	const since = 10 * time.Second
	now = now.Add(since)
	for i, d := range data {
		require.Equal(t, since, state.Age(now), "some of the changes confirm nothing")
		require.LessOrEqual(t, len(d), gdfeed.MaxBeaconSize)
		got, err := gdfeed.DecodeBeacon(d)
		require.NoError(t, err)
		require.LessOrEqual(t, got.BaseRevision, state.Revision(), "no gap")
		require.Equal(t, i < len(data)-1, got.Update.Partial)
		state.Apply(now, got.Update)
	}
	require.Less(t, state.Age(now), since)
	require.Equal(t, gddiscovery.Revision(500), state.Revision())
	require.Len(t, state.View().Upstreams(), 120)
}

// TestLargeConfigurationIsFetched checks that a beacon without the changes that don't fit
// has no base revision, so that the receiver fetches them.
func TestLargeConfigurationIsFetched(t *testing.T) {
	data, err := gdfeed.EncodeBeacons(beacon(config(600), registration(1)))
	require.NoError(t, err)
	require.Len(t, data, 1)
	got, err := gdfeed.DecodeBeacon(data[0])
	require.NoError(t, err)
	require.Zero(t, got.BaseRevision)
	require.Empty(t, got.Update.Changes)
	require.Equal(t, gddiscovery.Revision(500), got.Revision)
}

func TestUpdateRoundTrips(t *testing.T) {
	want := gddiscovery.Update{Revision: 500, Age: time.Second, Full: true, Changes: []gddiscovery.Change{config(600), registration(1), removed(3)}}
	var buf bytes.Buffer
	require.NoError(t, gdfeed.WriteUpdate(&buf, want))
	require.Less(t, buf.Len(), 24<<10, "600 routes on a link of 10 Mbit/s in 20 ms")
	got, err := gdfeed.ReadUpdate(&buf)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	_, err := gdfeed.DecodeBeacon(nil)
	require.ErrorContains(t, err, "message is empty")
	_, err = gdfeed.DecodeBeacon([]byte{9, 0})
	require.ErrorContains(t, err, "version 9, want 2")
	_, err = gdfeed.ReadUpdate(bytes.NewReader([]byte{2, 2, 3}))
	require.ErrorContains(t, err, "read update")
	incomplete := registration(1)
	incomplete.Upstream = nil
	data, err := gdfeed.EncodeBeacons(beacon(incomplete))
	require.NoError(t, err)
	_, err = gdfeed.DecodeBeacon(data[0])
	require.ErrorContains(t, err, `name "i-00000001": data is missing`)
}

func FuzzDecodeBeacon(f *testing.F) {
	data, err := gdfeed.EncodeBeacons(beacon(registration(1), removed(2), config(2)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data[0])
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := gdfeed.DecodeBeacon(b); err == nil {
			_, err := gdfeed.EncodeBeacons(got)
			require.NoError(t, err)
		}
	})
}

func FuzzReadUpdate(f *testing.F) {
	var buf bytes.Buffer
	if err := gdfeed.WriteUpdate(&buf, gddiscovery.Update{Revision: 5, Changes: []gddiscovery.Change{config(2), registration(1)}}); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Fuzz(func(_ *testing.T, b []byte) {
		// ReadUpdate must neither panic nor allocate without bound.
		_, _ = gdfeed.ReadUpdate(bytes.NewReader(b))
	})
}

// TestChangedRouteFitsIntoABeacon changes one of 600 routes. Followers get it with the
// beacon; fetching the whole configuration from one host, they would saturate its link.
func TestChangedRouteFitsIntoABeacon(t *testing.T) {
	first, next := config(600), config(600)
	next.Revision = 500
	next.Config.Version++
	next.Config.Routes[7].Timeout = 2 * time.Second
	now := time.Unix(1000, 0)
	var reader, follower gddiscovery.State
	for _, s := range []*gddiscovery.State{&reader, &follower} {
		require.True(t, s.Load(now, gddiscovery.Update{Changes: []gddiscovery.Change{first}, Revision: 90}))
	}
	require.True(t, reader.Apply(now, gddiscovery.Update{Changes: []gddiscovery.Change{next}, Revision: 500, EachChange: true}))
	b := beacon()
	b.BaseRevision, b.Update = 90, reader.ChangesSince(now, 90)
	data, err := gdfeed.EncodeBeacons(b)
	require.NoError(t, err)
	require.Len(t, data, 1)
	require.Less(t, len(data[0]), 300)
	got, err := gdfeed.DecodeBeacon(data[0])
	require.NoError(t, err)
	require.True(t, follower.Apply(now, got.Update))
	require.Equal(t, reader.View().Version(), follower.View().Version())
	r, _ := follower.View().Route(next.Config.Routes[7].Address)
	require.Equal(t, 2*time.Second, r.Timeout)
}
