package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

const validSettings = `{
	// One daemon of the order desk.
	"host": "bzh-1",
	"zone": "bzh-west-a",
	"region": "bzh-west",
	"entry": {"listen": "127.0.0.1:8000", "defaultTimeout": "3s"},
	"peer": {"listen": "127.0.0.1:8001"},
	"gossip": {"listen": "127.0.0.1:8002"},
	"admin": {"listen": "127.0.0.1:8003"},
	"platform": {"url": "http://127.0.0.1:7000"},
}`

func TestParseAppliesDefaults(t *testing.T) {
	is := is.New(t)
	got, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.NoErr(got.Validate())
	is.Equal(got.Entry.DefaultTimeout, revision.Duration(3*time.Second))
	is.Equal(got.Entry.MaxConnections, Default().Entry.MaxConnections)
	is.Equal(got.Exit, Default().Exit)
	is.Equal(got.Host, "bzh-1")
}

func TestProblems(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"missing", `"zone": "bzh-west-a",`, ``, []string{"line 1: zone: is required"}},
		{"missing in a nested object", `{"url": "http://127.0.0.1:7000"}`, `{}`, []string{"line 10: platform.url: is required"}},
		{"invalid name", `bzh-1`, `Bzh 1`, []string{"line 3: host: must be 1 to 64 lower-case letters"}},
		{"host name instead of an IP address", `127.0.0.1:8001`, `localhost:8001`, []string{"line 7: peer.listen: must be an IP address and a port such as 127.0.0.1:7000, not \"localhost:8001\""}},
		{"invalid URL", `http://127.0.0.1:7000`, `127.0.0.1`, []string{"line 10: platform.url: must be a URL"}},
		{"negative duration", `3s`, `-3s`, []string{"line 6: entry.defaultTimeout: must be above 0, not -3s"}},
		{"value outside an enumeration", `"host": "bzh-1"`, `"host": "bzh-1", "log": {"level": "loud"}`, []string{"line 3: log.level: must be one of debug, info, warn, error, not \"loud\""}},
		{"values below the minimum", `"host": "bzh-1"`, `"host": "bzh-1", "runtime": {"gcPercent": 5, "memoryLimit": 1}`, []string{
			"line 3: runtime.gcPercent: must be at least 10, not 5",
			"line 3: runtime.memoryLimit: must be at least 16777216, not 1"}},
		{"wrong type is reported once", `"bzh-1"`, `1`, []string{"line 3: host: must be a string"}},
		{"several problems", "\"host\": \"bzh-1\",\n\t\"zone\"", "\"hots\": \"bzh-1\",\n\t\"zone\": \"\",\n\t\"zonez\"", []string{
			"line 1: host: is required",
			"line 3: hots: unknown field; allowed: host, zone, region,",
			"line 4: zone: is required",
			"line 5: zonez: unknown field"}},
		{"syntax error", `"host"`, `host`, []string{"line 3: column 2: "}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validSettings, c.old, c.new, 1)
			is.True(text != validSettings) // the replacement took place
			_, err := Parse([]byte(text))
			is.True(err != nil)
			lines := strings.Split(err.Error(), "\n")
			is.Equal(len(lines), len(c.want))
			for i, want := range c.want {
				if !strings.HasPrefix(lines[i], want) {
					t.Errorf("got %q, want the prefix %q", lines[i], want)
				}
			}
		})
	}
}

func TestLoadNamesTheFile(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "daemon.json")
	is.NoErr(os.WriteFile(name, []byte(strings.Replace(validSettings, "host", "hots", 1)), 0o600))
	_, err := Load(name)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), name+":3: hots: unknown field"))
	_, err = Load(name + ".absent")
	is.True(os.IsNotExist(err))
}

func TestValidateNamesEveryField(t *testing.T) {
	is := is.New(t)
	s := Default()
	err := s.Validate()
	is.True(err != nil)
	for _, path := range []string{"host", "entry.listen", "platform.url"} {
		is.True(strings.Contains(err.Error(), "settings: "+path+": is required"))
	}
}
