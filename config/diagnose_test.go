package config_test

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/text/gdarchive"
)

func TestParseErrorsNameTheLine(t *testing.T) {
	archive, err := os.ReadFile("testdata/check.txt")
	require.NoError(t, err)
	for _, name := range []string{"types", "syntax", "values"} {
		_, err := config.Parse([]byte(gdarchive.Part(string(archive), name)))
		require.EqualError(t, err, strings.TrimSuffix(gdarchive.Part(string(archive), name+" problems"), "\n"), name)
	}
}

func TestAssembleIsTheInverseOfSplit(t *testing.T) {
	values, err := config.Split(sample())
	require.NoError(t, err)
	d, err := config.Assemble(values)
	require.NoError(t, err)
	require.Equal(t, sample(), d)
}

func TestAssembleErrorsNameTheValue(t *testing.T) {
	values, err := config.Split(sample())
	require.NoError(t, err)
	service, index := string(values[0].Data()), string(values[1].Data())
	wrong := strings.Replace(service, "slots = 3", "slots = 0", 1)
	fixed := strings.Replace(index, config.Digest([]byte(service)), config.Digest([]byte(wrong)), 1)
	fixed = strings.Replace(fixed, "revision = 12", "revision = 0", 1)
	for _, c := range []struct {
		service, index, want string
	}{
		{wrong, fixed, "index: line 2: revision: 0 is not allowed\n" +
			"service-booking: line 11: services.booking.upstreams.booking-1.slots: 0 is not between 1 and 100000"},
		{service + "colour = 1\n", index, "service-booking: the digest is "},
		{service, "revision = 'x'", "index: line 1: revision: got a value of type string, but a positive integer is required"},
		{service, "", "service-booking: the index does not list this value"},
	} {
		_, err := config.Assemble([]config.Value{
			config.NewValue(config.ServiceKey("booking"), []byte(c.service)),
			config.NewValue(config.IndexKey, []byte(c.index)),
		})
		require.ErrorContains(t, err, c.want)
	}
	_, err = config.Assemble(nil)
	require.EqualError(t, err, "index: the value is missing")
}

func TestDiffReportsEachChange(t *testing.T) {
	a, b := sample(), sample()
	require.Empty(t, config.Diff(a, b))
	b.Services = append([]config.Service(nil), b.Services...)
	b.Services[0].DrainSeconds = config.DefaultDrainSeconds // an explicit default is not a change
	b.Services[0].Routes = []config.Route{{PathPrefix: "/pay", Priority: 1, AtMostOnce: true}}
	b.Services[0].Upstreams = []config.Upstream{
		{Name: "booking-1", ID: 101, Domain: "bilbao", Agent: "192.0.2.21:7000", Slots: 3, State: config.StateLeaving},
		{Name: "booking-2", ID: 101, Domain: "bilbao", Agent: "192.0.2.22:7000", Slots: 2},
	}
	b.Domains = []config.Domain{{Name: "getxo"}}
	b.TokenKeys = []config.TokenKey{{Phase: 1, Name: "2027-01"}}
	var lines []string
	for _, c := range config.Diff(a, b) {
		lines = append(lines, c.String())
	}
	require.Equal(t, []string{
		"- domains.bilbao: state in",
		"~ domains.getxo.state: out -> in",
		"+ services.booking.routes./pay: priority 1, at-most-once true, stream false",
		"~ services.booking.upstreams.booking-1.state: in -> leaving",
		"+ services.booking.upstreams.booking-2: id 101, domain bilbao, state in, agent 192.0.2.22:7000, slots 2, weight 1",
		"~ token-keys: 2026-12 (phase 0) -> 2027-01 (phase 1)",
	}, lines)
	require.EqualError(t, config.CheckChange(a, b), strings.Join([]string{
		"revision: 12 is not greater than 12, so it would not come into force",
		"services.booking.upstreams.booking-2.id: upstream id 101 belonged to booking's booking-1, and open flows may still refer to it",
		"token-keys: key 2026-12 still issues tokens: make another key the first before dropping it",
		"token-keys.0: key 2027-01 must be published as the second key before it becomes the first",
	}, "\n"))
	a.Revision = 11
	require.NoError(t, config.CheckChange(a, sample()))
}

