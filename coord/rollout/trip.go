package rollout

import (
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
)

// ZoneDetector watches one move from within one availability zone, on the zone's
// own outcomes alone, so that the zone stops sending to a bad version whether or
// not the controller and the platform can be reached. It trips once and stays
// so until the move ends.
type ZoneDetector struct {
	zone     string
	detector *detect.Detector
	tripped  bool
}

// tripAlpha is the part of a move's error rate that each zone's trip may use: a
// half of it over two regions of four zones. The controller uses the other half.
const (
	tripAlpha       = 0.5 / 8
	controllerAlpha = 0.5
)

// WindowLength is the span of a detector's windows.
const WindowLength = time.Second

// Bounds of the time for which hosts that begin to receive calls may be slow.
const (
	warmUpPart = 0.05 // of the time up to the deadline
	warmUpMost = 5 * time.Second
)

func warmUp(left time.Duration) int {
	return int(clampedFraction(left, warmUpPart, 0, warmUpMost) / WindowLength)
}

// NewDetector returns the controller's detector of a move whose deadline is so
// far ahead.
func NewDetector(preference revision.Preference, left time.Duration) *detect.Detector {
	config := PolicyFor(preference).Detect
	config.Alpha *= controllerAlpha
	config.WarmUpWindows = warmUp(left)
	return detect.New(config)
}

// NewZoneDetector returns a trip without evidence, with the zone's part of
// the error rate of the preference.
func NewZoneDetector(zone string, preference revision.Preference, left time.Duration) *ZoneDetector {
	config := PolicyFor(preference).Detect
	config.Alpha *= tripAlpha
	config.Beta = 0
	config.WarmUpWindows = warmUp(left)
	return &ZoneDetector{zone: zone, detector: detect.New(config)}
}

// Observe adds a sample to the open window. Samples of other zones are ignored.
func (z *ZoneDetector) Observe(s detect.Sample) {
	if s.Zone == z.zone {
		z.detector.Observe(s)
	}
}

// StartWarmUp tells that hosts of the new version begin to receive calls.
func (z *ZoneDetector) StartWarmUp() { z.detector.StartWarmUp() }

// EndWindow closes the open window. It reports true once, with the reason, when
// the zone is to stop sending to the new version.
func (z *ZoneDetector) EndWindow() (reason string, tripped bool) {
	z.detector.EndWindow()
	verdict := z.detector.Verdict()
	if z.tripped || verdict.Kind != detect.Bad {
		return "", false
	}
	z.tripped = true
	return verdict.Reason.String(), true
}
