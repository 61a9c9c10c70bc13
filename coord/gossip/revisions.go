package gossip

// Revisions are the configuration revisions that a host has in force. What is in force may consist of
// two parts that reach hosts separately: a host whose latest revision is the higher one may have the
// older revision of a part.
type Revisions struct {
	// Latest is the latest revision of any part.
	Latest uint64
	// Configuration and Rollouts are the latest revisions of what operators wrote and of the state of
	// rollouts. Both are 0 if there is one part only.
	Configuration, Rollouts uint64
}

// NewerThan reports whether a part of r is newer than that of other.
func (r Revisions) NewerThan(other Revisions) bool {
	return r.Latest > other.Latest || r.ConfigurationRevision() > other.ConfigurationRevision() || r.Rollouts > other.Rollouts
}

// ConfigurationRevision returns the revision of the configuration, which is the latest one without rollouts.
func (r Revisions) ConfigurationRevision() uint64 {
	if r.Rollouts == 0 {
		return r.Latest
	}
	return r.Configuration
}
