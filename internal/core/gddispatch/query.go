package gddispatch

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// queryBatches collects the flows that agents are to be queried for, so that one
// message covers many: after a power loss each flow is looked up at each upstream.
type queryBatches struct {
	due   time.Time // the zero time if there are none
	list  []queryBatch
	index map[gdflow.Address]int // the upstream's index in the list
}

type queryBatch struct {
	to     gdflow.Address
	header gdguard.Header
	keys   []gdflow.Key
}

// addQuery adds the flow to the next query to the upstream's agent.
func (d *Dispatcher) addQuery(now time.Time, k gdflow.Key, m *gddiscovery.Member) {
	p, ok := d.view.Pool(m.Upstream().Service)
	if !ok {
		return
	}
	q := &d.queries
	i, ok := q.index[m.Address()]
	if !ok || q.list[i].header.Service != p.Hash() {
		if q.index == nil {
			q.index = make(map[gdflow.Address]int)
		}
		i = len(q.list)
		q.index[m.Address()] = i
		q.list = append(q.list, queryBatch{to: m.Address(), header: d.headerFor(now, p, m)})
	}
	q.list[i].keys = append(q.list[i].keys, k)
	if q.due.IsZero() {
		q.due = now.Add(batchDelay)
	}
	if len(q.list[i].keys) == gdguard.MaxQueryFlows {
		d.sendQuery(q.list[i])
		q.list[i].keys = nil
	}
}

// flushQueries sends the collected queries.
func (d *Dispatcher) flushQueries() {
	for _, q := range d.queries.list {
		if len(q.keys) > 0 {
			d.sendQuery(q)
		}
	}
	d.queries = queryBatches{}
}

func (d *Dispatcher) sendQuery(q queryBatch) {
	d.add(Action{Verb: Query, To: q.to, Keys: q.keys, Header: q.header, Reason: Broadcast})
}

// HandleHoldings continues the lookups of the flows that an agent's answer is about.
func (d *Dispatcher) HandleHoldings(now time.Time, from gdflow.Address, revision gddiscovery.Revision, keys []gdflow.Key, holdings []gdguard.Holding) []Action {
	d.init()
	d.noteAnswer(now, from)
	d.newestRevision = max(d.newestRevision, revision)
	if d.view == nil {
		return nil
	}
	for i, k := range keys {
		r, routed := d.view.Route(k.Service())
		if f, known := d.flows.Get(now, k); routed && known {
			d.handleReport(now, r, from, k, f, holdings[i])
		}
	}
	return d.actions
}

// handleReport handles what an agent reports about one flow, asked by a query or by a packet.
func (d *Dispatcher) handleReport(now time.Time, r *gddiscovery.Route, from gdflow.Address, k gdflow.Key, f *flow, holding gdguard.Holding) {
	var t *attempt
	if f.state == lookingUp {
		t = f.lookup.attemptAt(from)
	}
	unanswered := t != nil && !t.answered
	switch {
	case unanswered && t.queried:
		d.handleHolding(now, r, k, f, t, holding)
	case holding == gdguard.Present:
		d.resolveWithoutDoubt(now, from, k, f)
	case unanswered && holding == gdguard.Unsure:
		d.awaitDecision(now, r, k, f.lookup, t)
	}
}

// awaitDecision gives an agent more time that has delivered the packet of the lookup: a packet of its
// upstream may still show whether that one holds the flow. It also gets the next packet of the flow, since an
// upstream need not acknowledge each one.
func (d *Dispatcher) awaitDecision(now time.Time, r *gddiscovery.Route, k gdflow.Key, l *lookup, t *attempt) {
	if !t.undecided && len(l.pending) > 0 {
		next := l.pending[0]
		l.pending = l.pending[1:]
		d.forward(now, r, t.holder, Action{
			Key: k, Packet: next.raw, PacketSeq: next.seq, PacketSize: next.size, Urgent: isUrgent(r), Reason: Known,
			Header: gdguard.Header{Confirm: true},
		})
	}
	t.undecided = true
	d.setDeadline(k, l, now.Add(undecidedTimeout))
}

// handleHolding continues the lookup of one flow.
func (d *Dispatcher) handleHolding(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow, t *attempt, holding gdguard.Holding) {
	l := f.lookup
	switch {
	case holding == gdguard.Present:
		if l.packet.held() {
			l.pending = slices.Insert(l.pending, 0, l.packet)
		}
		d.resolve(now, k, f, t.holder)
		f.doubt = nil
		return
	case holding == gdguard.Absent:
		t.answered, t.unsure = true, d.mayForget() || d.view.SharedHost(t.address)
	case holding == gdguard.HoldingWrongService:
		d.noteWrongService(now, r, k, l, t)
	case holding == gdguard.Closed:
		t.answered = true
	case holding == gdguard.Unsure && !d.hadService(now, r, t.service), !d.takeProbe(now, l):
		t.answered, t.unsure = true, true
	default:
		t.queried = false
		d.setDeadline(k, l, now.Add(answerTimeout))
		d.forward(now, r, t.holder, l.packetQuery(k))
	}
	if l.allAnswered() {
		d.queryNext(now, r, k, f)
	}
}
