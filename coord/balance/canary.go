package balance

import (
	"strconv"

	"sassafrasnotch.example/coord/rendezvous"
)

// canaryEndpoints returns the count endpoints that rank first for the rollout by rendezvous
// hashing: all daemons choose the same ones, and the loss of a host replaces only that host.
func canaryEndpoints(endpoints []*Endpoint, version VersionKey, ticket uint64, count int) []*Endpoint {
	hosts := make([]string, 0, len(endpoints))
	byHost := make(map[string]*Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		hosts = append(hosts, endpoint.Host)
		byHost[endpoint.Host] = endpoint
	}
	canaries := make([]*Endpoint, 0, count)
	for _, host := range rendezvous.Top(rolloutKey(version, ticket), hosts, count) {
		canaries = append(canaries, byHost[host])
	}
	return canaries
}

func rolloutKey(version VersionKey, ticket uint64) string {
	return "canary/" + version.Service + "/" + version.Version + "/" + strconv.FormatUint(ticket, 10)
}
