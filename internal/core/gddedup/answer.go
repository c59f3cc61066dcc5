package gddedup

import "time"

func (c *Core) done(s StoredResponse, ids ...uint64) []Action {
	actions := make([]Action, 0, len(ids))
	for _, id := range ids {
		actions = append(actions, RespondDone{Subject{id}, s})
	}
	c.stats.Done += uint64(len(ids))
	return actions
}

func (c *Core) unknown(reason Reason, ids ...uint64) []Action {
	actions := make([]Action, 0, len(ids))
	for _, id := range ids {
		actions = append(actions, RespondUnknown{Subject{id}, reason})
	}
	c.stats.Unknown += uint64(len(ids))
	return actions
}

// refuse answers requests whose keys have not been run and never will be, and
// offers a key for the next attempt of each.
func (c *Core) refuse(now time.Time, reason Reason, after time.Duration, ids ...uint64) []Action {
	actions := make([]Action, 0, len(ids))
	for _, id := range ids {
		actions = append(actions, RespondNotRun{Subject{id}, reason, after, c.Issue(now, c.service)})
	}
	c.stats.NotRun += uint64(len(ids))
	return actions
}

func (c *Core) conflict(ids ...uint64) []Action {
	actions := make([]Action, 0, len(ids))
	for _, id := range ids {
		actions = append(actions, RespondConflict{Subject{id}})
	}
	c.stats.Conflicts += uint64(len(ids))
	return actions
}
