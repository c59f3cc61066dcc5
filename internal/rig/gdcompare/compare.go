// Package gdcompare compares two versions of the product on the same days and seeds of the users'
// bench, and shows where a day was lost.
//
// # Usage
//
//	c := &gdcompare.Comparison{Versions: [2]string{"base", "HEAD"}, Days: days, Play: play}
//	pairs, err := c.Run(ctx)
//	err = gdcompare.WritePairs(os.Stdout, c.Versions, pairs)
//	err = gdcompare.WriteAccount(os.Stdout, pairs[0].Reports[1])
package gdcompare

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"godwitdrift.example/godwitdrift/platform/benchreport"
)

// Day is a day of a deployment, played with a seed.
type Day struct {
	Site, Name string
	Seed       int
}

// Pair is a day as two versions served it.
type Pair struct {
	Day     Day
	Reports [2]*benchreport.Report
}

// Comparison plays days with two versions. Its exported fields must be set before Run.
type Comparison struct {
	// Versions name the versions, the standing one first.
	Versions [2]string
	Days     []Day
	// Play plays a day with a version.
	Play func(ctx context.Context, version string, d Day) (*benchreport.Report, error)
	// Jobs is how many days are played at once.
	Jobs int
}

// Run plays all days and returns the pairs in the order of the days.
func (c *Comparison) Run(ctx context.Context) ([]Pair, error) {
	pairs := make([]Pair, len(c.Days))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(c.Jobs, 1))
	for i, d := range c.Days {
		pairs[i].Day = d
		for n, v := range c.Versions {
			g.Go(func() error {
				r, err := c.Play(ctx, v, d)
				pairs[i].Reports[n] = r
				return errors.Wrapf(err, "play %s of %s with %s", d.Name, d.Site, v)
			})
		}
	}
	return pairs, g.Wait()
}

// Compared is a figure of both versions, as JSON shows it.
type Compared struct {
	Site   string    `json:"site"`
	Day    string    `json:"day"`
	Seed   int       `json:"seed"`
	Figure string    `json:"figure"`
	Values [2]string `json:"values"`
}

// Table returns all figures of the pairs.
func Table(pairs []Pair) []Compared {
	var out []Compared
	for _, p := range pairs {
		after := figures(p.Reports[1])
		for i, f := range figures(p.Reports[0]) {
			out = append(out, Compared{p.Day.Site, p.Day.Name, p.Day.Seed, f.name, [2]string{f.value, after[i].value}})
		}
	}
	return out
}

// figure is one figure of a report.
type figure struct{ name, value string }

// figures returns what is compared, in the same order for all reports of a day.
func figures(r *benchreport.Report) []figure {
	var out []figure
	add := func(name, format string, v ...any) {
		out = append(out, figure{name: name, value: fmt.Sprintf(format, v...)})
	}
	add("worth less prices", "%.3f", r.Worth())
	add("worth", "%.3f", r.All().Worth())
	for _, k := range r.Kinds() {
		add(k.Name()+" in time", "%.3f (%d)", share(k.InTime(), k.Asked()), k.InTime())
		add(k.Name()+" late", "%d", k.Late())
		add(k.Name()+" lost", "%d", k.Lost())
	}
	add("other domains late or lost", "%.1f %%", 100*othersUnserved(r))
	add("rejected by upstreams", "%d", r.Rejected())
	add("rules broken", "%d", r.BrokenRules())
	return out
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// othersUnserved returns the share of late and lost requests of all failure domains but the one
// that asked most.
func othersUnserved(r *benchreport.Report) float64 {
	if len(r.Domains()) == 0 {
		return 0
	}
	most := slices.MaxFunc(r.Domains(), func(a, b benchreport.Outcome) int { return a.Asked() - b.Asked() })
	unserved, asked := 0, 0
	for _, d := range r.Domains() {
		if d.Name() != most.Name() {
			unserved, asked = unserved+d.Late()+d.Lost(), asked+d.Asked()
		}
	}
	return share(unserved, asked)
}

// WritePairs writes a table for each day, with both versions side by side.
func WritePairs(w io.Writer, versions [2]string, pairs []Pair) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var day Day
	for _, c := range Table(pairs) {
		if d := (Day{c.Site, c.Day, c.Seed}); d != day {
			day = d
			fmt.Fprintf(t, "%s, %s, seed %d\t%s\t%s\n", d.Site, d.Name, d.Seed, versions[0], versions[1])
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\n", c.Figure, c.Values[0], c.Values[1])
	}
	return errors.Wrap(t.Flush(), "write the comparison")
}

// WriteAccount writes who was not served in time, by window, kind and failure domain, and how the
// callers' tries ended.
func WriteAccount(w io.Writer, r *benchreport.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	group := func(title string, outcomes []benchreport.Outcome, all bool) {
		fmt.Fprintf(t, "%s\tasked\tin time\tlate\tlost\tp50 ms\tp99 ms\n", title)
		for _, o := range outcomes {
			if p50, p99 := o.Latency(); all || o.Late()+o.Lost() > 0 {
				fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\n", o.Name(), o.Asked(), o.InTime(), o.Late(), o.Lost(), p50, p99)
			}
		}
	}
	group("window from s", r.Windows(), false)
	group("kind", r.Kinds(), true)
	group("callers in", r.Domains(), true)
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write the account")
	}
	ends := make([]string, 0, len(r.Ends()))
	for end, n := range r.Ends() {
		ends = append(ends, fmt.Sprintf("%s: %d", end, n))
	}
	slices.Sort(ends)
	_, err := fmt.Fprintf(w, "%d tries; %s\n", r.Tries(), strings.Join(ends, "; "))
	return errors.Wrap(err, "write the account")
}
