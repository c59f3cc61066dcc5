package gdsoak

// Regression is a seed that once broke a promise.
type Regression struct {
	Seed uint64
	// LaterSets is how many of the later sets of faults the seed had.
	LaterSets int
	// Cause describes the defect and names the test that reproduces it without processes.
	// The defect is in the product, in the rig or in a check.
	Cause string
}

// Regressions returns the seeds that once broke a promise with the default fault period of
// 12 s.
func Regressions() []Regression {
	return []Regression{
		{9, 0, "unresolved: an entry host exited 27 ms after its start without output, as one does that SIGHUP ends (seed 1796358542874); once in three runs of the seed"},
		{4, 2, "an entry host that had not run for 200 ms took a host for unreachable: gdsocket TestStalledProcessConcludesNothing; in a run of 4 s"},
		{5003, 3, "two agents of a cold upstream, one after the other, each let in a second's flows: gdguard TestAgentsInTurnShareColdLimit"},
		{14, 0, "an entry host that had just loaded sent a peer changes without the removals before its load: gddiscovery TestRemovalBeforeLoadNeedsFullUpdate; and the rig counted closed flows as held: gdhostrig TestClosedFlowsDoNotCountTowardsLimit"},
		{16, 0, "an upstream restarted and only its agent could observe it: gdguard TestUnreportedRestartTriggersSlowStart"},
		{31, 0, "same cause as seed 16"},
		{49, 0, "the check expected a service without upstreams to accept flows: gdsoak TestChecker"},
		{1796358542874, 0, "SIGHUP within some 10 ms of the start of a process, before main had asked for the signal, ended the process"},
		{1796374641944, 2, "a restored store showed a process of the upstream before the last one, which the agent took for the new one: gdguard TestUnreportedRestartTriggersSlowStart"},
		{1796374641940, 2, "agent and upstream had restarted, and the restored store showed the upstream as it was before, so that nobody knew that it was cold: gdguard TestAgentThatStartedDuringRestoreLimitsNewFlows"},
		{107, 1, "an upstream that was silent and then gone got no probe any more, so that it stayed without flows after its return: gdguard TestReturnedUpstreamIsFound; once in four runs"},
		{1796391052252, 0, "unresolved: upstreams whose agents knew that they are cold accepted 21 to 24 flows in a second, on a busy machine; once in two runs of the seed"},
	}
}
