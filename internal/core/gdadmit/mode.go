package gdadmit

import "time"

// Mode says which work the controller accepts.
type Mode uint8

const (
	// ModeServing accepts new work.
	ModeServing Mode = iota
	// ModeLeaving relays or refuses new and waiting requests. Running requests and
	// open streams finish.
	ModeLeaving
	// ModeStopping refuses new requests while the agent shuts down. Waiting and
	// running requests finish.
	ModeStopping
	// ModeOut refuses new and waiting requests because the failure domain is out of
	// service.
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

// Mode returns the current mode.
func (c *Controller[L]) Mode() Mode { return c.mode }

// SetMode changes the mode. An upstream that returns to service is treated as cold.
func (c *Controller[L]) SetMode(now time.Time, m Mode) []Action {
	c.beginEvent(now)
	if m == ModeServing && (c.mode == ModeLeaving || c.mode == ModeOut) {
		c.Limiter.Restart(now)
	}
	c.mode = m
	switch m {
	case ModeLeaving:
		c.relayOrRefuseWaiting(now, ReasonLeaving)
	case ModeOut:
		c.relayOrRefuseWaiting(now, ReasonDomainOut)
	}
	return c.endEvent(now)
}

func (c *Controller[L]) relayOrRefuseWaiting(now time.Time, reason Reason) {
	for c.waiting.len() > 0 {
		c.relayOrRefuse(now, c.waiting.remove(0), reason)
	}
}
