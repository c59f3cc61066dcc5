package gdsync

import (
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
)

const (
	// valueBatch is the number of services' values that are asked for at once.
	// Between two batches the core looks whether it still wants them.
	valueBatch = 16
	// valuePace is the least time between two calls of one reader.
	valuePace = 12 * time.Millisecond
	// readWithin is the time after which a reading of an index's values that
	// brings no further value is begun again.
	readWithin = 30 * time.Second
	// keptRefused is the number of refused indexes that are remembered, so that
	// their values are not read again.
	keptRefused = 16
)

// ReadResult is what came of a ReadPlatform.
type ReadResult struct {
	// Values are the values that were read, in the order of the keys. A value
	// that is absent on the platform has no data.
	Values []PlatformValue
	// Err is what ended the reading early.
	Err error
}

// PlatformValue is one value that was read.
type PlatformValue struct {
	Key  string
	Data []byte
	// Unchanged says that the value is the same as when this process read it
	// last; it has no data then.
	Unchanged bool
}

// reading is an index that was read and whose values are being gathered.
type reading struct {
	index   config.Index
	print   uint64
	began   time.Time
	entries map[string]*entry
	missing []string
	refused []uint64
}

func readIndex() Action {
	return ReadPlatform{Keys: []string{config.IndexKey}, MinInterval: valuePace}
}

// PlatformRead takes in what came of a ReadPlatform: an index, or values of
// services that an index named.
func (c *Core) PlatformRead(now time.Time, r ReadResult) []Action {
	if r.Err != nil {
		c.reading.missing = nil
		c.failed(now, r.Err)
		return nil
	}
	c.status.PlatformContact = now
	c.status.PlatformError = ""
	if len(r.Values) == 1 && r.Values[0].Key == config.IndexKey {
		return c.indexRead(now, r.Values[0])
	}
	return c.valuesRead(now, r.Values)
}

// indexRead takes in an index. An unchanged one is tried again as long as its
// values have not been seen whole.
func (c *Core) indexRead(now time.Time, v PlatformValue) []Action {
	idx := c.reading.index
	if !v.Unchanged {
		var err error
		if idx, err = parseIndex(v.Data); err != nil {
			c.status.PlatformError = err.Error()
			return nil
		}
	}
	fp := fingerprint(idx)
	if idx.Revision == 0 || idx.Revision < c.state.Version().Revision() {
		return nil
	}
	if c.settled(fp) || c.underWay(now, fp) {
		return nil
	}
	c.reading.index = idx
	c.reading.print = fp
	c.reading.began = now
	c.gather()
	if len(c.reading.missing) > leaseAbove {
		return c.lease(now)
	}
	return c.nextBatch(now)
}

func parseIndex(data []byte) (config.Index, error) {
	idx, err := config.ParseIndex(data)
	if err == nil && idx.Revision == 0 {
		err = errors.New("absent or without a revision")
	}
	return idx, errors.Wrap(err, "index on the platform")
}

// underWay reports whether the index's values are being read already.
func (c *Core) underWay(now time.Time, fp uint64) bool {
	r := &c.reading
	return len(r.missing) > 0 && r.print == fp && now.Sub(r.began) < readWithin
}

// settled reports whether the index is in force here or was refused before.
func (c *Core) settled(fp uint64) bool {
	if c.state != nil && c.state.fingerprint == fp {
		return true
	}
	for _, r := range c.reading.refused {
		if r == fp {
			return true
		}
	}
	return false
}

// gather takes the values that are known already and lists the missing ones.
func (c *Core) gather() {
	known := c.state.byName()
	r := &c.reading
	before := r.entries
	r.entries = map[string]*entry{}
	r.missing = nil
	for _, row := range r.index.Services {
		if e, ok := known[row.Name]; ok && e.digest == row.Digest {
			r.entries[row.Name] = e
			continue
		}
		if e, ok := before[row.Name]; ok && e.digest == row.Digest {
			r.entries[row.Name] = e
			continue
		}
		r.missing = append(r.missing, row.Name)
	}
}

func (c *Core) nextBatch(now time.Time) []Action {
	r := &c.reading
	if len(r.missing) == 0 {
		return c.complete(now)
	}
	if r.index.Revision < c.state.Version().Revision() {
		r.missing = nil // a peer was faster
		return nil
	}
	var keys []string
	for _, name := range r.missing[:min(valueBatch, len(r.missing))] {
		keys = append(keys, config.ServiceKey(name))
	}
	return []Action{ReadPlatform{Keys: keys, MinInterval: valuePace}}
}

// valuesRead takes in a batch of services' values. A value that does not have
// the digest of the index ends the attempt: the platform is between two
// versions, or lags.
func (c *Core) valuesRead(now time.Time, values []PlatformValue) []Action {
	r := &c.reading
	if len(values) > len(r.missing) {
		return nil
	}
	digests := make(map[string]string, len(r.index.Services))
	for _, row := range r.index.Services {
		digests[row.Name] = row.Digest
	}
	for i, v := range values {
		name := r.missing[i]
		if v.Key != config.ServiceKey(name) {
			return nil
		}
		if config.Digest(v.Data) != digests[name] {
			r.missing = nil
			c.status.PlatformError = "value " + v.Key + " does not have the digest that the index gives"
			return nil
		}
		e, err := newEntry(name, v.Data)
		if err != nil {
			return c.refuse(now, err)
		}
		r.entries[name] = e
	}
	r.missing = r.missing[len(values):]
	r.began = now
	return c.nextBatch(now)
}

// complete checks a configuration of which every value is known.
func (c *Core) complete(now time.Time) []Action {
	r := &c.reading
	var entries []*entry
	for _, row := range r.index.Services {
		entries = append(entries, r.entries[row.Name])
	}
	next, err := newState(r.index, entries)
	if err != nil {
		return c.refuse(now, err)
	}
	if next.Version().Compare(c.state.Version()) <= 0 {
		c.remember()
		return nil
	}
	r.entries = nil
	return c.enter(now, "", next)
}

func (c *Core) refuse(now time.Time, err error) []Action {
	c.remember()
	return c.reject(now, c.reading.index.Revision, err)
}

// remember keeps the index from being looked at again.
func (c *Core) remember() {
	r := &c.reading
	r.missing = nil
	r.refused = append(r.refused, r.print)
	if len(r.refused) > keptRefused {
		r.refused = r.refused[1:]
	}
}
