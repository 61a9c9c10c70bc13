package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/apikey"
	"sassafrasnotch.example/coord/revision"
)

// newTenantFixture returns a fixture whose configuration has the tenants north (key "key-n", priority 5) and
// east (key "key-e", priority 4), and the public route /open.
func newTenantFixture(t testing.TB, claims Claims) *fixture {
	f := newFixture(t, testSettings(), claims, twoHosts(respondsWith(200, "ok"), respondsWith(200, "ok")))
	f.configuration.Store(applyChange(t, f.configuration.Snapshot(),
		revision.Resource{Tenant: &revision.Tenant{Name: "north", KeyHashes: []string{revision.HashKey("key-n")}, Priority: 5}},
		revision.Resource{Tenant: &revision.Tenant{Name: "east", KeyHashes: []string{revision.HashKey("key-e")}, Priority: 4}},
		revision.Resource{Route: &revision.Route{Name: "open", Service: "orders", Prefix: "/open", Repeat: revision.RepeatIdempotent, Public: true}}))
	return f
}

// withAuthorization returns a request with the values of the field Authorization.
func withAuthorization(path string, values ...string) *http.Request {
	request := httptest.NewRequest("GET", path, nil)
	if len(values) > 0 {
		request.Header["Authorization"] = values
	}
	return request
}

// malformedCredentials are values of the field Authorization that hold no usable key.
var malformedCredentials = [][]string{
	nil, {""}, {"Bearer"}, {"Bearer "}, {"Bearer  "}, {"key-n"}, {"Bearerkey-n"}, {"Bearer:key-n"}, {"Bearer\tkey-n"},
	{"Basic key-n"}, {" Bearer key-n"}, {"Bearer key-n "}, {"Bearer key-n key-n"}, {"Bearer key-n, Bearer key-n"},
	{"Bearer key-n\x00"}, {"Bearer key-n\n"}, {"Bearer k\u00e9y"}, {"Bearer \"key-n\""}, {"Bearer key=key-n"},
	{"Bearer key-n", "Bearer key-n"}, {"Bearer key-n", ""}, {"Bearer key-n", "Basic x"},
	{"Bearer KEY-N"}, {"Bearer " + revision.HashKey("key-n")}, {"Bearer " + strings.Repeat("k", revision.MaxKeyBytes+1)},
}

// A request without exactly one known key must reach no target, and its caller must learn that it was not
// run; nothing that it sent as a key may be shown.
func TestRequestsWithoutValidKeyAreUnauthorized(t *testing.T) {
	f := newTenantFixture(t, nil)
	for _, values := range malformedCredentials {
		t.Run(strings.Join(values, "|"), func(t *testing.T) {
			is := is.New(t)
			response := f.serveRecorded(withAuthorization("/catalog/1", values...))
			is.Equal(response.Code, http.StatusUnauthorized)
			is.Equal(response.Header().Get("WWW-Authenticate"), "Bearer")
			is.Equal(response.Header().Get(HeaderOutcome), "refused")
			is.Equal(response.Header().Get("Retry-After"), "")
			is.True(strings.Contains(response.Body.String(), `"reason":"unauthorized"`))
			is.True(!strings.Contains(strings.ToLower(response.Body.String()), "key-n"))
		})
	}
	is.New(t).Equal(f.hosts.dispatched(), 0)
}

// The target must learn the tenant from the mesh alone: neither the key nor a field of the caller that a
// target could take for the mesh's may reach it, however it is spelled.
func TestTargetsLearnTheTenantAndNotTheKey(t *testing.T) {
	is := is.New(t)
	f := newTenantFixture(t, nil)
	cases := []struct {
		path, credentials, tenant string
		priority                  int32
	}{
		{"/catalog/1", "Bearer key-n", "north", 0},
		{"/catalog/1", "bearer   key-e", "east", -1 << 16},
		{"/open/1", "Bearer key-e", "east", -1 << 16},
		{"/open/1", "Bearer unknown", "", 0},
		{"/open/1", "Basic dTpw", "", 0},
		{"/open/1", "", "", 0},
	}
	for i, c := range cases {
		request := withAuthorization(c.path, c.credentials)
		request.Header[HeaderTenant] = []string{"forged", "forged again"}
		request.Header["X_sassafras_tenant"] = []string{"forged"}
		request.Header["X-Sassafras_tenant"] = []string{"forged"}
		is.Equal(f.serveRecorded(request).Code, http.StatusOK)
		head := f.hosts.heads[i]
		is.Equal(head.GetTenant(), c.tenant)
		is.Equal(head.GetPriority(), c.priority)
		var stated []string
		for _, field := range head.GetHeaders() {
			is.True(field.GetName() != "Authorization")
			is.True(!strings.Contains(field.GetValue(), "forged"))
			if field.GetName() == HeaderTenant {
				stated = append(stated, field.GetValue())
			}
		}
		is.Equal(strings.Join(stated, ","), c.tenant)
		is.True(len(stated) <= 1)
	}
}

