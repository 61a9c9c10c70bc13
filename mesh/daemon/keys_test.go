package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/apikey"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/settings"
)

// A deployment without the values for API keys must get the default, and strict keys that are valid for less than
// the apply bound must not expire in between two confirmations of a store that is in reach.
func TestKeyRules(t *testing.T) {
	is := is.New(t)
	configuration := settings.Default().Configuration
	configuration.KeysValidWithin = 0
	is.Equal(keyRules(&configuration), apikey.Rules{ApplyWithin: 2 * time.Second, ValidWithin: 5 * time.Second})
	is.Equal(confirmWithin(&configuration), 2*time.Second)
	configuration.KeysValidWithin = revision.Duration(time.Second)
	is.Equal(confirmWithin(&configuration), 2*time.Second)
	configuration.StrictKeys = true
	is.Equal(confirmWithin(&configuration), time.Second)
	configuration.KeysValidWithin = revision.Duration(5 * time.Second)
	is.Equal(confirmWithin(&configuration), 2*time.Second)
}
