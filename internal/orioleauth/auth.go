// Package orioleauth authenticates gateways and operators to each other with
// the shared secret from the settings, sent as a bearer token.
package orioleauth

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

const (
	headerAuthorization = "Authorization"
	bearerPrefix        = "Bearer "
)

// BearerHeader returns the Authorization header with the secret as a bearer token, or
// an empty header if the secret is empty.
func BearerHeader(secret string) http.Header {
	header := http.Header{}
	if secret != "" {
		header.Set(headerAuthorization, bearerPrefix+secret)
	}
	return header
}

// Authorized reports whether the request carries the secret as its bearer token. An
// empty secret disables the check.
func Authorized(r *http.Request, secret string) bool {
	if secret == "" {
		return true
	}
	token, found := strings.CutPrefix(r.Header.Get(headerAuthorization), bearerPrefix)
	return found && subtle.ConstantTimeCompare([]byte(token), []byte(secret)) == 1
}
