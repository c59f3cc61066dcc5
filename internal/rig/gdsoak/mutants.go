package gdsoak

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
)

// Mutant is a variant of the product in which a mechanism that a promise depends on is
// disabled.
type Mutant struct {
	// Promise is the name of the promise that the variant breaks, and Variant tells apart
	// variants that break the same one.
	Promise, Variant string
	// Faults names the faults that reveal the breach.
	Faults []string
	edits  []edit
}

// edit replaces a text that occurs exactly once in a source file.
type edit struct{ file, old, new string }

// Mutants returns at least one mutant for each promise that a defect of the product alone can
// break. The other promises follow from the packets' signatures; the tests of [Checker]
// show that it detects their breaches too.
func Mutants() []Mutant {
	const (
		view   = "internal/core/gddiscovery/view.go"
		state  = "internal/core/gddiscovery/state.go"
		lookup = "internal/core/gddispatch/lookup.go"
		proof  = "internal/core/gddispatch/proof.go"
		holder = "internal/core/gddispatch/holders.go"
	)
	return []Mutant{
		{drained, "", []string{"scale-in"}, []edit{{view, "m.domainOut || m.upstream.Draining", "m.domainOut"}}},
		{domainOut, "", []string{"domain-out"}, []edit{{view, "m.domainOut || m.upstream.Draining", "m.upstream.Draining"}}},
		{coldStart, "", []string{"scale-out", "replace"}, []edit{
			{"internal/core/gdguard/admission.go", "case g.isCold(now) && !g.cold", "case false && !g.cold"},
		}},
		{coldStart, "view-age", []string{"restore-over-restart"}, []edit{
			{"internal/core/gdguard/cold.go", "return g.freshness.stale && !g.freshness.fresh && !g.ObservedFromStart", "return false"},
		}},
		{rightService, "", []string{"config"}, []edit{
			{"platform/values.go", "out.Shares = r.shares()", "out.Shares = []gddiscovery.Share{{Service: \"gallery\", Weight: 1}}"},
		}},
		{flowStays, "", []string{"replace", "terminate-entry"}, []edit{
			{lookup, "len(f.lookup.attempts) < limit; {", "len(f.lookup.attempts) < min(limit, 1); {"},
			{proof, "return d.broadcasts.take(now, broadcastsPerSecond, broadcastBurst, 1)", "return false"},
			{proof, "len(l.attempts) == 0 || !d.triedAll(now, r, l)", "len(l.attempts) == 0"},
			{proof, "return d.verifiedSince(now, l.started) && !d.viewBehind(l)", "return !d.viewBehind(l)"},
		}},
		{flowStays, "split", []string{"split", "terminate-entry"}, []edit{
			{holder, "if !yield(r) {", "if !yield(r) || true {"},
			{holder, "known := d.view.KnowsFormerRoutes(now)", "known := true"},
		}},
		{configInTime, "", []string{"config"}, []edit{
			{state, "c.Kind == Configuration && (c.Removed || c.Config == nil)", "c.Kind == Configuration && known"},
		}},
		{configNeverBack, "", []string{"config"}, []edit{
			{
				view, "v.routes, v.services = s.routing(v.config)",
				"v.routes, v.services = s.routing(v.config)\n" +
					"if mutantVersion != v.config.Version {\n" +
					"mutantVersion, mutantRoutes = v.config.Version, append(mutantRoutes, v.routes)\n}",
			},
			{
				view, "r, ok := v.routes[a]",
				"if n := len(mutantRoutes); n > 2 && time.Now().UnixMilli()/700%2 == 0 {\n" +
					"r, ok := mutantRoutes[n-3][a]\nreturn r, ok\n}\nr, ok := v.routes[a]",
			},
			{view, "func newPool(", "var (\nmutantRoutes []map[gdflow.Address]*Route\nmutantVersion uint64\n)\n\nfunc newPool("},
		}},
		{unaltered, "", []string{"config"}, []edit{
			{"internal/process/gdentry/packets.go", "\t\te.Codec.ClearReserved(b)\n", "\t\te.Codec.ClearReserved(b)\n\t\tb[0]++\n"},
		}},
		{recovers, "", []string{"config"}, []edit{
			{"internal/process/gdentry/entry.go", "return e.ready.Load() && !e.leaving.Load() && !e.cutOff.Load()", "return false"},
		}},
		{configNeverBack, "copy-wins", []string{"restore-after-storm"}, []edit{
			{state, "return v > r.change.version()", "return c.Revision > r.change.Revision"},
		}},
		{configInTime, "no-era", []string{"restore-after-storm"}, []edit{
			{"platform/store.go", "n, err := strconv.ParseUint(text, 10, 64)", "n, err := strconv.ParseUint(\"0\", 10, 64)"},
		}},
		{keepsRunning, "", []string{"garbage"}, []edit{
			{state, "	old, known := s.records[c.Subject]", "	old, known := s.records[c.Subject]\nif c.Kind == Registration && c.Removed && !known {\npanic(\"mutant\")\n}"},
		}},
	}
}

// Name returns the name of the mutant.
func (m Mutant) Name() string {
	if m.Variant == "" {
		return m.Promise
	}
	return m.Promise + "/" + m.Variant
}

// writeOverlay writes the mutant's files to dir and returns the overlay file with which
// the go command compiles them instead of those below root.
func (m Mutant) writeOverlay(root, dir string) (string, error) {
	texts := make(map[string]string)
	for _, e := range m.edits {
		path := filepath.Join(root, e.file)
		text, ok := texts[path]
		if !ok {
			data, err := os.ReadFile(path)
			if err != nil {
				return "", errors.WithStack(err)
			}
			text = string(data)
		}
		if n := strings.Count(text, e.old); n != 1 {
			return "", errors.Errorf("mutant of %s: %s contains %q %d times instead of once", m.Name(), e.file, e.old, n)
		}
		texts[path] = strings.Replace(text, e.old, e.new, 1)
	}
	replace := make(map[string]string)
	for path, text := range texts {
		replace[path] = filepath.Join(dir, filepath.Base(path))
		if err := os.WriteFile(replace[path], []byte(text), fileMode); err != nil {
			return "", errors.WithStack(err)
		}
	}
	data, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", errors.WithStack(err)
	}
	file := filepath.Join(dir, "overlay.json")
	return file, errors.WithStack(os.WriteFile(file, data, fileMode))
}

// mutantFaultPeriod is the period in which faults are injected into a mutant.
const mutantFaultPeriod = 6 * time.Second

// Run builds the mutant from the sources below root and runs a soak of seed 1 with it, in
// a directory below dir. It returns how many breaches of the promise the checks detected.
func (m Mutant) Run(ctx context.Context, root, dir string, shape gdhostrig.Shape) (int, error) {
	dir = filepath.Join(dir, "mutant-"+m.Promise+"-"+m.Variant)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return 0, errors.WithStack(err)
	}
	file, err := m.writeOverlay(root, dir)
	if err != nil {
		return 0, err
	}
	binary := filepath.Join(dir, "gdhost")
	build := exec.CommandContext(ctx, "go", "build", "-overlay", file, "-o", binary, "./cmd/gdhost")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return 0, errors.Wrapf(err, "build mutant of %s: %s", m.Name(), out)
	}
	s := &Soak{Binary: binary, Dir: filepath.Join(dir, "run"), Seed: 1, Shape: shape, FaultPeriod: mutantFaultPeriod, OnlyFaults: m.Faults}
	r, err := s.Run(ctx)
	n := 0
	for _, b := range r.Breaches {
		if b.Promise == m.Promise {
			n++
		}
	}
	return n, err
}
