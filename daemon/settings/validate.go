package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"slipcrank.example/core/fault"
)

var (
	checker = newChecker()

	// remedies has the remedy for each validation tag; %s is the tag's parameter.
	remedies = map[string]string{
		"required":      "give a value",
		"required_with": "set all three keys of tls, or none",
		"required_if":   "the chosen trace.exporter needs this key",
		"ipport":        "use an IP number and a port, such as 127.0.0.1:8080",
		"hexadecimal":   "use the hex digest that sha256sum prints",
		"len":           "use the 64 hex digits that sha256sum prints",
		"oneof":         "use one of: %s",
		"gte":           "use at least %s",
		"gt":            "use more than %s",
		"gtfield":       "use a time after %s",
		"min":           "give at least %s",
		"lte":           "use at most %s",
		"max":           "use at most %s characters",
	}
)

// newChecker returns a validator that names fields by their YAML keys.
func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("yaml"), ",")[0]
	})
	err := v.RegisterValidation("ipport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	if err != nil {
		panic(err) // can't happen: the tag and the function are constant
	}
	return v
}

// ParseInto decodes YAML into v, a pointer to a struct that may have validate tags.
// It treats unknown keys and bad values as settings do: it returns a fault with a
// remedy.
func ParseInto(b []byte, v any) error {
	if err := decode(b, v); err != nil {
		return err
	}
	return validate(v)
}

// Validate returns a fault that names the first key with a bad value, the value and
// the remedy, or nil if all values are good.
func (s Settings) Validate() error { return validate(s) }

func validate(s any) error {
	err := checker.Struct(s)
	if err == nil {
		return nil
	}
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) || len(invalid) == 0 {
		return errors.Wrap(err, "check settings")
	}
	f := invalid[0]
	_, key, _ := strings.Cut(f.Namespace(), ".")
	remedy, ok := remedies[f.Tag()]
	if !ok {
		remedy = "see docs/OPERATIONS.md"
	}
	if strings.Contains(remedy, "%s") {
		remedy = fmt.Sprintf(remedy, f.Param())
	}
	value := fmt.Sprint(f.Value())
	if strings.Contains(key, "token") {
		value = "(hidden)"
	}
	return fault.Newf(fault.BadRequest, remedy, "setting %s has the bad value %q", key, value)
}
