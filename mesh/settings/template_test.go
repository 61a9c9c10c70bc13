package settings

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

// renderTemplate returns the template with its placeholders replaced: those in the values by these, and any
// other by the result of the function.
func renderTemplate(t *testing.T, values map[string]string, other func(placeholder string) string) []byte {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.json.tmpl")
	is := is.New(t)
	is.NoErr(err)
	// A section repeats its content for each entry of a table; {{@}} is the key.
	zones := regexp.MustCompile(`{{#Zones}}(.*){{/Zones}}`).FindSubmatch(template)
	is.True(zones != nil)
	section := ""
	for _, entry := range []struct{ key, comma string }{{"a", ","}, {"b", ","}, {"c", ""}} {
		section += strings.NewReplacer("{{@}}", entry.key, "{{,}}", entry.comma).Replace(string(zones[1]))
	}
	template = []byte(strings.Replace(string(template), string(zones[0]), section, 1))
	return regexp.MustCompile(`{{(.+?)}}`).ReplaceAllFunc(template, func(placeholder []byte) []byte {
		if value, ok := values[string(placeholder[2:len(placeholder)-2])]; ok {
			return []byte(value)
		}
		return []byte(other(string(placeholder)))
	})
}

// requiredValues are those of the template's placeholders that are no numbers.
func requiredValues() map[string]string {
	return map[string]string{
		"Node": "sidecar-a-1", "Zone": "a", "Region": "west", "Service": "desk", "Ip": "10.0.0.1",
		"Listen.Outbound": "10.0.0.1:1", "Listen.Control": "10.0.0.1:2", "Listen.Ready": "10.0.0.1:3",
		"InternalPorts.0": "4", "Platform.Address": "10.0.0.2:5", "AppAddr": "10.0.0.1:6", "Bounds.StrictRevoke": "true",
	}
}

// The platform's bounds may be fractions on any deployment.
func TestDeployTemplateTakesFractions(t *testing.T) {
	is := is.New(t)
	for _, number := range []string{"6", "6.25"} {
		settings, err := Parse(renderTemplate(t, requiredValues(), func(string) string { return number }))
		is.NoErr(err)
		is.NoErr(settings.Validate())
		is.True(settings.Entry.Retry.FleetReserve >= 6)
		is.Equal(settings.Zones, []string{"a", "b", "c"})
		is.True(bool(settings.Configuration.StrictKeys))
		is.True(settings.Configuration.KeysValidWithin.Std() >= 6*time.Millisecond)
	}
}

// A deployment may lack the values for API keys, which its platform renders as empty or not at all. The daemon
// must start with their defaults, while a required value that is missing must still be reported.
func TestDeployTemplateTakesMissingValues(t *testing.T) {
	values := requiredValues()
	delete(values, "Bounds.StrictRevoke")
	for _, name := range []string{"Bounds.ConfigApplyMs", "Bounds.RetryBudgetSlack", "Bounds.GraceS"} {
		values[name] = "7"
	}
	for name, missing := range map[string]func(string) string{
		"empty":        func(string) string { return "" },
		"not rendered": func(placeholder string) string { return placeholder },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			settings, err := Parse(renderTemplate(t, values, missing))
			is.NoErr(err)
			is.True(!bool(settings.Configuration.StrictKeys))
			is.Equal(settings.Configuration.KeysValidWithin, revision.Duration(0)) // stands for the default
			without := maps.Clone(values)
			delete(without, "Node")
			_, err = Parse(renderTemplate(t, without, missing))
			is.True(err != nil && strings.Contains(err.Error(), "host"))
		})
	}
}

// Strict keys must not be turned on or off by a text that states neither, nor where the age of the
// configuration is not known.
func TestStrictKeys(t *testing.T) {
	for text, wanted := range map[string]string{
		`true`: "true", `false`: "false", `"true"`: "true", `"True"`: "true", `"false"`: "false", `""`: "false",
		`"maybe"`: "", `2`: "", `"6"`: "", `[]`: "",
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			minimal := strings.Replace(strings.Replace(minimalSettings, "LEVEL", "info", 1), `"host"`,
				`"configuration": {"source": "operator", "strictKeys": `+text+`}, "host"`, 1)
			settings, err := Parse([]byte(minimal))
			is.Equal(err == nil, wanted != "")
			if err != nil {
				is.True(strings.Contains(err.Error(), "configuration.strictKeys: must be true or false"))
				return
			}
			is.Equal(fmt.Sprint(bool(settings.Configuration.StrictKeys)), wanted)
			settings.Configuration.Source = SourceTickets
			is.Equal(settings.Validate() == nil, wanted == "false")
		})
	}
}
