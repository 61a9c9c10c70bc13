package memory

import (
	"math"
	"time"
)

// aged returns the progress of the holder that counts at the time now.
func (h *Holder) aged(now time.Duration) float64 {
	elapsed := now - h.progressAt
	if elapsed <= 0 || h.progress == 0 {
		return h.progress
	}
	return h.progress * math.Exp2(-elapsed.Seconds()/progressHalfLife.Seconds())
}
