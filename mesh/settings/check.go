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

// violation is a value that a field does not allow.
type violation struct {
	path    string
	message string
}

// namePattern is the form of hosts, availability zones and regions. The bound
// keeps gossip records small.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// newValidator returns a validator that knows the tags of this package and
// names fields as in JSON.
var newValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	mustRegister(v, "name", func(f validator.FieldLevel) bool {
		return namePattern.MatchString(f.Field().String())
	})
	mustRegister(v, "hostport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	return v
})

func mustRegister(v *validator.Validate, tag string, check validator.Func) {
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(fmt.Sprintf("settings: tag %q: %v", tag, err))
	}
}

// Validate returns an error that joins every value that is not allowed. It serves
// settings that were built in code; Load checks files.
func (s *Settings) Validate() error {
	var errs []error
	for _, v := range violations(s) {
		errs = append(errs, fmt.Errorf("settings: %s: %s", v.path, v.message))
	}
	return errors.Join(errs...)
}

// violations returns every value that is not allowed, in the order of fields.
func violations(s *Settings) []violation {
	var fields validator.ValidationErrors
	if !errors.As(newValidator().Struct(s), &fields) {
		return tlsViolations(s)
	}
	result := make([]violation, 0, len(fields))
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		result = append(result, violation{path: path, message: allowed(f)})
	}
	return append(result, tlsViolations(s)...)
}

// allowed describes the values that a field allows.
func allowed(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "name":
		return "must be 1 to 64 lower-case letters, digits, dots, dashes and underscores, with a letter or digit at both ends" + found(f)
	case "hostport":
		return "must be an IP address and a port such as 127.0.0.1:7000" + found(f)
	case "ip":
		return "must be an IP address" + found(f)
	case "url":
		return "must be a URL such as http://127.0.0.1:7000" + found(f)
	case "oneof":
		return "must be one of " + strings.ReplaceAll(f.Param(), " ", ", ") + found(f)
	case "min":
		return "must be at least " + f.Param() + found(f)
	case "max":
		return "must be at most " + f.Param() + found(f)
	case "gt":
		return "must be above " + f.Param() + found(f)
	}
	return "must satisfy " + f.Tag() + " " + f.Param() + found(f)
}

func found(f validator.FieldError) string {
	if d, ok := f.Value().(revision.Duration); ok {
		return fmt.Sprintf(", not %s", d.Std())
	}
	if text, ok := f.Value().(string); ok {
		return fmt.Sprintf(", not %q", text)
	}
	return fmt.Sprintf(", not %v", f.Value())
}