func TestCheckRejectsDuplicatesAndSpecialValues(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(d *config.Deployment)
		want   string
	}{
		{"weight that is no number", func(d *config.Deployment) {
			d.Services[0].Upstreams[0].Weight = math.NaN()
		}, "services.booking.upstreams.booking-1.weight: NaN is not between 0 and 100"},
		{"agent on the service address", func(d *config.Deployment) {
			d.Services[0].Upstreams[0].Agent = "192.0.2.10:443"
		}, "services.booking.upstreams.booking-1.agent: address 192.0.2.10:443 is already used by services.booking.address"},
		{"same address in another notation", func(d *config.Deployment) {
			d.Services[0].Address = "[2001:db8::1]:443"
			d.Services[0].Upstreams[0].Agent = "[2001:db8:0:0::1]:443"
		}, "services.booking.upstreams.booking-1.agent: address [2001:db8::1]:443 is already used by services.booking.address"},
		{"unspecified address", func(d *config.Deployment) {
			d.Services[0].Address = "0.0.0.0:443"
		}, `services.booking.address: "0.0.0.0:443" is not the address of one host`},
		{"route given twice", func(d *config.Deployment) {
			d.Services[0].Routes = []config.Route{{PathPrefix: "/pay", Priority: 1}, {PathPrefix: "/pay", Priority: 2}}
		}, "services.booking.routes.1.path-prefix: path /pay is already used by services.booking.routes.0.path-prefix"},
		{"token key given twice", func(d *config.Deployment) {
			d.TokenKeys = append(d.TokenKeys, config.TokenKey{Phase: 1, Name: "2026-12"})
		}, "token-keys.1.name: name 2026-12 is already used by token-keys.0.name"},
	} {
		d := sample()
		c.change(&d)
		require.EqualError(t, d.Check(), c.want, c.name)
	}
}

func TestSplitRejectsOversizedValue(t *testing.T) {
	d := sample()
	u := d.Services[0].Upstreams[0]
	for i := range 20_000 {
		u.Name, u.ID = fmt.Sprintf("more-%d", i), 1000+uint32(i)
		u.Agent = fmt.Sprintf("192.0.2.30:%d", 1000+i)
		d.Services[0].Upstreams = append(d.Services[0].Upstreams, u)
	}
	_, err := config.Split(d)
	require.EqualError(t, err, "service-booking: the value is larger than a megabyte")
}

// FuzzParse checks that the parser doesn't panic on any document, that each accepted
// deployment can become active, and that printing and parsing it again changes nothing.
func FuzzParse(f *testing.F) {
	var first bytes.Buffer
	require.NoError(f, config.Print(&first, sample()))
	f.Add(first.Bytes())
	f.Add([]byte("name = 'a'\nrevision = 1\ndomains = [{name = 'b'}]\n[[services]]\nweight = nan"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := config.Parse(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		_, err = gdconf.New(d)
		require.NoError(t, err)
		var printed, again bytes.Buffer
		require.NoError(t, config.Print(&printed, d))
		back, err := config.Parse(printed.Bytes())
		require.NoError(t, err)
		require.NoError(t, config.Print(&again, back))
		require.Equal(t, printed.String(), again.String())
	})
}

// TestDiffCoversEachField changes each field of each type in turn: Diff must report
// all of them.
func TestDiffCoversEachField(t *testing.T) {
	parts := []func(d *config.Deployment) any{
		func(d *config.Deployment) any { return d },
		func(d *config.Deployment) any { return &d.TokenKeys[0] },
		func(d *config.Deployment) any { return &d.Domains[0] },
		func(d *config.Deployment) any { return &d.Services[0] },
		func(d *config.Deployment) any { return &d.Services[0].Routes[0] },
		func(d *config.Deployment) any { return &d.Services[0].Upstreams[0] },
	}
	build := func() config.Deployment {
		d := sample()
		d.Services[0].Routes = []config.Route{{PathPrefix: "/pay", Priority: 1}}
		return d
	}
	for _, part := range parts {
		d := build()
		kind := reflect.TypeOf(part(&d)).Elem()
		for i := range kind.NumField() {
			d := build()
			switch f := reflect.ValueOf(part(&d)).Elem().Field(i); {
			case f.Kind() == reflect.Slice:
				continue
			case f.Kind() == reflect.String:
				f.SetString("other")
			case f.Kind() == reflect.Bool:
				f.SetBool(true)
			case f.CanInt():
				f.SetInt(77)
			case f.CanUint():
				f.SetUint(77)
			default:
				f.SetFloat(77)
			}
			require.NotEmpty(t, config.Diff(build(), d), "%s.%s", kind.Name(), kind.Field(i).Name)
		}
	}
}
