package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"

	"sassafrasnotch.example/coord/revision"
)

// violation is an invalid value of a field.
type violation struct {
	path    string // such as "entry.listen"
	message string // what the field requires
}

// namePattern matches the names of hosts, availability zones and regions. The maximum of 64
// characters keeps gossip records small.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// newValidator returns a validator with the validation tags of this package. It names fields by
// their JSON keys.
var newValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	mustRegisterTag(v, "name", func(f validator.FieldLevel) bool {
		return namePattern.MatchString(f.Field().String())
	})
	mustRegisterTag(v, "hostport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	return v
})

// mustRegisterTag adds a validation tag and panics on an error.
func mustRegisterTag(v *validator.Validate, tag string, check validator.Func) {
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(fmt.Sprintf("settings: tag %q: %v", tag, err))
	}
}

// Validate returns an error that joins one error for each invalid value, or nil. It is for settings
// that are built in code; Load and Parse validate what they read.
func (s *Settings) Validate() error {
	var errs []error
	for _, v := range violations(s) {
		errs = append(errs, fmt.Errorf("settings: %s: %s", v.path, v.message))
	}
	return errors.Join(errs...)
}

// violations returns every invalid value: in the order of the fields, then those of the TLS
// settings.
func violations(s *Settings) []violation {
	var fields validator.ValidationErrors
	if !errors.As(newValidator().Struct(s), &fields) {
		return append(configurationViolations(s), tlsViolations(s)...)
	}
	result := make([]violation, 0, len(fields))
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		result = append(result, violation{path: path, message: describe(f)})
	}
	return append(append(result, configurationViolations(s)...), tlsViolations(s)...)
}

// configurationViolations returns the contradictory values of Configuration.
func configurationViolations(s *Settings) []violation {
	if s.Configuration.StrictKeys && s.Configuration.Source != SourceOperator {
		return []violation{{"configuration.strictKeys", "requires configuration.source " + SourceOperator + ": the age of a copy of tickets is not known"}}
	}
	return nil
}

// describe returns a description of the valid values of a field and of its actual value.
func describe(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "name":
		return "must be 1 to 64 lower-case letters, digits, dots, dashes and underscores, with a letter or digit at both ends" + actual(f)
	case "hostport":
		return "must be an IP address and a port such as 127.0.0.1:7000" + actual(f)
	case "ip":
		return "must be an IP address" + actual(f)
	case "url":
		return "must be a URL such as http://127.0.0.1:7000" + actual(f)
	case "oneof":
		return "must be one of " + strings.ReplaceAll(f.Param(), " ", ", ") + actual(f)
	case "min":
		return "must be at least " + f.Param() + actual(f)
	case "max":
		return "must be at most " + f.Param() + actual(f)
	case "gt":
		return "must be above " + f.Param() + actual(f)
	}
	return "must satisfy " + f.Tag() + " " + f.Param() + actual(f)
}

// actual returns the suffix of a message that states the actual value of a field.
func actual(f validator.FieldError) string {
	if d, ok := f.Value().(revision.Duration); ok {
		return fmt.Sprintf(", not %s", d.Std())
	}
	if text, ok := f.Value().(string); ok {
		return fmt.Sprintf(", not %q", text)
	}
	return fmt.Sprintf(", not %v", f.Value())
}
