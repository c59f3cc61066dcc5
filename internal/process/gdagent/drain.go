package gdagent

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
)

// flowEndEvent returns the event for a flow that ended with the error. A flow that
// timed out was lost by something on its path.
func flowEndEvent(err error) gdlog.Event {
	var idle *quic.IdleTimeoutError
	if errors.As(err, &idle) {
		return gdlog.FlowSilent
	}
	return gdlog.FlowClosed
}

// watch aborts the flows while the failure domain is out of service, until the
// context ends.
func (a *Agent) watch(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	var wasOut bool
	for {
		out := a.domainOut()
		if out {
			a.abortFlows()
		}
		if out != wasOut {
			wasOut = out
			a.logDomain(out)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (a *Agent) abortFlows() {
	if n := a.closeFlows(CodeDomainOut, "failure domain out", closeResends); n > 0 {
		a.Log.Event(gdlog.FlowAborted, "flows", n)
	}
}

// closeFlows closes all flows, resends the closing datagrams to the callers in the
// background, and returns the number of flows. The QUIC transport resends them only
// in response to packets from a caller, of which none are accepted any more, so that
// the caller of a lost datagram would wait for its timeout.
func (a *Agent) closeFlows(code quic.ApplicationErrorCode, reason string, resends int) int {
	var n int
	datagrams := a.callers.record(func() { n = a.flows.closeAll(code, reason) })
	if n == 0 {
		return 0
	}
	a.closing.Go(func() {
		for i := range resends {
			time.Sleep(firstResendDelay << i)
			a.callers.resend(time.Now(), datagrams)
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

// drain waits for the requests in progress, at most for the service's drain time, and
// then closes the flows.
func (a *Agent) drain() {
	a.stopping.Store(true)
	a.Requests.Drain()
	a.Log.Event(gdlog.DrainStarted, "requests", a.Requests.InProgress(), "flows", a.flows.count())
	deadline := time.Now().Add(a.drainTime())
	for a.Requests.InProgress() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainInterval)
	}
	if n := a.Requests.InProgress(); n > 0 {
		a.Log.Event(gdlog.DrainBlocked, "requests", n, "callers", a.flows.callers(maxLoggedCallers))
	}
	a.finishNonStreams()
	a.closeFlows(CodeStopping, "agent stopping", stopResends)
	a.closing.Wait()
	a.Log.Event(gdlog.DrainEnded)
}

// finishNonStreams refuses new requests and waits for those in progress that are not
// open streams, so that closing the flows aborts none of them.
func (a *Agent) finishNonStreams() {
	a.Requests.RefuseNew()
	for deadline := time.Now().Add(nonStreamTimeout); a.Requests.NonStreamsInProgress() > 0 && time.Now().Before(deadline); {
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