// Where the configuration has no tenants, requests must be served as by a release without them.
func TestWithoutTenantsAuthorizationIsForwarded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, "ok"), respondsWith(200, "ok")))
	request := withAuthorization("/catalog/1", "Bearer key-n", "Basic x")
	request.Header.Set(HeaderTenant, "own")
	is.Equal(f.serveRecorded(request).Code, http.StatusOK)
	forwarded := map[string][]string{}
	for _, field := range f.hosts.heads[0].GetHeaders() {
		forwarded[field.GetName()] = append(forwarded[field.GetName()], field.GetValue())
	}
	is.Equal(forwarded["Authorization"], []string{"Bearer key-n", "Basic x"})
	is.Equal(forwarded[HeaderTenant], []string{"own"})
	is.Equal(f.hosts.heads[0].GetTenant(), "")
}

// Callers write field names in any case, fold lines, repeat fields and send trailers, and several requests at once
// on a connection. Whatever they do, the key and a tenant that they state must not reach the target, and a
// request must be judged by its own key.
func TestTenantFieldsOnTheWire(t *testing.T) {
	f := newTenantFixture(t, nil)
	const first = "GET /catalog/1 HTTP/1.1\r\nHost: x\r\n"
	const key = "Authorization: Bearer key-n\r\n"
	cases := []struct {
		name, sent string
		statuses   []int
		tenants    []string
	}{
		{"lower case", first + "authorization: Bearer key-n\r\nx-sassafras-tenant: forged\r\n\r\n", []int{200}, []string{"north"}},
		{"upper case", first + "AUTHORIZATION: BEARER key-n\r\nX-SASSAFRAS-TENANT: forged\r\n\r\n", []int{200}, []string{"north"}},
		{"underscores", first + key + "x_sassafras_tenant: forged\r\nX-Sassafras_Tenant: forged\r\n\r\n", []int{200}, []string{"north"}},
		{"repeated", first + key + "X-Sassafras-Tenant: forged\r\nx-sassafras-tenant: forged\r\n\r\n", []int{200}, []string{"north"}},
		{"named by Connection", first + key + "Connection: x-sassafras-tenant, authorization\r\nX-Sassafras-Tenant: forged\r\n\r\n", []int{200}, []string{"north"}},
		{"folded", first + "Authorization: Bearer\r\n key-n\r\nX-Sassafras-Tenant:\r\n forged\r\n\r\n", []int{200}, []string{"north"}},
		{"space before the colon", first + key + "X-Sassafras-Tenant : forged\r\n\r\n", []int{400}, nil},
		{"repeated key in another case", first + key + "authorization: Bearer key-n\r\n\r\n", []int{401}, nil},
		{"two tenants", first + key + "Authorization: Bearer key-e\r\n\r\n", []int{401}, nil},
		{"proxy authorization", first + "Proxy-Authorization: Bearer key-n\r\n\r\n", []int{401}, nil},
		{"trailers", "POST /order/1 HTTP/1.1\r\nHost: x\r\n" + key + "Transfer-Encoding: chunked\r\nTrailer: X-Sassafras-Tenant, Authorization\r\n\r\n" +
			"1\r\na\r\n0\r\nX-Sassafras-Tenant: forged\r\nAuthorization: Bearer key-e\r\n\r\n", []int{200}, []string{"north"}},
		{"key in a trailer", "POST /order/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: Authorization\r\n\r\n" +
			"1\r\na\r\n0\r\nAuthorization: Bearer key-e\r\n\r\n", []int{401}, nil},
		{"pipelined with several keys", first + key + "\r\n" + first + "Authorization: Bearer key-e\r\n\r\n" + first + "\r\n" + first + key + "\r\n",
			[]int{200, 200, 401, 200}, []string{"east", "north", "north"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := f.hosts.dispatched()
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.sent)
			is.NoErr(err)
			reader := bufio.NewReader(conn)
			for _, status := range c.statuses {
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, status)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
			}
			f.hosts.mutex.Lock()
			defer f.hosts.mutex.Unlock()
			var tenants []string
			for _, head := range f.hosts.heads[before:] {
				tenants = append(tenants, head.GetTenant())
				for _, field := range head.GetHeaders() {
					is.True(!strings.Contains(field.GetValue(), "forged") && !strings.Contains(field.GetValue(), "key-"))
					is.True(!strings.EqualFold(field.GetName(), HeaderTenant) || field.GetValue() == head.GetTenant())
				}
			}
			slices.Sort(tenants) // requests that are started early reach a host in any order
			is.Equal(tenants, c.tenants)
		})
	}
}

