package gdadmit

import "time"

// Mode says which work the core takes.
type Mode uint8

const (
	// ModeServing takes new work.
	ModeServing Mode = iota
	// ModeLeaving takes no new work: it is relayed or refused, also what waits.
	// Running requests and open streams finish.
	ModeLeaving
	// ModeStopping refuses new work while the agent shuts down. What waits or
	// runs finishes.
	ModeStopping
	// ModeOut refuses all work, also what waits, because the failure domain is
	// out.
	ModeOut
)

var modeNames = [...]string{
	ModeServing:  "serving",
	ModeLeaving:  "leaving",
	ModeStopping: "stopping",
	ModeOut:      "out",
}

func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return "unknown"
}

// Mode returns the mode in force.
func (c *Controller[L]) Mode() Mode { return c.mode }

// SetMode changes the mode. An upstream that comes back is taken to be cold.
func (c *Controller[L]) SetMode(now time.Time, m Mode) []Action {
	c.enter(now)
	if m == ModeServing && (c.mode == ModeLeaving || c.mode == ModeOut) {
		c.Limiter.Restart(now)
	}
	c.mode = m
	switch m {
	case ModeLeaving:
		c.giveUpWaiting(now, ReasonLeaving)
	case ModeOut:
		c.giveUpWaiting(now, ReasonDomainOut)
	}
	return c.leave(now)
}

func (c *Controller[L]) giveUpWaiting(now time.Time, reason Reason) {
	for c.waiting.len() > 0 {
		c.giveUp(now, c.waiting.remove(0), reason)
	}
}
