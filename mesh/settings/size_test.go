package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a text for the memory that is read as another amount.
func TestSizes(t *testing.T) {
	for text, wanted := range map[string]Size{
		"184000000": 184e6, `"184MB"`: 184e6, `"0184MB"`: 184e6, `"06.25MB"`: 6_250_000, `"0MB"`: 0, `""`: 0,
		`"184"`: -1, `"MB"`: -1, `"-1MB"`: -1, `"NaNMB"`: -1, `"1e300MB"`: -1, `"184 MB"`: -1, `true`: -1, `1.5`: -1,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			minimal := strings.Replace(strings.Replace(minimalSettings, "LEVEL", "info", 1), `"host"`, `"runtime": {"memory": `+text+`}, "host"`, 1)
			s, err := Parse([]byte(minimal))
			if wanted < 0 {
				is.True(err != nil && strings.Contains(err.Error(), "runtime.memory"))
				return
			}
			is.NoErr(err)
			is.Equal(s.Runtime.Memory, wanted)
		})
	}
}

// Guards against limits that together exceed what the process may use.
func TestLimitsFollowFromTheMemory(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		runtime      Runtime
		soft, client int64
	}{
		{Runtime{}, 128 << 20, 128 << 20},
		{Runtime{Memory: 184e6}, 92e6, 46e6},
		{Runtime{Memory: 536e6}, 128 << 20, 64 << 20},
		{Runtime{Memory: 1}, 16 << 20, 8 << 20},
		{Runtime{Memory: 184e6, MemoryLimit: 64 << 20}, 64 << 20, 32 << 20},
	} {
		is.Equal(c.runtime.SoftLimit(), c.soft)
		is.Equal(c.runtime.ClientMemory(), c.client)
	}
}

// Guards against a template that does not pass the memory of the machine on.
func TestDeployTemplateStatesTheMemory(t *testing.T) {
	is := is.New(t)
	values := requiredValues()
	values["Limits.MemoryMb"] = "184"
	s, err := Parse(renderTemplate(t, values, func(string) string { return "7" }))
	is.NoErr(err)
	is.Equal(s.Runtime.SoftLimit(), int64(92e6))
	is.Equal(s.Runtime.GCPercent, 100)
}
