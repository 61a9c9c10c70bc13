package report

import (
	"sort"

	"sassafrasnotch.example/coord/burn"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/admin"
)

// ServiceBurn is the burn of one service over all hosts that responded.
type ServiceBurn struct {
	Service   string             `json:"service"`
	Objective revision.Objective `json:"objective"`
	Burn      burn.Report        `json:"burn"`
	Burning   bool               `json:"burning"`
	// Series are the counts of the last hour. An interval without a point had no requests, or no
	// host that responded keeps counts of it.
	Series []burn.Point `json:"series,omitempty"`
}

// MergeReports adds up the reports of several hosts by service and returns the services in order of
// their names. Where hosts report different objectives, as during the spread of a change, the first
// one is used.
func MergeReports(reports []admin.Report) []ServiceBurn {
	merged := make(map[string]*admin.ServiceCounts)
	for _, r := range reports {
		for _, counts := range r.Services {
			if found := merged[counts.Service]; found != nil {
				found.Spans = found.Spans.Merge(counts.Spans)
				found.Series = burn.MergePoints(found.Series, counts.Series)
				continue
			}
			merged[counts.Service] = &counts
		}
	}
	var services []ServiceBurn
	for _, counts := range merged {
		if evaluated, ok := burn.Evaluate(counts.Objective, counts.Spans); ok {
			services = append(services, ServiceBurn{
				Service: counts.Service, Objective: counts.Objective,
				Burn: evaluated, Burning: evaluated.Burning(), Series: counts.Series,
			})
		}
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Service < services[j].Service })
	return services
}
