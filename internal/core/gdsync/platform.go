package gdsync

import (
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
)

const (
	// valueBatchSize is the number of service values that one ReadPlatform
	// requests. Between two batches the core checks whether the values are still
	// needed.
	valueBatchSize = 16
	// minValueReadInterval is the minimum interval between two calls of one
	// reader.
	minValueReadInterval = 12 * time.Millisecond
	// fetchStallTimeout is how long a fetch may go without receiving a value
	// before it is restarted.
	fetchStallTimeout = 30 * time.Second
	// maxRejectedIndexes is the number of rejected indexes that are recorded, so
	// that their values are not read again.
	maxRejectedIndexes = 16
)

// ReadResult is the result of a ReadPlatform.
type ReadResult struct {
	// Values are the values that were read, in the order of the keys. A value that
	// does not exist on the platform has no data.
	Values []PlatformValue
	// Err is the error that ended the read early.
	Err error
}

// PlatformValue is one value that was read.
type PlatformValue struct {
	Key  string
	Data []byte
	// Unchanged reports that the value is the same as at the last read by this
	// process. In that case Data is empty.
	Unchanged bool
}

// valueFetch is an index that was read and the values collected for it so far.
type valueFetch struct {
	index        config.Index
	fingerprint  uint64
	lastProgress time.Time
	entries      map[string]*entry
	missing      []string
	rejected     []uint64
}

func readIndex() Action {
	return ReadPlatform{Keys: []string{config.IndexKey}, MinInterval: minValueReadInterval}
}

// PlatformRead handles the result of a ReadPlatform: an index, or values of
// services that the index lists.
func (c *Core) PlatformRead(now time.Time, r ReadResult) []Action {
	if r.Err != nil {
		c.fetch.missing = nil
		c.platformFailed(now, r.Err)
		return nil
	}
	c.status.PlatformContact = now
	c.status.PlatformError = ""
	if len(r.Values) == 1 && r.Values[0].Key == config.IndexKey {
		return c.indexRead(now, r.Values[0])
	}
	return c.valuesRead(now, r.Values)
}

// indexRead handles an index. An unchanged index is retried until all of its
// values have been read.
func (c *Core) indexRead(now time.Time, v PlatformValue) []Action {
	idx := c.fetch.index
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
	if c.indexHandled(fp) || c.fetchInProgress(now, fp) {
		return nil
	}
	c.fetch.index = idx
	c.fetch.fingerprint = fp
	c.fetch.lastProgress = now
	c.reuseKnownValues()
	if len(c.fetch.missing) > maxValuesWithoutLease {
		return c.acquireLease(now)
	}
	return c.readNextBatch(now)
}

func parseIndex(data []byte) (config.Index, error) {
	idx, err := config.ParseIndex(data)
	if err == nil && idx.Revision == 0 {
		err = errors.New("no value, or a value without a revision")
	}
	return idx, errors.Wrap(err, "read index from platform")
}

// fetchInProgress reports whether the values of the index are already being
// read.
func (c *Core) fetchInProgress(now time.Time, fp uint64) bool {
	r := &c.fetch
	return len(r.missing) > 0 && r.fingerprint == fp && now.Sub(r.lastProgress) < fetchStallTimeout
}

// indexHandled reports whether the index is active here or was rejected before.
func (c *Core) indexHandled(fp uint64) bool {
	if c.state != nil && c.state.fingerprint == fp {
		return true
	}
	for _, r := range c.fetch.rejected {
		if r == fp {
			return true
		}
	}
	return false
}

// reuseKnownValues collects the values that are already known and lists the
// missing ones.
func (c *Core) reuseKnownValues() {
	known := c.state.entriesByName()
	r := &c.fetch
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

func (c *Core) readNextBatch(now time.Time) []Action {
	r := &c.fetch
	if len(r.missing) == 0 {
		return c.completeFetch(now)
	}
	if r.index.Revision < c.state.Version().Revision() {
		r.missing = nil // a peer's update arrived first
		return nil
	}
	var keys []string
	for _, name := range r.missing[:min(valueBatchSize, len(r.missing))] {
		keys = append(keys, config.ServiceKey(name))
	}
	return []Action{ReadPlatform{Keys: keys, MinInterval: minValueReadInterval}}
}

// valuesRead handles a batch of service values. A value without the digest that
// the index states ends the attempt: the platform is between two versions, or
// lags behind.
func (c *Core) valuesRead(now time.Time, values []PlatformValue) []Action {
	r := &c.fetch
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
			c.status.PlatformError = "value " + v.Key + ": digest does not match the index"
			return nil
		}
		e, err := newEntry(name, v.Data)
		if err != nil {
			return c.rejectIndex(now, err)
		}
		r.entries[name] = e
	}
	r.missing = r.missing[len(values):]
	r.lastProgress = now
	return c.readNextBatch(now)
}

// completeFetch validates a configuration once all of its values are known.
func (c *Core) completeFetch(now time.Time) []Action {
	r := &c.fetch
	var entries []*entry
	for _, row := range r.index.Services {
		entries = append(entries, r.entries[row.Name])
	}
	next, err := newState(r.index, entries)
	if err != nil {
		return c.rejectIndex(now, err)
	}
	if next.Version().Compare(c.state.Version()) <= 0 {
		c.markIndexHandled()
		return nil
	}
	r.entries = nil
	return c.activate(now, "", next)
}

func (c *Core) rejectIndex(now time.Time, err error) []Action {
	c.markIndexHandled()
	return c.reject(now, c.fetch.index.Revision, err)
}

// markIndexHandled prevents the index from being read again.
func (c *Core) markIndexHandled() {
	r := &c.fetch
	r.missing = nil
	r.rejected = append(r.rejected, r.fingerprint)
	if len(r.rejected) > maxRejectedIndexes {
		r.rejected = r.rejected[1:]
	}
}
