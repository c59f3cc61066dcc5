package gdonce

import "time"

func (c *Core) done(s Stored, ids ...uint64) []Action {
	actions := make([]Action, 0, len(ids))
	for _, id := range ids {
		actions = append(actions, AnswerDone{Subject{id}, s})
	}
	c.stats.Done += uint64(len(ids))
	return actions
}

func (c *Core) unknown(reason Reason, ids ...uint64) []Action {
	actions := make([]Action, 0, len(ids))
	for _, id := range ids {
		actions = append(actions, AnswerUnknown{Subject{id}, reason})
	}
	c.stats.Unknown += uint64(len(ids))
	return actions
}

func (c *Core) notRun(a AnswerNotRun) []Action {
	c.stats.NotRun++
	return []Action{a}
}

func (c *Core) notRunAll(ids []uint64, after time.Duration) []Action {
	var actions []Action
	for _, id := range ids {
		actions = append(actions, c.notRun(AnswerNotRun{Subject{id}, ReasonRefused, after, Key{}})...)
	}
	return actions
}

// refuse answers a request whose key no agent runs, and offers one that this
// agent would.
func (c *Core) refuse(now time.Time, r Request, reason Reason) []Action {
	return c.notRun(AnswerNotRun{Subject{r.ID}, reason, 0, c.Issue(now, r.Service)})
}

func (c *Core) conflict(ids ...uint64) []Action {
	actions := make([]Action, 0, len(ids))
	for _, id := range ids {
		actions = append(actions, AnswerConflict{Subject{id}})
	}
	c.stats.Conflicts += uint64(len(ids))
	return actions
}
