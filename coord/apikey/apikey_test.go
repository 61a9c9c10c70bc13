package apikey

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A key that a newer version may have added must not be refused for good, one that it may have taken away
// must not pass where that is asked for, and malformed credentials must not make callers come again.
func TestDecide(t *testing.T) {
	const apply, valid = 2 * time.Second, 5 * time.Second
	lenient, strict := Rules{ApplyWithin: apply, ValidWithin: valid}, Rules{ApplyWithin: apply, Strict: true, ValidWithin: valid}
	fresh, superseded := Copy{Age: apply}, Copy{Superseded: true}
	old, invalid := Copy{Age: apply + 1}, Copy{Age: valid + 1, Superseded: true}
	cases := []struct {
		name        string
		credentials Credentials
		public      bool
		copied      Copy
		rules       Rules
		wanted      Verdict
	}{
		{"known key", Known, false, fresh, lenient, Admitted},
		{"known key, newer version elsewhere", Known, false, superseded, lenient, Admitted},
		{"known key, copy of any age", Known, false, invalid, lenient, Admitted},
		{"known key, strict, copy confirmed in time", Known, false, Copy{Age: valid}, strict, Admitted},
		{"known key, strict, copy not confirmed in time", Known, false, invalid, strict, Unconfirmed},
		{"unknown key", Unknown, false, fresh, lenient, Unauthorized},
		{"unknown key, newer version elsewhere", Unknown, false, superseded, lenient, Superseded},
		{"unknown key, old copy", Unknown, false, old, lenient, Outdated},
		{"unknown key, strict, old copy", Unknown, false, old, strict, Outdated},
		{"no key", Unusable, false, fresh, lenient, Unauthorized},
		{"no key, newer version elsewhere", Unusable, false, superseded, lenient, Unauthorized},
		{"no key, old copy", Unusable, false, invalid, lenient, Unauthorized},
		{"no key, strict, copy not confirmed in time", Unusable, false, invalid, strict, Unconfirmed},
		{"no key needed", Unusable, true, fresh, lenient, Admitted},
		{"no key needed, strict, copy not confirmed in time", Unknown, true, invalid, strict, Admitted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Decide(c.credentials, !c.public, c.copied, c.rules), c.wanted)
		})
	}
}
