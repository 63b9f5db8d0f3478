package call

import (
	"net/http"
	"strings"
)

// HeaderAuthorization is the header in which a caller sends the key of its account.
const HeaderAuthorization = "Authorization"

// schemeBearer is the authentication scheme of a key (RFC 6750); its case doesn't matter.
const schemeBearer = "Bearer"

// BearerKey returns the key that a request carries. ok is false if it carries none, several,
// or credentials of another scheme.
func BearerKey(h http.Header) (key string, ok bool) {
	values := h[HeaderAuthorization]
	if len(values) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(strings.Trim(values[0], " \t"), " ")
	if !strings.EqualFold(scheme, schemeBearer) {
		return "", false
	}
	key = strings.Trim(key, " \t")
	return key, key != ""
}
