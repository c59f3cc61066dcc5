package gdhostrig

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMessagesInPieces: a stream that comes byte by byte gives the same messages.
func TestMessagesInPieces(t *testing.T) {
	first, second := requestHead{"a/1", "order", 900, 600}, requestHead{"b/2", "feed", 0, 2000}
	var p requestParser
	var got []requestHead
	for _, b := range appendRequest(appendRequest(nil, first), second) {
		got = append(got, p.take([]byte{b})...)
	}
	require.Equal(t, []requestHead{first, second}, got)
	got = p.take([]byte("no request\n"))
	require.Equal(t, "unreadable: no request", got[0].id)
}

// TestOnlyTheWholeAnswerIsWhole: for each way in which an answer can be wrong.
func TestOnlyTheWholeAnswerIsWhole(t *testing.T) {
	h := requestHead{"a/1", "order", 900, 600}
	good := appendAnswer(nil, h, answerDone)
	for i := range good {
		_, rest, _, complete := takeAnswer(good[:i], h.id, h.out)
		require.False(t, complete, "%d bytes", i)
		require.Len(t, rest, i)
	}
	for name, tc := range map[string]struct {
		answer []byte
		whole  bool
	}{
		"the answer":        {good, true},
		"refusal":           {appendAnswer(nil, h, answerNotRun), true},
		"another request's": {appendAnswer(nil, requestHead{id: "a/2", out: 600}, answerDone), false},
		"shorter":           {appendAnswer(nil, requestHead{id: "a/1", out: 599}, answerDone), false},
		"changed":           {append(append([]byte(nil), good[:len(good)-1]...), 'z'), false},
		"unreadable":        {[]byte("HTTP/1.1 200 OK\n"), false},
	} {
		_, _, whole, complete := takeAnswer(tc.answer, h.id, h.out)
		require.True(t, complete, name)
		require.Equal(t, tc.whole, whole, name)
	}
}

// TestRouters: a flow's host follows from the hosts that are ready, as the users'
// platform says.
func TestRouters(t *testing.T) {
	host := func(domain string, misses int) *Host { return &Host{role: RoleEntry, domain: domain, misses: misses} }
	for name, tc := range map[string]struct {
		hosts []*Host
		want  []int // the hosts that get flows of the domain north
	}{
		"all ready":             {[]*Host{host("north", 0), host("north", 1), host("south", 0)}, []int{0, 1}},
		"one is not":            {[]*Host{host("north", 0), host("north", 2), host("south", 0)}, []int{0}},
		"fewer than half are":   {[]*Host{host("north", 0), host("north", 2), host("north", 2)}, []int{0, 1, 2}},
		"none is":               {[]*Host{host("north", 2), host("south", 0)}, []int{1}},
		"none is anywhere":      {[]*Host{host("north", 2), host("south", 2)}, nil},
		"a host was taken away": {[]*Host{{role: RoleEntry, domain: "north", removed: true}, host("north", 0)}, []int{1}},
	} {
		r := &Rig{hosts: tc.hosts}
		for hash := range uint64(len(tc.hosts)) {
			got := r.route("north", hash)
			if tc.want == nil {
				require.Nil(t, got, name)
				continue
			}
			require.Same(t, tc.hosts[tc.want[hash%uint64(len(tc.want))]], got, name)
		}
	}
}
