package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/samber/do/v2"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/operate/gdoperator"
	"godwitdrift.example/godwitdrift/internal/platform/gdplatform"
	"godwitdrift.example/godwitdrift/internal/text/gdarchive"
)

var update = flag.Bool("update", false, "write the outputs to testdata")

var started = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

// fakeProcess is the status and state of a process with an operator port.
type fakeProcess struct {
	gdoperator.Status
	flows []string
}

func (p fakeProcess) Dump() any {
	return struct {
		Name  string    `json:"name"`
		Limit *int      `json:"limit"`
		Flows []string  `json:"flows"`
		Peers []float64 `json:"peers"`
	}{p.Name, nil, p.flows, []float64{}}
}

// serve starts the operator port of a fake process and returns its address.
func serve(t *testing.T, p fakeProcess) string {
	ring := gdoperator.NewRing(4)
	ring.Add(gdoperator.Record{
		Time: p.Since.Add(time.Minute), Process: p.Name, Flow: "f-1", Request: "r-1",
		Service: "booking", Action: "forward", Upstream: "booking-1", Reason: "token",
	})
	srv := httptest.NewServer(gdoperator.Port{
		Status: statusFunc(func() gdoperator.Status { return p.Status }), Dumper: p,
		Decisions: ring, Metrics: http.NotFoundHandler(),
	}.Handler())
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

type statusFunc func() gdoperator.Status

func (f statusFunc) Status() gdoperator.Status { return f() }

// servePlatform starts a fake platform with the deployment and the hosts and returns its
// URL.
func servePlatform(t *testing.T, d config.Deployment, hosts []gdplatform.Host) string {
	values, err := config.Split(d)
	require.NoError(t, err)
	mux := http.NewServeMux()
	for _, v := range values {
		mux.HandleFunc("GET /v1/values/"+v.Key(), func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(v.Data())
		})
	}
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(struct {
			Hosts []gdplatform.Host `json:"hosts"`
		}{hosts})
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.URL
}

// fleet starts a fake platform and two processes, one of which has an older version. The
// platform also lists a host that is unreachable. It returns the values of the $NAMES in
// arguments.
func fleet(t *testing.T) map[string]string {
	data, err := os.ReadFile("testdata/deployment.toml")
	require.NoError(t, err)
	d, err := config.Parse(data)
	require.NoError(t, err)
	s, err := summarize(d)
	require.NoError(t, err)
	names := map[string]string{
		"$ENTRY1": serve(t, fakeProcess{Status: gdoperator.Status{
			Name: "entry-1", Role: "balancer", Domain: "bilbao", Ready: true,
			Version: s.Version, Revision: d.Revision, Since: started, Seen: s.Version,
		}, flows: []string{"f-1", "f-2"}}),
		"$ENTRY2": serve(t, fakeProcess{Status: gdoperator.Status{
			Name: "entry-2", Role: "balancer", Domain: "getxo", Ready: true,
			Version: "11-00000000000000ab", Revision: 11, Since: started.Add(-time.Hour),
			Rejected: &gdoperator.Rejection{Revision: d.Revision, Reason: "services.booking.id: 0 is not allowed"},
		}}),
		"$GONE": "127.0.0.1:1", // nothing listens there
	}
	list := []gdplatform.Host{
		{Name: "entry-1", Role: "balancer", OperatorAddress: names["$ENTRY1"], State: "live"},
		{Name: "entry-2", Role: "balancer", OperatorAddress: names["$ENTRY2"], State: "live"},
		{Name: "entry-3", Role: "balancer", OperatorAddress: names["$GONE"], State: gdplatform.HostLeaving},
	}
	names["$PLATFORM"] = servePlatform(t, d, list)
	garbage := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("\x00\xff[[[ no configuration"))
	}))
	t.Cleanup(garbage.Close)
	names["$GARBAGE"] = garbage.URL
	empty := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(empty.Close)
	names["$EMPTY"] = empty.URL
	return names
}

