package gdsoak

// Regression is a seed that once broke a promise.
type Regression struct {
	Seed uint64
	// Cause is what was wrong, and the test that has it without processes.
	Cause string
}

// Regressions returns the seeds that once broke a promise, with the usual trouble of
// twelve seconds.
func Regressions() []Regression {
	return []Regression{
		{9, "open: an entry host ended 27 ms after its start and wrote nothing; once in three runs of the seed"},
		{14, "an entry host that had just loaded told another of changes without the removals before its load: gddiscovery TestRemovalBeforeLoadNeedsFullUpdate; and the rig counted ended flows as held: gdhostrig TestEndedFlowsMakeRoom"},
		{16, "an upstream started again that only its agent could know of: gdguard TestUnreportedRestartTriggersSlowStart"},
		{31, "as 16"},
		{49, "the check expected flows of a service without upstreams: gdsoak TestLedger"},
	}
}
