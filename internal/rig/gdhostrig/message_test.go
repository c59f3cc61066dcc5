package gdhostrig

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestParseRequestsByteByByte checks that a stream that arrives byte by byte gives the same
// requests, and that an unreadable request is reported.
func TestParseRequestsByteByByte(t *testing.T) {
	first, second := requestHead{"a/1", "order", 900, 600}, requestHead{"b/2", "feed", 0, 2000}
	var p requestParser
	var got []requestHead
	for _, b := range appendRequest(appendRequest(nil, first), second) {
		got = append(got, p.parse([]byte{b})...)
	}
	require.Equal(t, []requestHead{first, second}, got)
	got = p.parse([]byte("no request\n"))
	require.Equal(t, "unreadable: no request", got[0].id)
	got = p.parse([]byte("a/1 order -5 600\n"))
	require.Equal(t, []requestHead{{id: "unreadable: a/1 order -5 600"}}, got, "a negative size")
}

// TestParseAnswer checks that only the answer to the request is correct, and only when it is
// complete.
func TestParseAnswer(t *testing.T) {
	h := requestHead{"a/1", "order", 900, 600}
	good := appendAnswer(nil, h, answerDone)
	for i := range good {
		_, rest, _, complete := parseAnswer(good[:i], h.id, h.answerSize)
		require.False(t, complete, "%d bytes", i)
		require.Len(t, rest, i)
	}
	for name, tc := range map[string]struct {
		answer  []byte
		correct bool
	}{
		"the answer":        {good, true},
		"refusal":           {appendAnswer(nil, h, answerNotRun), true},
		"another request's": {appendAnswer(nil, requestHead{id: "a/2", answerSize: 600}, answerDone), false},
		"shorter":           {appendAnswer(nil, requestHead{id: "a/1", answerSize: 599}, answerDone), false},
		"changed":           {append(append([]byte(nil), good[:len(good)-1]...), 'z'), false},
		"unreadable":        {[]byte("HTTP/1.1 200 OK\n"), false},
	} {
		_, _, correct, complete := parseAnswer(tc.answer, h.id, h.answerSize)
		require.True(t, complete, name)
		require.Equal(t, tc.correct, correct, name)
	}
}

// TestPickEntryHost checks that the entry host of a flow depends on which hosts are ready as
// the users' platform specifies.
func TestPickEntryHost(t *testing.T) {
	host := func(domain string, failedProbes int) *Host {
		return &Host{role: RoleEntry, domain: domain, failedProbes: failedProbes}
	}
	for name, tc := range map[string]struct {
		hosts []*Host
		want  []int // the indices of the hosts that get flows of the domain north
	}{
		"all ready":             {[]*Host{host("north", 0), host("north", 1), host("south", 0)}, []int{0, 1}},
		"one not ready":         {[]*Host{host("north", 0), host("north", 2), host("south", 0)}, []int{0}},
		"fewer than half ready": {[]*Host{host("north", 0), host("north", 2), host("north", 2)}, []int{0, 1, 2}},
		"none ready":            {[]*Host{host("north", 2), host("south", 0)}, []int{1}},
		"none ready anywhere":   {[]*Host{host("north", 2), host("south", 2)}, nil},
		"one host removed":      {[]*Host{{role: RoleEntry, domain: "north", removed: true}, host("north", 0)}, []int{1}},
	} {
		r := &Rig{hosts: tc.hosts}
		for hash := range uint64(len(tc.hosts)) {
			got := r.pickEntryHost("north", hash)
			if tc.want == nil {
				require.Nil(t, got, name)
				continue
			}
			require.Same(t, tc.hosts[tc.want[hash%uint64(len(tc.want))]], got, name)
		}
	}
}
