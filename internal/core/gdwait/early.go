package gdwait

import "time"

const (
	// earlyDivisor: an answer is early if it comes within an eighth of the time that requests of
	// its kind usually hold a slot, as answers of an upstream do that fails requests at once.
	earlyDivisor = 8
	// recentAnswers and usualAnswers are the numbers of answers over which the recent and the
	// usual share of early answers are averaged. An upstream that has come to answer from a
	// cache is as usual after some usualAnswers.
	recentAnswers = 16
	usualAnswers  = 8192
	// minEarlyShare is the recent share of early answers from which an upstream is suspected of
	// failing requests, and earlyFactor the multiple of its usual share.
	minEarlyShare = 0.25
	earlyFactor   = 4
	// suspicionTTL is how long an upstream stays suspected without further early answers. Then new
	// flows show whether it has recovered.
	suspicionTTL = 2 * time.Second
)

// earlyAnswers watches for an upstream that answers many requests much sooner than usual.
type earlyAnswers struct {
	recent, usual float64
	n             int // answers, up to usualAnswers
	until         time.Time
}

// note records an answer.
func (a *earlyAnswers) note(now time.Time, early bool) {
	v := 0.0
	if early {
		v = 1
	}
	a.n = min(a.n+1, usualAnswers)
	a.recent += (v - a.recent) / recentAnswers
	a.usual += (v - a.usual) / float64(a.n)
	if early && a.recent >= minEarlyShare && a.recent > earlyFactor*a.usual {
		a.until = now.Add(suspicionTTL)
	}
}

// AnswersEarly reports whether the upstream is suspected of failing requests: many answers come
// much sooner than usual. Health checks don't show that, and the short time in a slot makes the
// upstream look idle.
func (e *Estimator[R]) AnswersEarly(now time.Time) bool { return now.Before(e.early.until) }
