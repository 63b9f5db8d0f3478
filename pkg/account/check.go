package account

import (
	"math"
	"strconv"
	"strings"
	"unicode"
)

// Field is a field of an account.
type Field string

// Fields of an account.
const (
	FieldName     Field = "name"
	FieldKeys     Field = "keys"
	FieldPriority Field = "priority"
	FieldRate     Field = "rate"
	FieldBurst    Field = "burst"
)

// FieldError describes an invalid field of an account. It never contains a key.
type FieldError struct {
	Account string
	Field   Field
	Problem string // what was found and expected
}

// Error names the account and the field.
func (e *FieldError) Error() string {
	return "account " + quote(e.Account) + ": " + string(e.Field) + ": " + e.Problem
}

func quote(name string) string { return strconv.Quote(name) }

// check returns an error for the first invalid field except the keys.
func (c *Config) check() error {
	fail := func(f Field, problem string) error { return &FieldError{c.Name, f, problem} }
	switch {
	case c.Name == "":
		return fail(FieldName, "found nothing, expected a name")
	case !isHeaderValue(c.Name):
		return fail(FieldName, "found surrounding spaces or a control character, expected a header value")
	case c.Priority < 0:
		return fail(FieldPriority, "found a negative number, expected 0 or more")
	case !isLimit(c.Limit.Rate):
		return fail(FieldRate, "expected a finite number of 0 or more")
	case !isLimit(c.Limit.Burst):
		return fail(FieldBurst, "expected a finite number of 0 or more")
	}
	return nil
}

// isHeaderValue reports whether a name arrives unchanged in a header. Targets get the name in
// one: control characters make a header invalid, and surrounding spaces are removed, which
// could make two names equal.
func isHeaderValue(name string) bool {
	return strings.TrimSpace(name) == name && !strings.ContainsFunc(name, unicode.IsControl)
}

func isLimit(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
