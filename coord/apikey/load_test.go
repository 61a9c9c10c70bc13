package apikey

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Times of the rotation of a key: the version with the new key is written, and the operator hands the key out
// once it must be in force. cutOff daemons are without the store and without gossip from cutAt to healAt.
const (
	applyBound   = 2 * time.Second
	cutAt        = 9 * time.Second
	writtenAt    = 10 * time.Second
	handedOutAt  = writtenAt + applyBound
	healAt       = 20 * time.Second
	rotationEnd  = 25 * time.Second
	daemonCount  = 60
	cutOffCount  = 6
	requestCount = 50_000 // over the whole time, at random daemons
)

// daemonCopy is one daemon's copy of the configuration.
type daemonCopy struct {
	cutOff               bool
	appliedAt, gossipAt  time.Duration
	confirmEvery, phased time.Duration
}

func newDaemonCopy(r *rand.Rand, cutOff bool) daemonCopy {
	d := daemonCopy{
		cutOff:       cutOff,
		appliedAt:    writtenAt + time.Duration(r.Int64N(int64(applyBound*95/100))),
		confirmEvery: applyBound * 2 / 5,
	}
	d.phased = time.Duration(r.Int64N(int64(d.confirmEvery)))
	d.gossipAt = writtenAt + time.Duration(r.Int64N(int64(time.Second)))
	if cutOff {
		d.appliedAt, d.gossipAt = healAt+applyBound/2, healAt
	}
	return d
}

// at returns the state of the copy at a time.
func (d *daemonCopy) at(now time.Duration) Copy {
	last := now
	if d.cutOff && now >= cutAt && now < d.appliedAt {
		last = cutAt
	}
	confirmed := last - (last+d.phased)%d.confirmEvery
	if !d.cutOff && now < d.appliedAt {
		confirmed = min(confirmed, writtenAt)
	}
	return Copy{Age: now - confirmed, Superseded: now >= d.gossipAt && now < d.appliedAt}
}

// rotationResult counts what callers got.
type rotationResult struct {
	newServed, newDeferred, newRejected int // of requests with the new key, once it was handed out
	oldServedLate                       int // of requests with the old key, once unconfirmed keys are not valid any more
	newRequests, oldLateRequests        int
}

// rotate plays the rotation of a key.
func rotate(decide func(Credentials, Copy) Verdict, validWithin time.Duration) rotationResult {
	r := rand.New(rand.NewPCG(7, 11))
	var daemons []daemonCopy
	for i := range daemonCount {
		daemons = append(daemons, newDaemonCopy(r, i < cutOffCount))
	}
	var result rotationResult
	for i := range requestCount {
		now := rotationEnd * time.Duration(i) / requestCount
		d := &daemons[r.IntN(daemonCount)]
		applied, usesNew := now >= d.appliedAt, r.IntN(2) == 0
		credentials := Unknown
		if applied == usesNew {
			credentials = Known
		}
		verdict := decide(credentials, d.at(now))
		switch {
		case usesNew && now >= handedOutAt:
			result.newRequests++
			switch verdict {
			case Admitted:
				result.newServed++
			case Unauthorized:
				result.newRejected++
			default:
				result.newDeferred++
			}
		case !usesNew && now >= max(handedOutAt, cutAt+validWithin):
			result.oldLateRequests++
			if verdict == Admitted {
				result.oldServedLate++
			}
		}
	}
	return result
}

// Callers that got a new key in time must never be told that it is wrong, also by daemons that lost the store and
// gossip before it was written. With strict keys, the former key must be of no use once those daemons had
// the time to notice. The baseline, a daemon that trusts its copy, fails both.
func TestRotationOfAKeyUnderLoad(t *testing.T) {
	is := is.New(t)
	rules := Rules{ApplyWithin: applyBound, ValidWithin: 5 * time.Second}
	play := func(rules Rules) rotationResult {
		return rotate(func(c Credentials, copied Copy) Verdict { return Decide(c, true, copied, rules) }, rules.ValidWithin)
	}
	lenient := play(rules)
	rules.Strict = true
	strict := play(rules)
	baseline := rotate(func(c Credentials, _ Copy) Verdict {
		if c == Known {
			return Admitted
		}
		return Unauthorized
	}, rules.ValidWithin)
	t.Logf("lenient %+v", lenient)
	t.Logf("strict %+v", strict)
	t.Logf("baseline %+v", baseline)

	is.True(baseline.newRejected > 0)
	is.True(baseline.oldServedLate > 0)
	for _, result := range []rotationResult{lenient, strict} {
		is.Equal(result.newRejected, 0)
		is.Equal(result.newServed, baseline.newServed) // nobody is refused whom the baseline serves
		is.Equal(result.newServed+result.newDeferred, result.newRequests)
	}
	is.True(lenient.oldServedLate > 0) // what strict keys are for
	is.Equal(strict.oldServedLate, 0)
}
