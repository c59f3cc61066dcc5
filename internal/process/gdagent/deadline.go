package gdagent

import (
	"sync"
	"time"
)

// deadline is a deadline for reads that may be moved while a read waits. Its zero value
// never expires.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

// wait returns a channel that is closed while the deadline has passed.
func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.channel()
}

func (d *deadline) channel() chan struct{} {
	if d.expired == nil {
		d.expired = make(chan struct{})
	}
	return d.expired
}

// set moves the deadline. The zero time means none.
func (d *deadline) set(now, t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.channel() // the timer's function closes the channel
	}
	d.timer = nil
	select {
	case <-d.channel():
		d.expired = make(chan struct{})
	default:
	}
	switch expired := d.expired; {
	case t.IsZero():
	case !now.Before(t):
		close(expired)
	default:
		d.timer = time.AfterFunc(t.Sub(now), func() { close(expired) })
	}
}
