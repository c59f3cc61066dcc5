package gddedup

import (
	"encoding/binary"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// singleAgent returns the core of a service with one agent. Its time is past
// the floor.
func singleAgent(maxRecords int) *Core {
	c := &Core{Self: 1, Incarnation: 5, Signer: NewSigner([]byte("secret")), Rand: rand.New(rand.NewPCG(1, 2)), MaxRecords: maxRecords}
	for d := -6 * time.Second; d <= 0; d += time.Second {
		c.SetView(epoch.Add(d), testView(1, -1, 1))
	}
	return c
}

func (c *Core) arrive(id uint64, key string, digest uint64) Action {
	return c.Arrive(c.now, Request{ID: id, Service: testService, Key: key, Digest: digest})[0]
}

func TestResponsesToAttempts(t *testing.T) {
	c := singleAgent(0)
	key := c.Issue(epoch, testService).String()
	small := StoredResponse{Status: 201, Body: []byte("booked")}
	require.Equal(t, Run{Subject{1}}, c.arrive(1, key, 7))
	require.Equal(t, Wait{Subject{2}}, c.arrive(2, key, 7))
	require.Equal(t, RespondConflict{Subject{3}}, c.arrive(3, key, 8))
	require.Equal(t, []Action{RespondDone{Subject{1}, small}, RespondDone{Subject{2}, small}},
		c.Finished(epoch, 1, Outcome{Result: ResultDone, Response: small}))
	require.Equal(t, RespondDone{Subject{4}, small}, c.arrive(4, `"`+key+`"`, 7), "quotes of a structured field are ignored")
	require.Equal(t, RespondUnknown{Subject{5}, ReasonKeyForged}, c.arrive(5, key[:len(key)-4]+"AAAA", 7))

	refused := c.arrive(6, "order-17", 7).(RespondNotRun)
	require.Equal(t, ReasonKeyKind, refused.Reason)
	require.Equal(t, Run{Subject{7}}, c.arrive(7, refused.NextKey.String(), 7), "the issued key runs")
	again := c.Finished(epoch, 7, Outcome{Result: ResultNotRun, RetryAfter: time.Minute})[0].(RespondNotRun)
	require.Equal(t, time.Minute, again.RetryAfter)
	require.IsType(t, RespondNotRun{}, c.arrive(8, refused.NextKey.String(), 7), "not-run is final for its key")

	big := c.Issue(epoch, testService).String()
	c.arrive(9, big, 7)
	c.Finished(epoch, 9, Outcome{Result: ResultDone, Response: StoredResponse{Body: make([]byte, MaxBodyBytes+1)}})
	require.Equal(t, RespondDone{Subject{10}, StoredResponse{BodyOmitted: true}}, c.arrive(10, big, 7))
	require.Equal(t, len(small.Body), c.Stats().StoredBytes)

	late := epoch.Add(DefaultRetention + time.Second)
	require.Equal(t, []Action{RespondUnknown{Subject{11}, ReasonKeyExpired}},
		c.Arrive(late, Request{ID: 11, Service: testService, Key: key, Digest: 7}))
	require.Zero(t, c.Stats().Records)
	require.Zero(t, c.Stats().StoredBytes)
}

// TestFullLedgerRefusesKeyPermanently: the key stays refused once the ledger has room.
func TestFullLedgerRefusesKeyPermanently(t *testing.T) {
	c := singleAgent(1)
	first, second := c.Issue(epoch, testService).String(), c.Issue(epoch, testService).String()
	require.IsType(t, Run{}, c.arrive(1, first, 0))
	require.Equal(t, ReasonLedgerFull, c.arrive(2, second, 0).(RespondNotRun).Reason)
	c.ledger.remove(c.running[1])
	require.Equal(t, ReasonLedgerFull, c.arrive(3, second, 0).(RespondNotRun).Reason)
	require.EqualValues(t, 1, c.Stats().LedgerFull)
	c.advance(epoch.Add(time.Second))
	third, fourth := c.Issue(c.now, testService).String(), c.Issue(c.now.Add(time.Millisecond), testService).String()
	require.IsType(t, Run{}, c.arrive(4, third, 0))
	c.Finished(c.now, 4, Outcome{Result: ResultNotRun})
	require.IsType(t, Run{}, c.arrive(5, fourth, 0), "the refused key's record is dropped")
	require.IsType(t, RespondNotRun{}, c.arrive(6, third, 0), "and the key stays refused")
}

// FuzzParse checks that no key causes a panic, and that a parsed key prints as
// its input and parses to the same key again.
func FuzzParse(f *testing.F) {
	c := singleAgent(0)
	for _, s := range []string{"", `"`, "gd1-", stampedKey, strings.ToUpper(stampedKey), c.Issue(epoch, 1).String(), "order-17"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		k, err := c.Signer.Parse(s)
		if err != nil {
			return
		}
		again, err := c.Signer.Parse(k.String())
		require.NoError(t, err)
		require.Equal(t, k, again)
		if upper, err := c.Signer.Parse(strings.ToUpper(s)); err == nil && !k.Issued() {
			require.Equal(t, k.ident, upper.ident)
		}
	})
}

// measure times step over the items and reports the memory that each item
// occupies.
func measure[T any](b *testing.B, c *Core, items []T, step func(int, T)) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for i, item := range items {
		step(i, item)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(b.N), "B/record")
	require.Equal(b, b.N, c.Stats().Records)
	runtime.KeepAlive(items)
}

// BenchmarkRecord measures a key from its arrival to its stored response with a
// body of 64 bytes.
func BenchmarkRecord(b *testing.B) {
	c := singleAgent(b.N + 1)
	keys := make([]string, b.N)
	for i := range keys {
		keys[i] = c.Issue(epoch, testService).String()
	}
	measure(b, c, keys, func(i int, key string) {
		c.arrive(uint64(i), key, 1)
		c.Finished(epoch, uint64(i), Outcome{Result: ResultDone, Response: StoredResponse{Status: 200, Body: make([]byte, 64)}})
	})
}

// BenchmarkGrant measures a grant to a peer.
func BenchmarkGrant(b *testing.B) {
	c := singleAgent(b.N + 1)
	k, err := c.Signer.Parse(stampedKey)
	require.NoError(b, err)
	queries := make([]Query, b.N)
	for i := range queries {
		queries[i] = Query{Service: testService, Key: k.ident, Claimant: 2}
		binary.BigEndian.PutUint32(queries[i].Key[12:], uint32(i))
	}
	for d := range 9 {
		c.Tick(epoch.Add(time.Duration(d) * time.Second))
	}
	measure(b, c, queries, func(_ int, q Query) { c.QueryReceived(epoch.Add(9*time.Second), q) })
}
