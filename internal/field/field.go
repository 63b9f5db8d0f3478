// Package field checks the names of HTTP fields. net/http accepts a blank in a name, and then neither
// knows the field under its name nor refuses the message.
package field

import "strings"

// IsName reports whether a text is the name of a header or trailer field: a token (RFC 9110, 5.1).
func IsName(text string) bool {
	for i := range len(text) {
		if !isTokenByte(text[i]) {
			return false
		}
	}
	return text != ""
}

func isTokenByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
