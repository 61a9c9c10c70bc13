package rollout

import (
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
)

// ZoneDetector observes one rollout within one availability zone, using only the zone's own
// outcomes, so that the zone stops sending requests to a bad version even if neither the
// controller nor the store can be reached. It reports a halt once, which stays in effect until
// the rollout ends.
type ZoneDetector struct {
	zone     string
	detector *detect.Detector
	halted   bool
}

// Fractions of a rollout's false-alarm probability (detect.Config.Alpha). Each zone detector may use
// zoneAlphaFraction: half of the probability divided over two regions of four zones each. The
// controller uses the other half.
const (
	zoneAlphaFraction       = 0.5 / 8
	controllerAlphaFraction = 0.5
)

// zoneMinSlowHosts is the number of hosts of a zone that must be slow before the zone stops by itself:
// it may have one host of the new version, which the controller compares with those of other zones.
const zoneMinSlowHosts = 2

// WindowLength is the duration of a detector's windows.
const WindowLength = time.Second

// Limits of the warm-up time, in which hosts that begin to receive requests may be slow.
const (
	warmUpFraction = 0.05 // of the time up to the deadline
	warmUpMax      = 5 * time.Second
)

// warmUpWindows returns the warm-up time as a number of windows, for the time remaining up to the
// deadline.
func warmUpWindows(remaining time.Duration) int {
	return int(clampedFraction(remaining, warmUpFraction, 0, warmUpMax) / WindowLength)
}

// NewDetector returns the controller's detector of a rollout with the given time remaining up to
// its deadline. It uses controllerAlphaFraction of the false-alarm probability of the preference.
func NewDetector(preference revision.Preference, remaining time.Duration) *detect.Detector {
	config := PolicyFor(preference).Detect
	config.Alpha *= controllerAlphaFraction
	config.WarmUpWindows = warmUpWindows(remaining)
	return detect.New(config)
}

// NewZoneDetector returns a detector without evidence for one zone, with the zone's fraction of
// the false-alarm probability of the preference. It never judges a version good, as its Beta is 0.
func NewZoneDetector(zone string, preference revision.Preference, remaining time.Duration) *ZoneDetector {
	config := PolicyFor(preference).Detect
	config.Alpha *= zoneAlphaFraction
	config.Beta = 0
	config.MinSlowHosts = zoneMinSlowHosts
	config.WarmUpWindows = warmUpWindows(remaining)
	return &ZoneDetector{zone: zone, detector: detect.New(config)}
}

// Observe adds a sample to the open window. Samples of other zones are ignored.
func (z *ZoneDetector) Observe(s detect.Sample) {
	if s.Zone == z.zone {
		z.detector.Observe(s)
	}
}

// StartWarmUp begins a warm-up, in which slow responses do not count. Call it when further hosts
// of the new version begin to receive requests.
func (z *ZoneDetector) StartWarmUp() { z.detector.StartWarmUp() }

// EndWindow closes the open window. It reports true once, with the reason, when the zone is to
// stop sending requests to the new version.
func (z *ZoneDetector) EndWindow() (reason string, halt bool) {
	z.detector.EndWindow()
	verdict := z.detector.Verdict()
	if z.halted || verdict.Kind != detect.Bad {
		return "", false
	}
	z.halted = true
	return verdict.Reason.String(), true
}
