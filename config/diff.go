package config

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Action is the kind of a [Change].
type Action string

// The actions of a [Change].
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between two deployments.
type Change struct {
	action Action
	place  string
	before string
	after  string
}

// Action returns whether the item was added, removed or changed.
func (c Change) Action() Action { return c.action }

// Place returns the path of the item or field, such as
// "services.booking.upstreams.booking-1.state".
func (c Change) Place() string { return c.place }

// Before returns the old value, or "" for something added.
func (c Change) Before() string { return c.before }

// After returns the new value, or "" for something removed.
func (c Change) After() string { return c.after }

func (c Change) String() string {
	switch c.action {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.place, c.after)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.place, c.before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.place, c.before, c.after)
	}
}

// MarshalJSON encodes the change with the keys action, place, before and after.
func (c Change) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Action Action `json:"action"`
		Place  string `json:"place"`
		Before string `json:"before,omitempty"`
		After  string `json:"after,omitempty"`
	}{c.action, c.place, c.before, c.after})
}

// Diff returns the changes from a to b, sorted by place. Both deployments must have
// passed [Deployment.Check]. A value that equals the default of an unset field is not
// a change.
func Diff(a, b Deployment) []Change {
	before, after := itemsOf(a), itemsOf(b)
	var out []Change
	for place, old := range before {
		now, ok := after[place]
		if !ok {
			out = append(out, Change{action: Removed, place: place, before: old.String()})
			continue
		}
		out = append(out, old.diff(place, now)...)
	}
	for place, now := range after {
		if _, ok := before[place]; !ok {
			out = append(out, Change{action: Added, place: place, after: now.String()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].place < out[j].place })
	return out
}

// field is the name of a field and its value as text.
type field struct {
	name  string
	value string
}

// item holds the fields of one failure domain, service, route or upstream. Items of
// one kind have the same fields in the same order.
type item []field

func (t item) String() string {
	parts := make([]string, len(t))
	for i, f := range t {
		parts[i] = f.name + " " + f.value
	}
	return strings.Join(parts, ", ")
}

func (t item) diff(place string, now item) []Change {
	var out []Change
	for i, f := range t {
		if f.value != now[i].value {
			out = append(out, Change{
				action: Changed,
				place:  strings.TrimPrefix(place+"."+f.name, "."),
				before: f.value,
				after:  now[i].value,
			})
		}
	}
	return out
}

func itemsOf(d Deployment) map[string]item {
	items := map[string]item{"": {
		{"name", d.Name},
		{"revision", strconv.FormatUint(d.Revision, 10)},
		{"token-keys", tokenKeyNames(d.TokenKeys)},
	}}
	for _, f := range d.Domains {
		items["domains."+f.Name] = item{{"state", f.State.orDefault()}}
	}
	for _, s := range d.Services {
		place := "services." + s.Name
		items[place] = s.item()
		for _, r := range s.Routes {
			items[place+".routes."+r.PathPrefix] = r.item()
		}
		for _, u := range s.Upstreams {
			items[place+".upstreams."+u.Name] = u.item()
		}
	}
	return items
}

// tokenKeyNames keeps the order, because new tokens are sealed with the first key.
func tokenKeyNames(keys []TokenKey) string {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = fmt.Sprintf("%s (phase %d)", k.Name, k.Phase)
	}
	return strings.Join(names, ", ")
}

func (s State) orDefault() string {
	if s == "" {
		s = StateIn
	}
	return string(s)
}

func intOrDefault(n, fallback int) string {
	if n == 0 {
		n = fallback
	}
	return strconv.Itoa(n)
}

func (s Service) item() item {
	return item{
		{"id", strconv.Itoa(int(s.ID))},
		{"address", s.Address},
		{"priority", strconv.Itoa(s.Priority)},
		{"drain-seconds", intOrDefault(s.DrainSeconds, DefaultDrainSeconds)},
		{"ramp-seconds", intOrDefault(s.RampSeconds, DefaultRampSeconds)},
	}
}

func (r Route) item() item {
	return item{
		{"priority", strconv.Itoa(r.Priority)},
		{"at-most-once", strconv.FormatBool(r.AtMostOnce)},
		{"stream", strconv.FormatBool(r.Stream)},
	}
}

func (u Upstream) item() item {
	weight := u.Weight
	if weight == 0 {
		weight = 1
	}
	return item{
		{"id", strconv.FormatUint(uint64(u.ID), 10)},
		{"domain", u.Domain},
		{"state", u.State.orDefault()},
		{"agent", u.Agent},
		{"slots", strconv.Itoa(u.Slots)},
		{"weight", strconv.FormatFloat(weight, 'g', -1, 64)},
	}
}
