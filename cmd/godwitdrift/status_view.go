package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"godwitdrift.example/godwitdrift/internal/operate/gdoperator"
)

// maxReasonBytes bounds the reason of a rejection in the table.
const maxReasonBytes = 200

// fleetView is the output of `status`.
type fleetView struct {
	Intended  *intended     `json:"intended,omitempty"`
	Accepted  *accepted     `json:"accepted,omitempty"`
	Processes []processView `json:"processes"`
	// NotAccepted reports that the platform publishes a revision other than the
	// intended one.
	NotAccepted bool `json:"not-accepted"`
	// OtherContent reports that a configuration with the intended revision but
	// different content is active.
	OtherContent bool `json:"other-content"`
}

type intended struct {
	Version  string `json:"version"`
	Revision uint64 `json:"revision"`
}

type accepted struct {
	Revision uint64 `json:"revision,omitempty"`
	Error    string `json:"error,omitempty"`
}

func (a accepted) version() string {
	if a.Error != "" {
		return "-"
	}
	return fmt.Sprintf("revision %d", a.Revision)
}

// processView is the status of a process with the findings about it.
type processView struct {
	gdoperator.Status
	Address string `json:"address"`
	Behind  bool   `json:"behind"`
	Leaving bool   `json:"leaving"`
	Error   string `json:"error,omitempty"`
}

// setProcesses sets the processes and finds out which of them are behind.
func (v *fleetView) setProcesses(replies []reply[gdoperator.Status]) {
	newest := parsedVersion{}
	if v.Accepted != nil {
		newest.revision = v.Accepted.Revision
		v.NotAccepted = v.Intended != nil && v.Accepted.Error == "" && v.Intended.Revision != v.Accepted.Revision
	}
	for _, r := range replies {
		newest = newest.max(parseVersion(r.value.Version)).max(parseVersion(r.value.Seen))
	}
	if v.Intended != nil && newest.version != "" && newest.revision == v.Intended.Revision {
		v.OtherContent = newest.version != v.Intended.Version
	}
	v.Processes = lo.Map(replies, func(r reply[gdoperator.Status], _ int) processView {
		p := processView{Status: r.value, Address: r.target.address, Leaving: r.target.leaving}
		if r.err != nil {
			p.Name = r.target.name
			p.Error = r.err.Error()
			return p
		}
		p.Behind = parseVersion(p.Version).compare(newest) < 0
		return p
	})
}

// parsedVersion is a version that can be compared. A version has the form
// REVISION-DIGEST; the digest has a fixed width.
type parsedVersion struct {
	revision uint64
	version  string
}

func parseVersion(version string) parsedVersion {
	digits, _, _ := strings.Cut(version, "-")
	revision, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return parsedVersion{}
	}
	return parsedVersion{revision: revision, version: version}
}

func (m parsedVersion) compare(n parsedVersion) int {
	return cmp.Or(cmp.Compare(m.revision, n.revision), cmp.Compare(m.version, n.version))
}

func (m parsedVersion) max(n parsedVersion) parsedVersion {
	if m.compare(n) < 0 {
		return n
	}
	return m
}

// hasFinding reports whether there is a finding about a process that responded. A
// leaving process need not be ready.
func (p processView) hasFinding() bool {
	return p.Error == "" && (p.Behind || p.Rejected != nil || !p.Ready && !p.Leaving)
}

func (v fleetView) numFindings() int {
	n := lo.CountBy(v.Processes, processView.hasFinding)
	if v.NotAccepted || v.OtherContent {
		n++
	}
	return n
}

// numUnreachable counts the processes that could not be reached, without leaving ones,
// and the platform if it could not be reached.
func (v fleetView) numUnreachable() int {
	n := lo.CountBy(v.Processes, func(p processView) bool { return p.Error != "" && !p.Leaving })
	if v.Accepted != nil && v.Accepted.Error != "" {
		n++
	}
	return n
}

// text returns a function that writes the view as text, with ages relative to now. If
// short is set, it omits processes without a remark.
func (v fleetView) text(now time.Time, short bool) func(io.Writer) error {
	return func(w io.Writer) error {
		rows := [][]string{{"WHAT", "ROLE", "DOMAIN", "VERSION", "SINCE", "REMARKS"}}
		if v.Intended != nil {
			rows = append(rows, []string{"intended", "-", "-", v.Intended.Version, "-", v.intendedRemark()})
		}
		if v.Accepted != nil {
			rows = append(rows, []string{"accepted", "-", "-", v.Accepted.version(), "-", v.Accepted.Error})
		}
		for _, p := range v.Processes {
			if !short || p.remarks() != "" {
				rows = append(rows, p.row(now))
			}
		}
		if err := writeTable(w, rows); err != nil {
			return err
		}
		return v.writeCounts(w)
	}
}

// writeCounts writes the number of processes in which each version is active.
func (v fleetView) writeCounts(w io.Writer) error {
	counts := make(map[string]int)
	for _, p := range v.Processes {
		if p.Error == "" {
			counts[cmp.Or(p.Version, "no version")]++
		}
	}
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		_, err := fmt.Fprintf(w, "%s is in force in %d of %d processes\n", version, counts[version], len(v.Processes))
		if err != nil {
			return err
		}
	}
	return nil
}

func (v fleetView) intendedRemark() string {
	switch {
	case v.OtherContent:
		return "its revision is in force with other content"
	case v.NotAccepted:
		return "not accepted yet"
	default:
		return ""
	}
}

func (p processView) row(now time.Time) []string {
	if p.Error != "" {
		return []string{p.Name, "-", "-", "-", "-", p.remarks()}
	}
	version, since := cmp.Or(p.Version, "none"), "-"
	if p.Version != "" {
		age := now.Sub(p.Since).Truncate(time.Second)
		since = fmt.Sprintf("%s (%s ago)", p.Since.UTC().Format(time.RFC3339), age)
	}
	return []string{p.Name, p.Role, p.Domain, version, since, p.remarks()}
}

func (p processView) remarks() string {
	var out []string
	if p.Leaving {
		out = append(out, "leaving")
	}
	if p.Error != "" {
		return strings.Join(append(out, "unreachable: "+p.Error), ", ")
	}
	if p.Behind {
		out = append(out, "behind")
	}
	if !p.Ready {
		out = append(out, "not ready")
	}
	if p.Rejected != nil {
		reason := strings.ReplaceAll(p.Rejected.Reason, "\n", "; ")
		if len(reason) > maxReasonBytes {
			reason = strings.ToValidUTF8(reason[:maxReasonBytes], "") + " ..."
		}
		rejected := "rejected a configuration without a revision"
		if p.Rejected.Revision != 0 {
			rejected = fmt.Sprintf("rejected revision %d", p.Rejected.Revision)
		}
		out = append(out, rejected+": "+reason)
	}
	return strings.Join(out, ", ")
}
