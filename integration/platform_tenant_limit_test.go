package integration

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/platform/wire"
)

// Limit of the tenant and the bound of any window, see docs/design/tenant-limits.md.
const (
	tenantKey      = "key-of-blue-0123456789"
	tenantRate     = 40.0
	tenantBurst    = 20.0
	limitWindow    = 5 * time.Second
	limitOverage   = 0.1
	limitSlack     = 20
	offeredPerSend = 2 // requests every 20 ms to each daemon
)

// A tenant that asks for more than its limit must not be served more than the bound in any window, though
// the coordinators of its limit are killed and daemons restart.
func TestTenantLimitHoldsOverRestarts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatformCluster(t)
	encoded, err := json.Marshal(testConfig(4))
	is.NoErr(err)
	var config map[string]any
	is.NoErr(json.Unmarshal(encoded, &config))
	config["Tenants"] = []map[string]any{{"Name": "blue", "ApiKeys": []string{tenantKey}, "RatePerS": tenantRate, "Burst": tenantBurst}}
	p.WriteOperatorRow(wire.KeyConfig, config)
	time.Sleep(2 * applyWithin) // in force on every daemon

	log := &servedLog{}
	ctx, cancel := context.WithCancel(t.Context())
	var senders sync.WaitGroup
	for _, d := range p.Daemons {
		senders.Go(func() { log.flood(ctx, p.client, "http://"+d.Settings.Entry.Listen) })
	}
	time.Sleep(5 * time.Second)
	killed := limitCoordinator(p.Daemons, "zones") // the one that divides the limit between the zones
	if killed == nil {
		killed = limitCoordinator(p.Daemons, "zone")
	}
	if killed != nil { // else the checks below tell
		killed.Kill()
		time.Sleep(2 * time.Second)
		killed.Launch()
	}
	for i := range 3 {
		p.Daemons[2*i].Restart() // one daemon of each zone
		time.Sleep(time.Second)
	}
	time.Sleep(5 * time.Second)
	cancel()
	senders.Wait()

	most, limited := log.most()
	bound := (tenantRate*limitWindow.Seconds()+tenantBurst)*(1+limitOverage) + limitSlack
	t.Logf("%d served in all, at most %d in a window of %v (bound %.0f); %d refused with 429", len(log.served), most, limitWindow, bound, limited)
	is.True(float64(most) <= bound)
	is.True(killed != nil)
	is.True(len(log.served) > 0) // the limit serves something
	is.True(limited > 0)         // and it refuses something
}

// limitCoordinator returns a daemon that coordinates the limits of tenants in its zone, or between zones.
func limitCoordinator(daemons []*cluster.Daemon, scope string) *cluster.Daemon {
	line := regexp.MustCompile(`(?m)^sassafras_tenant_limit_coordinator\{[^}]*scope="` + scope + `"[^}]*\} 1$`)
	for _, d := range daemons {
		if page, err := d.Metrics(); err == nil && line.MatchString(page) {
			return d
		}
	}
	return nil
}

// servedLog records when requests were served, and how many were refused with 429.
type servedLog struct {
	mutex   sync.Mutex
	served  []time.Time
	limited int
}

// flood sends requests to a daemon until the context ends.
func (l *servedLog) flood(ctx context.Context, client *http.Client, url string) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctx.Err() == nil {
		for range offeredPerSend {
			requests.Go(func() { l.send(client, url) })
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *servedLog) send(client *http.Client, url string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/safe/x", http.NoBody)
	if err != nil {
		return
	}
	request.Host = platformHost
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch response.StatusCode {
	case http.StatusOK:
		l.served = append(l.served, time.Now())
	case http.StatusTooManyRequests:
		l.limited++
	}
}

// most returns the largest number of requests served in a window.
func (l *servedLog) most() (count, limited int) {
	slices.SortFunc(l.served, time.Time.Compare)
	first := 0
	for i, at := range l.served {
		for at.Sub(l.served[first]) >= limitWindow {
			first++
		}
		count = max(count, i-first+1)
	}
	return count, l.limited
}
