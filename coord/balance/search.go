package balance

import (
	"slices"
	"time"
)

const (
	// maxNearOffers and maxFarOffers bound the hosts of the nearest tier, and of the tiers behind
	// it, that are asked whether a slot is free.
	maxNearOffers = 3
	maxFarOffers  = 2
	// drawsPerOffer is the number of hosts of which the best by the reports at hand gets an offer. It
	// is more than the two that suffice for loads, which are mostly unknown among hundreds of hosts,
	// since speeds are mostly known: with four a host of the slowest quarter gets 1 in 256.
	drawsPerOffer = 4
	// maxQueueAttempts bounds the hosts at which a request asks for a place in the queue.
	maxQueueAttempts = 2
	// nearWaitFraction is the part of the latency objective that a request may wait near its
	// entry before hosts of other zones are asked.
	nearWaitFraction = 1.0 / 8
)

// Offer is where a request is sent next, and how long it may wait there.
type Offer struct {
	Endpoint *Endpoint
	// Bounded means that the host refuses the request at once unless it expects to run it within
	// MaxWait.
	Bounded bool
	MaxWait time.Duration
}

// searchPhase is the kind of offers that a Search makes.
type searchPhase int

const (
	offerNear searchPhase = iota // a free slot in the nearest tier
	queueNear                    // a short wait in the nearest tier
	offerFar                     // a free slot in a farther tier
	queueAny                     // a place in the queue with the shortest wait that is known
	searchEnded
)

// Search finds a host with room for one request by offering it to one after the other. It answers
// the load of many entries that each send few requests to each of many hosts: an entry then
// rarely knows how busy the hosts are that it draws, but a host knows exactly, and refuses an
// offer before anything was dispatched. It is not safe for concurrent use.
type Search struct {
	group     *Group
	objective time.Duration
	eligible  predicate
	phase     searchPhase
	made      int // offers in this phase
	// seen holds the endpoints that refused an offer, or were drawn and reported as full.
	seen []*Endpoint
	// queued holds the endpoints at which the request asked for a place in the queue.
	queued []*Endpoint
}

// NewSearch returns a search among the endpoints of a group for a request with a latency
// objective, which may be 0 for none.
func NewSearch(group *Group, objective time.Duration) *Search {
	return &Search{group: group, objective: objective, eligible: (*Endpoint).healthy}
}

// Next returns the next offer, whose Endpoint is nil if none is left. Hosts in excluded receive
// none. Endpoints that are suspect, ejected or avoided receive offers only if no other remains.
func (s *Search) Next(random Source, now time.Duration, excluded []string) Offer {
	for {
		if offer := s.next(random, now, excluded); offer.Endpoint != nil {
			return offer
		}
		if len(s.seen) > 0 || s.eligible == nil {
			return Offer{}
		}
		s.eligible, s.phase = nil, offerNear // no healthy endpoint
	}
}

func (s *Search) next(random Source, now time.Duration, excluded []string) Offer {
	for ; s.phase < searchEnded; s.phase, s.made = s.phase+1, 0 {
		switch s.phase {
		case offerNear:
			if endpoint := s.drawFree(s.near(now, excluded), maxNearOffers, random, now, excluded); endpoint != nil {
				return Offer{Endpoint: endpoint, Bounded: true}
			}
		case queueNear:
			if endpoint := s.shortest(s.near(now, excluded), now, excluded); endpoint != nil && s.made == 0 && s.objective > 0 {
				s.made++
				return Offer{Endpoint: endpoint, Bounded: true, MaxWait: time.Duration(nearWaitFraction * float64(s.objective))}
			}
		case offerFar:
			for _, tier := range s.far(now, excluded) {
				if endpoint := s.drawFree(tier, maxFarOffers, random, now, excluded); endpoint != nil {
					return Offer{Endpoint: endpoint, Bounded: true}
				}
			}
		case queueAny:
			if endpoint := s.shortest(s.seen, now, excluded); endpoint != nil && s.made < maxQueueAttempts {
				s.made++
				s.queued = append(s.queued, endpoint)
				return Offer{Endpoint: endpoint}
			}
		}
	}
	return Offer{}
}

// near returns the nearest tier with an eligible endpoint.
func (s *Search) near(now time.Duration, excluded []string) []*Endpoint {
	for _, tier := range s.group.tiers {
		if s.anyEligible(tier, now, excluded) {
			return tier
		}
	}
	return nil
}

// far returns the tiers behind the nearest one.
func (s *Search) far(now time.Duration, excluded []string) [][]*Endpoint {
	for i, tier := range s.group.tiers {
		if s.anyEligible(tier, now, excluded) {
			return s.group.tiers[i+1:]
		}
	}
	return nil
}

func (s *Search) anyEligible(tier []*Endpoint, now time.Duration, excluded []string) bool {
	return slices.ContainsFunc(tier, func(e *Endpoint) bool {
		return s.isEligible(e, now) && !slices.Contains(excluded, e.Host)
	})
}

func (s *Search) isEligible(endpoint *Endpoint, now time.Duration) bool {
	return s.eligible == nil || s.eligible(endpoint, now) || slices.Contains(s.seen, endpoint)
}

// drawFree returns the best of drawsPerOffer endpoints of a tier that have not been drawn yet. It
// skips those that lately reported all slots taken. At most limit endpoints are drawn in a phase.
func (s *Search) drawFree(tier []*Endpoint, limit int, random Source, now time.Duration, excluded []string) *Endpoint {
	undrawn := func(e *Endpoint, now time.Duration) bool {
		return (s.eligible == nil || s.eligible(e, now)) && !slices.Contains(s.seen, e)
	}
	for s.made < limit {
		endpoint := pickBest(tier, drawsPerOffer, random, now, excluded, undrawn)
		if endpoint == nil {
			return nil
		}
		load := endpoint.Load(now)
		if s.eligible != nil && endpoint.health.onProbation(now) && !endpoint.health.startTrial(now) {
			continue // another request has started the trial in the meantime
		}
		s.made++
		s.seen = append(s.seen, endpoint)
		if load < saturationLoad || !endpoint.hasFreshReport(now) {
			return endpoint
		}
	}
	return nil
}

// shortest returns the endpoint with the shortest known wait among those that were drawn, are in
// the list and have not queued the request, or nil if there is none.
func (s *Search) shortest(list []*Endpoint, now time.Duration, excluded []string) *Endpoint {
	var best *Endpoint
	for _, endpoint := range s.seen {
		if !slices.Contains(list, endpoint) || slices.Contains(s.queued, endpoint) || slices.Contains(excluded, endpoint.Host) {
			continue
		}
		if best == nil || endpoint.shorterWait(best, now) {
			best = endpoint
		}
	}
	return best
}

// shorterWait reports whether a request is expected to wait less at e than at other.
func (e *Endpoint) shorterWait(other *Endpoint, now time.Duration) bool {
	wait, otherWait := e.Wait(now), other.Wait(now)
	if wait != otherWait {
		return wait < otherWait
	}
	return e.Load(now) < other.Load(now)
}
