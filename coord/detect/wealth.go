package detect

import "math"

// changeHazard is the prior probability, in each window, that a version becomes bad in it.
const changeHazard = 0.01

// initialBetFraction is the fraction of the wealth bet from the first window on, because most bad
// versions are bad from the start. The rest starts later; in the tests that bound the excess this
// lets a good version recover from an unfavorable random start.
const initialBetFraction = 0.5

// maxWealth limits the value of a bet to avoid overflow.
const maxWealth = 1e200

// wealth is an e-process: a bet against a null hypothesis whose value ever exceeds 1/alpha with
// probability at most alpha while the hypothesis holds, however often it is evaluated (Ville's
// inequality). It mixes bets over the alternatives and over the window in which the version
// became bad, so that a long good history does not delay the detection of a later change (the
// mixture over the time of change is Shiryaev's, 1963; as an e-process see Shin, Ramdas and
// Rinaldo, "E-detectors", 2022).
type wealth struct {
	// started holds the value of the bets that have started, by alternative.
	started []float64
	// waiting is the value of the bets that have not started.
	waiting float64
}

// newWealth returns a wealth of 1.
func newWealth(alternatives int) wealth {
	w := wealth{started: make([]float64, alternatives), waiting: 1 - initialBetFraction}
	for i := range w.started {
		w.started[i] = initialBetFraction
	}
	return w
}

// bet multiplies the wealth by the e-value of a window for each alternative. The logarithm of
// each e-value is limited to limit, which only lowers it, so the bound on the error
// probability still holds.
func (w *wealth) bet(logEs []float64, limit float64) {
	starting := w.waiting * changeHazard
	w.waiting -= starting
	for i, e := range logEs {
		w.started[i] = min((w.started[i]+starting)*math.Exp(min(e, limit)), maxWealth)
	}
}

// log returns the logarithm of the wealth.
func (w *wealth) log() float64 {
	sum := 0.0
	for _, value := range w.started {
		sum += value
	}
	return math.Log(w.waiting + sum/float64(len(w.started)))
}
