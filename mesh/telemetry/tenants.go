package telemetry

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/entry"
)

const (
	// maxNamedTenants bounds the tenants that appear by name in the metrics of a process. Each takes up to
	// five series.
	maxNamedTenants = 256
	// otherTenants is the label of the others.
	otherTenants = "other"
)

// tenantResult is the label of what became of a tenant's request.
type tenantResult string

const (
	tenantServed       tenantResult = "served"
	tenantLimited      tenantResult = "limited"
	tenantUnauthorized tenantResult = "unauthorized"
	tenantRefused      tenantResult = "refused"
	// tenantUnknown is that of a request that may have run, without a response.
	tenantUnknown tenantResult = "unknown"
)

// reasonTenantLimit is the reason of requests above the rate limit of their tenant.
const reasonTenantLimit entry.Reason = "tenant-limit"

// tenantResultOf returns the label of a result.
func tenantResultOf(result *entry.Result) tenantResult {
	switch {
	case result.Outcome == retry.Responded:
		return tenantServed
	case result.Reason == reasonTenantLimit:
		return tenantLimited
	case result.Reason == entry.ReasonUnauthorized:
		return tenantUnauthorized
	case result.Outcome == retry.Refused:
		return tenantRefused
	}
	return tenantUnknown
}

// tenantMetrics counts requests by tenant. It is safe for concurrent use.
type tenantMetrics struct {
	requests  metric.Int64Counter
	labelSets sync.Map // tenantKey to metric.MeasurementOption

	mutex sync.Mutex
	named map[string]bool // guarded by mutex
}

// tenantKey identifies a series.
type tenantKey struct {
	tenant string
	result tenantResult
}

func newTenantMetrics(requests metric.Int64Counter) *tenantMetrics {
	return &tenantMetrics{requests: requests, named: make(map[string]bool)}
}

// observe counts a request, where the configuration has tenants. One without a tenant has an empty label.
func (m *tenantMetrics) observe(result *entry.Result) {
	if !result.WithTenants {
		return
	}
	m.requests.Add(context.Background(), 1, m.labels(tenantKey{result.Tenant, tenantResultOf(result)}))
}

// labels returns the labels of a series. They are cached, because every request needs them.
func (m *tenantMetrics) labels(key tenantKey) metric.MeasurementOption {
	if cached, ok := m.labelSets.Load(key); ok {
		return cached.(metric.MeasurementOption)
	}
	if !m.isNamed(key.tenant) {
		key.tenant = otherTenants
		if cached, ok := m.labelSets.Load(key); ok {
			return cached.(metric.MeasurementOption)
		}
	}
	labels := metric.WithAttributeSet(attribute.NewSet(attribute.String("tenant", key.tenant), attribute.String("result", string(key.result))))
	cached, _ := m.labelSets.LoadOrStore(key, labels)
	return cached.(metric.MeasurementOption)
}

// isNamed reports whether a tenant appears by name: the first maxNamedTenants that send requests do.
func (m *tenantMetrics) isNamed(tenant string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if tenant == "" || m.named[tenant] {
		return true
	}
	if len(m.named) >= maxNamedTenants {
		return false
	}
	m.named[tenant] = true
	return true
}
