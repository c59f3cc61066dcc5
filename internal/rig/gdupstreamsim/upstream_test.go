package gdupstreamsim_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gdupstreamsim"
)

func run(t *testing.T, u *gdupstreamsim.Upstream) *gdupstreamsim.Upstream {
	u.Service, u.Name, u.Record = "booking", "booking-1", &gdupstreamsim.Record{}
	require.NoError(t, u.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = u.Run(ctx) }()
	return u
}

func post(ctx context.Context, t *testing.T, u *gdupstreamsim.Upstream, id string, timeoutMS string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.URL()+"/", strings.NewReader(id))
	require.NoError(t, err)
	req.Header.Set(gdupstreamsim.HeaderRequestID, id)
	req.Header.Set(gdupstreamsim.HeaderIdempotencyKey, "key-"+id)
	req.Header.Set(gdupstreamsim.HeaderTimeout, timeoutMS)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body)
}

// burst sends n requests at the same time and counts the responses by status.
func burst(ctx context.Context, t *testing.T, u *gdupstreamsim.Upstream, n int) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	got := map[int]int{}
	for i := range n {
		wg.Go(func() {
			status, _ := post(ctx, t, u, string(rune('a'+i)), "")
			mu.Lock()
			defer mu.Unlock()
			got[status]++
		})
	}
	wg.Wait()
	return got
}

func TestUpstreamEchoesAndRecordsEachStart(t *testing.T) {
	u := run(t, &gdupstreamsim.Upstream{Slots: 3})
	status, body := post(context.Background(), t, u, "one", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "one", body)
	require.Equal(t, 1, u.Record.StartsOfKey("key-one"))
	require.Zero(t, u.Record.StartsOfKey("key-two"))
	_, _ = post(context.Background(), t, u, "one", "")
	require.Equal(t, 1, u.Record.DuplicateKeys())
}

func TestColdUpstreamShedsRequestsBeyondTwiceItsCapacity(t *testing.T) {
	u := run(t, &gdupstreamsim.Upstream{Slots: 8, WarmUp: time.Hour})
	u.SetSilent(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan map[int]int)
	go func() { done <- burst(ctx, t, u, 8) }()
	require.Eventually(t, func() bool { return u.Counts().Shed == 6 }, 10*time.Second, time.Millisecond)
	require.Equal(t, 2, u.Counts().Started)
	require.Equal(t, 7, u.Counts().OverCapacity)
	cancel() // may abort responses in transit, so the statuses are not checked
	<-done
	require.Equal(t, 2, u.Counts().Started)
}

func TestWarmUpstreamServesAllSlotsAndSheds(t *testing.T) {
	u := run(t, &gdupstreamsim.Upstream{Slots: 8, WarmUp: time.Nanosecond, ServiceTime: 200 * time.Millisecond})
	require.Equal(t, map[int]int{http.StatusOK: 8}, burst(context.Background(), t, u, 8))
	u.SetShedRate(1)
	require.Equal(t, map[int]int{http.StatusServiceUnavailable: 3}, burst(context.Background(), t, u, 3))
}

func TestUpstreamAbortsOnCancellationAndDeadline(t *testing.T) {
	u := run(t, &gdupstreamsim.Upstream{Slots: 3})
	u.SetSilent(true)
	status, _ := post(context.Background(), t, u, "late", "20")
	require.Zero(t, status, "an upstream must not respond after the deadline")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	status, _ = post(ctx, t, u, "gone", "")
	require.Zero(t, status)
	require.Eventually(t, func() bool { return u.Counts().Cancelled == 2 }, 10*time.Second, time.Millisecond)
}
