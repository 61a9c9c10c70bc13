package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The platform's bounds may be fractions on any deployment.
func TestDeployTemplateTakesFractions(t *testing.T) {
	is := is.New(t)
	template, err := os.ReadFile("../../deploy/settings.json.tmpl")
	is.NoErr(err)
	values := map[string]string{
		"Node": "sidecar-a-1", "Zone": "a", "Region": "west", "Service": "desk", "Ip": "10.0.0.1",
		"Listen.Outbound": "10.0.0.1:1", "Listen.Control": "10.0.0.1:2", "Listen.Ready": "10.0.0.1:3",
		"InternalPorts.0": "4", "Platform.Address": "10.0.0.2:5", "AppAddr": "10.0.0.1:6",
	}
	for _, number := range []string{"6", "6.25"} {
		// A section repeats its content for each entry of a table; {{@}} is the key.
		zones := regexp.MustCompile(`{{#Zones}}(.*){{/Zones}}`).FindSubmatch(template)
		is.True(zones != nil)
		section := ""
		for _, entry := range []struct{ key, comma string }{{"a", ","}, {"b", ","}, {"c", ""}} {
			section += strings.NewReplacer("{{@}}", entry.key, "{{,}}", entry.comma).Replace(string(zones[1]))
		}
		template := []byte(strings.Replace(string(template), string(zones[0]), section, 1))
		rendered := regexp.MustCompile(`{{(.+?)}}`).ReplaceAllFunc(template, func(placeholder []byte) []byte {
			if value, ok := values[string(placeholder[2:len(placeholder)-2])]; ok {
				return []byte(value)
			}
			return []byte(number)
		})
		settings, err := Parse(rendered)
		is.NoErr(err)
		is.NoErr(settings.Validate())
		is.True(settings.Entry.Retry.FleetReserve >= 6)
		is.Equal(settings.Zones, []string{"a", "b", "c"})
	}
}
