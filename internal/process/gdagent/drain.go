package gdagent

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
)

// flowEnd returns the event for a flow that ended with the error. A flow from
// which nothing came any more was lost by something on its path.
func flowEnd(err error) gdlog.Event {
	var idle *quic.IdleTimeoutError
	if errors.As(err, &idle) {
		return gdlog.FlowSilent
	}
	return gdlog.FlowClosed
}

// watch closes the flows when the failure domain is taken out, until the context
// ends.
func (a *Agent) watch(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	var was bool
	for {
		out := a.domainOut()
		if out {
			a.giveUp()
		}
		if out != was {
			was = out
			a.logDomain(out)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (a *Agent) giveUp() {
	if n := a.closeFlows(CodeDomainOut, "failure domain out", closeRepeats); n > 0 {
		a.Log.Event(gdlog.FlowAborted, "flows", n)
	}
}

// closeFlows closes all flows and repeats the datagrams that say so to the
// callers. The QUIC transport repeats them only when a caller's packet asks for
// it, and none comes in any more, so a lost one would leave its caller waiting.
func (a *Agent) closeFlows(code quic.ApplicationErrorCode, reason string, repeats int) int {
	var n int
	partings := a.callers.keep(func() { n = a.flows.closeAll(code, reason) })
	if n == 0 {
		return 0
	}
	a.closing.Go(func() {
		for i := range repeats {
			time.Sleep(firstRepeat << i)
			a.callers.repeat(time.Now(), partings)
		}
	})
	return n
}

func (a *Agent) logDomain(out bool) {
	if out {
		a.Log.Event(gdlog.DomainOut)
		return
	}
	a.Log.Event(gdlog.DomainIn)
}

func (a *Agent) domainOut() bool {
	u, _, ok := a.self()
	return ok && u.DomainOut()
}

// drain waits for the requests in progress, at most the service's drain time,
// and then closes the flows.
func (a *Agent) drain() {
	a.stopping.Store(true)
	a.Requests.Drain()
	a.Log.Event(gdlog.DrainStarted, "requests", a.Requests.InProgress(), "flows", a.flows.count())
	limit := time.Now().Add(a.drainTime())
	for a.Requests.InProgress() > 0 && time.Now().Before(limit) {
		time.Sleep(drainInterval)
	}
	if n := a.Requests.InProgress(); n > 0 {
		a.Log.Event(gdlog.DrainBlocked, "requests", n, "callers", a.flows.callers(maxNamedFlows))
	}
	a.finishShort()
	a.closeFlows(CodeStopping, "agent stopping", stopRepeats)
	a.closing.Wait()
	a.Log.Event(gdlog.DrainEnded)
}

// finishShort refuses what comes now and lets requests that are no open streams
// finish, so that the close of their flows cuts none of them.
func (a *Agent) finishShort() {
	a.Requests.RefuseNew()
	for limit := time.Now().Add(shortLimit); a.Requests.NonStreamsInProgress() > 0 && time.Now().Before(limit); {
		time.Sleep(drainInterval)
	}
}

func (a *Agent) drainTime() time.Duration {
	u, _, ok := a.self()
	if !ok {
		return 0
	}
	return u.Service().DrainTimeout()
}
