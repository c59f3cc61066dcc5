package gdlog_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
)

func TestCatalogueMatchesThePage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	require.NoError(t, err)
	var rows strings.Builder
	last := 0
	for _, e := range gdlog.Catalogue() {
		require.Greater(t, e.Number(), last, "numbers increase and are unique")
		last = e.Number()
		fmt.Fprintf(&rows, "| %d | %s | %s | %s |\n", e.Number(), e.Level(), e.Text(), e.Advice())
	}
	var inPage strings.Builder
	for line := range strings.Lines(string(page)) {
		if len(line) > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9' {
			inPage.WriteString(line)
		}
	}
	require.Equal(t, rows.String(), inPage.String())
}

// TestEachEventIsWritten checks that each event is written by some code, and that the page
// lists the numbers that stay unused.
func TestEachEventIsWritten(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(page), "## Reserved\n")
	list, _, _ := strings.Cut(rest, "## ")
	var listed []int
	for _, digits := range regexp.MustCompile(`\d+`).FindAllString(list, -1) {
		n, err := strconv.Atoi(digits)
		require.NoError(t, err)
		listed = append(listed, n)
	}
	require.Equal(t, gdlog.Reserved(), listed)
	for _, e := range gdlog.Catalogue() {
		require.NotContains(t, listed, e.Number())
	}
	var code strings.Builder
	for _, root := range []string{"../..", "../../../cmd"} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			test := strings.HasSuffix(path, "_test.go") || strings.Contains(path, "/gdlog/")
			if err != nil || test || !strings.HasSuffix(path, ".go") {
				return err
			}
			data, err := os.ReadFile(path)
			code.Write(data)
			return err
		})
		require.NoError(t, err)
	}
	declared, err := os.ReadFile("events.go")
	require.NoError(t, err)
	for _, m := range regexp.MustCompile(`(\w+) += declare\((\d+),`).FindAllStringSubmatch(string(declared), -1) {
		written := regexp.MustCompile(`gdlog\.` + m[1] + `\b`).MatchString(code.String())
		require.True(t, written, "event %s (%s) is never written", m[2], m[1])
	}
}

func TestEventsAreJSONLines(t *testing.T) {
	var out bytes.Buffer
	log := gdlog.New(&out, gdlog.Info).With("process", "entry-1")
	log.Event(gdlog.ConfigurationInForce, "version", "12-ab")
	log.Event(gdlog.FlowClosed)
	log.Failure(gdlog.PlatformUnreachable, errors.New("read index: refused"), "failures", 3)
	log.Failure(gdlog.PeerUnreachable, errors.New("dial"))
	type line struct {
		Level, Text, Process, Version, Error string
		Event, Failures                      int
	}
	var got []line
	dec := json.NewDecoder(&out)
	for dec.More() {
		var l line
		require.NoError(t, dec.Decode(&l))
		got = append(got, l)
	}
	require.Equal(t, []line{
		{Level: "info", Text: "configuration in force", Process: "entry-1", Version: "12-ab", Event: 200},
		{Level: "error", Text: "platform unreachable", Process: "entry-1", Error: "read index: refused", Event: 300, Failures: 3},
		{Level: "info", Text: "peer unreachable", Process: "entry-1", Error: "dial", Event: 303},
	}, got)
	gdlog.Logger{}.Event(gdlog.ProcessStarted)
}

func TestRateLimitCountsSuppressedEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	r := gdlog.RateLimit[int]{Interval: gdlog.DropInterval}
	n, due := r.Add(now, 1)
	require.Equal(t, uint64(1), n)
	require.True(t, due)
	for range 4 {
		_, due = r.Add(now.Add(time.Second), 1)
		require.False(t, due)
	}
	n, due = r.Add(now.Add(gdlog.DropInterval), 1)
	require.Equal(t, uint64(5), n)
	require.True(t, due)
	written := 0
	for key := range 100_000 {
		if _, due = r.Add(now, key); due {
			written++
		}
	}
	require.Less(t, written, 256)
}

func TestQueueNeverBlocksOnTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out, in := io.Pipe() // a log without a reader
		q := gdlog.NewQueue(in, 4)
		ctx, cancel := context.WithCancel(t.Context())
		go q.Run(ctx)
		log := gdlog.New(q, gdlog.Info)
		log.Event(gdlog.ProcessStarted)
		synctest.Wait() // Run blocks on this event
		for range 10 {
			log.Event(gdlog.DrainStarted)
		}
		require.Equal(t, uint64(6), q.Dropped())
		cancel()
		go func() {
			synctest.Wait()
			_ = in.Close()
		}()
		lines, err := io.ReadAll(out)
		require.NoError(t, err)
		require.Equal(t, 5, bytes.Count(lines, []byte("\n")), "the queued events are written at the end")
	})
}
