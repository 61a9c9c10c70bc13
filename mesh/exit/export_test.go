package exit

// Fingerprint exposes requestFingerprint to tests.
var Fingerprint = requestFingerprint
