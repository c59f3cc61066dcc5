package config_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
)

func sample() config.Deployment {
	return config.Deployment{
		Name:      "rejilla-norte",
		Revision:  12,
		TokenKeys: []config.TokenKey{{Phase: 0, Name: "2026-12"}},
		Domains:   []config.Domain{{Name: "bilbao"}, {Name: "getxo", State: config.StateOut}},
		Services: []config.Service{{
			Name: "booking", ID: 1, Address: "192.0.2.10:443", Priority: 1,
			Upstreams: []config.Upstream{
				{Name: "booking-1", ID: 101, Domain: "bilbao", Agent: "192.0.2.21:7000", Slots: 3},
			},
		}},
	}
}

func TestPrintThenParseGivesTheSameDeployment(t *testing.T) {
	var a, b bytes.Buffer
	require.NoError(t, config.Print(&a, sample()))
	got, err := config.Parse(a.Bytes())
	require.NoError(t, err)
	require.NoError(t, config.Print(&b, got))
	require.Equal(t, a.String(), b.String())
}

func TestCheckReportsAllProblems(t *testing.T) {
	d := sample()
	d.Revision = 0
	d.Services[0].Upstreams[0].Slots = 0
	d.Services[0].Upstreams[0].Domain = "deusto"
	err := d.Check()
	var ps config.Problems
	require.ErrorAs(t, err, &ps)
	require.Len(t, ps, 3)
	require.Equal(t, "revision", ps[0].Place())
}

func TestSplitThenJoinGivesTheSameDeployment(t *testing.T) {
	values, err := config.Split(sample())
	require.NoError(t, err)
	require.Equal(t, config.IndexKey, values[len(values)-1].Key())
	idx, err := config.ParseIndex(values[1].Data())
	require.NoError(t, err)
	svc, err := config.ParseService(values[0].Data())
	require.NoError(t, err)
	d, err := config.Join(idx, []config.Service{svc})
	require.NoError(t, err)
	require.Equal(t, sample(), d)
}

func TestAtMostFourTokenKeys(t *testing.T) {
	d := sample()
	d.TokenKeys = nil
	for phase := range uint8(config.MaxTokenKeys) {
		d.TokenKeys = append(d.TokenKeys, config.TokenKey{Phase: phase, Name: "key-" + string('a'+rune(phase))})
	}
	require.NoError(t, d.Check())
	d.TokenKeys = append(d.TokenKeys, config.TokenKey{Phase: 3, Name: "key-e"})
	require.ErrorContains(t, d.Check(), "5 keys, but 1 to 4 are allowed")
}