// TestCommands runs the command line of each file in testdata and compares its
// output and exit code.
func TestCommands(t *testing.T) {
	names := fleet(t)
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			args := strings.TrimSpace(gdarchive.Part(string(data), "args"))
			line := args
			for name, value := range names {
				line = strings.ReplaceAll(line, name, value)
			}
			var out, errs bytes.Buffer
			i := newInjector(strings.NewReader(""), &out, &errs)
			do.OverrideValue(i, clock(func() time.Time { return started.Add(90 * time.Second) }))
			code := run(t.Context(), i, strings.Fields("godwitdrift "+line))
			got := "-- args --\n" + args + "\n-- code --\n" + strconv.Itoa(code) +
				"\n-- stdout --\n" + out.String() + "-- stderr --\n" + errs.String()
			for name, value := range names {
				got = strings.ReplaceAll(got, value, name)
			}
			if *update {
				require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
			}
			require.Equal(t, string(data), got)
		})
	}
}

// requireCommand requires that the command and the flags of a line such as
// "godwitdrift config check FILE" exist.
func requireCommand(t *testing.T, app *cli.Command, line string) {
	cmd := app
	words := strings.Fields(line)[1:]
	for len(words) > 0 && cmd.Command(words[0]) != nil {
		cmd, words = cmd.Command(words[0]), words[1:]
	}
	require.Empty(t, cmd.Commands, "%s: no such command", line)
	for _, word := range words {
		name, isFlag := strings.CutPrefix(word, "--")
		has := func(f cli.Flag) bool { return slices.Contains(f.Names(), name) }
		require.True(t, !isFlag || slices.ContainsFunc(cmd.Flags, has), "%s: no such flag", line)
	}
}

// TestHelpHasExamplesAndExitCodes checks that the help of each command has exit codes
// and valid examples.
func TestHelpHasExamplesAndExitCodes(t *testing.T) {
	app := newApp(newInjector(nil, nil, nil))
	var walk func(cmd *cli.Command)
	walk = func(cmd *cli.Command) {
		_, rest, _ := strings.Cut(cmd.Description, "Examples:\n")
		examples, codes, ok := strings.Cut(rest, "\n\n")
		require.True(t, ok, cmd.Name)
		require.Contains(t, codes, "Exit codes:", cmd.Name)
		for _, line := range strings.Split(examples, "\n") {
			if _, piped, ok := strings.Cut(line, "| "); ok {
				line = piped
			}
			requireCommand(t, app, line)
		}
		for _, sub := range cmd.Commands {
			walk(sub)
		}
	}
	walk(app)
}

// TestPagesNameCommandsThatExist checks the commands on the pages, which are indented or
// in back quotes.
func TestPagesNameCommandsThatExist(t *testing.T) {
	app := newApp(newInjector(nil, nil, nil))
	command := regexp.MustCompile("(?m)^ +(godwitdrift .*)$|`(godwitdrift [^`]*)`")
	pages, err := filepath.Glob("../../docs/*.md")
	require.NoError(t, err)
	found := 0
	for _, page := range pages {
		data, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, m := range command.FindAllStringSubmatch(string(data), -1) {
			requireCommand(t, app, m[1]+m[2])
			found++
		}
	}
	require.NotZero(t, found)
}

// TestValuesRoundTrip checks that values written to a directory can be read back, and
// that a changed value is reported.
func TestValuesRoundTrip(t *testing.T) {
	dir := t.TempDir()
	var out, errs bytes.Buffer
	i := newInjector(strings.NewReader(""), &out, &errs)
	args := []string{"godwitdrift", "config", "print", "--values", dir, "testdata/deployment.toml"}
	require.Equal(t, exitOK, run(t.Context(), i, args), errs.String())
	require.Equal(t, exitOK, run(t.Context(), i, []string{"godwitdrift", "config", "print", dir}), errs.String())
	want, err := os.ReadFile("testdata/deployment.toml")
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
	service := filepath.Join(dir, "service-booking.toml")
	require.NoError(t, os.WriteFile(service, []byte("name = 'booking'\n"), 0o600))
	require.Equal(t, exitBadInput, run(t.Context(), i, []string{"godwitdrift", "config", "check", dir}))
	require.Contains(t, errs.String(), dir+": service-booking: the digest is ")
}
