package gddedup

import "time"

func (c *Core) respondDone(s StoredResponse, ids ...uint64) []Action {
	actions := make([]Action, 0, len(ids))
	for _, id := range ids {
		actions = append(actions, RespondDone{Subject{id}, s})
	}
	c.stats.Done += uint64(len(ids))
	return actions
}

func (c *Core) respondUnknown(reason Reason, ids ...uint64) []Action {
	actions := make([]Action, 0, len(ids))
	for _, id := range ids {
		actions = append(actions, RespondUnknown{Subject{id}, reason})
	}
	c.stats.Unknown += uint64(len(ids))
	return actions
}

// respondNotRun refuses requests whose keys have not run and never will, and
// issues a key for the next attempt of each.
func (c *Core) respondNotRun(now time.Time, reason Reason, after time.Duration, ids ...uint64) []Action {
	actions := make([]Action, 0, len(ids))
	for _, id := range ids {
		actions = append(actions, RespondNotRun{Subject{id}, reason, after, c.Issue(now, c.service)})
	}
	c.stats.NotRun += uint64(len(ids))
	return actions
}

func (c *Core) respondConflict(ids ...uint64) []Action {
	actions := make([]Action, 0, len(ids))
	for _, id := range ids {
		actions = append(actions, RespondConflict{Subject{id}})
	}
	c.stats.Conflicts += uint64(len(ids))
	return actions
}