// fakeCopy is a ConfigurationCopy whose state the test sets.
type fakeCopy struct {
	age        time.Duration
	superseded bool
}

func (f *fakeCopy) Age() time.Duration { return f.age }
func (f *fakeCopy) Superseded() bool   { return f.superseded }

// While the keys may be outdated, a key that the daemon does not know must be refused for now and not for
// good, and the caller must be told to come again soon; requests on public routes are not concerned.
func TestUnknownKeysWithAnOutdatedConfiguration(t *testing.T) {
	lenient := apikey.Rules{ApplyWithin: 2 * time.Second, ValidWithin: 5 * time.Second}
	strict := lenient
	strict.Strict = true
	fresh, old, lost := fakeCopy{age: time.Second}, fakeCopy{age: 3 * time.Second}, fakeCopy{age: time.Hour}
	cases := []struct {
		name, path, credentials string
		copied                  fakeCopy
		rules                   apikey.Rules
		status                  int
	}{
		{"fresh copy", "/catalog/1", "Bearer new", fresh, lenient, 401},
		{"newer version by gossip", "/catalog/1", "Bearer new", fakeCopy{superseded: true}, lenient, 503},
		{"old copy", "/catalog/1", "Bearer new", old, lenient, 503},
		{"malformed, old copy", "/catalog/1", "Bearer", old, lenient, 401},
		{"known key, lost store", "/catalog/1", "Bearer key-n", lost, lenient, 200},
		{"known key, strict, old copy", "/catalog/1", "Bearer key-n", old, strict, 200},
		{"known key, strict, lost store", "/catalog/1", "Bearer key-n", lost, strict, 503},
		{"public route, strict, lost store", "/open/1", "Bearer new", lost, strict, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTenantFixture(t, nil)
			f.entry.deps.Conventions = &Conventions{RequestIDHeader: HeaderRequestID, DeadlineHeader: HeaderDeadline, FractionalRetryAfter: true}
			f.entry.deps.ConfigurationCopy = &c.copied
			f.entry.SetKeyRules(c.rules)
			response := f.serveRecorded(withAuthorization(c.path, c.credentials))
			is.Equal(response.Code, c.status)
			is.Equal(f.hosts.dispatched() == 1, c.status == 200)
			if c.status == 503 {
				is.Equal(response.Header().Get("Retry-After"), "0.250")
				is.Equal(response.Header().Get(HeaderOutcome), "refused")
				is.True(strings.Contains(response.Body.String(), `"reason":"keys-outdated"`))
				is.Equal(response.Header().Get("WWW-Authenticate"), "")
			}
		})
	}
}

// swappingCopy puts another snapshot in force while the request is decided on.
type swappingCopy struct {
	fakeCopy
	swap func()
}

func (s *swappingCopy) Age() time.Duration { s.swap(); return 0 }

// A version that comes into force between the look at the snapshot and the look at its age may have added the
// key: the request must not get 401.
func TestUnknownKeyWhileAVersionComesIntoForce(t *testing.T) {
	is := is.New(t)
	f := newTenantFixture(t, nil)
	next := applyChange(t, f.configuration.Snapshot(), revision.Resource{Tenant: &revision.Tenant{Name: "west", KeyHashes: []string{revision.HashKey("new")}}})
	f.entry.deps.ConfigurationCopy = &swappingCopy{swap: func() { f.configuration.Store(next) }}
	is.Equal(f.serveRecorded(withAuthorization("/catalog/1", "Bearer new")).Code, http.StatusServiceUnavailable)
	is.Equal(f.serveRecorded(withAuthorization("/catalog/1", "Bearer new")).Code, http.StatusOK)
}

// FuzzBearerKey guards against a value that is taken for a key though it is not one word behind the scheme,
// and against problems that repeat a part of it.
func FuzzBearerKey(f *testing.F) {
	for _, values := range malformedCredentials {
		f.Add(strings.Join(values, ""))
	}
	f.Add("Bearer key-n")
	f.Fuzz(func(t *testing.T, value string) {
		key, problem := bearerKey([]string{value})
		if (problem == "") != revision.ValidKey(key) {
			t.Fatalf("key %q with problem %q", key, problem)
		}
		if problem == "" {
			scheme := value[:len(bearerScheme)]
			if !strings.EqualFold(scheme, bearerScheme) || strings.Trim(value[len(scheme):len(value)-len(key)], " ") != "" || !strings.HasSuffix(value, key) {
				t.Fatalf("key %q of %q", key, value)
			}
		}
		if _, problem := bearerKey([]string{value, value}); problem == "" {
			t.Fatal("a repeated field was accepted")
		}
	})
}
