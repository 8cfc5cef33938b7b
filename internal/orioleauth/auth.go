// Package orioleauth authenticates requests from other gateways and from operators
// by the shared secret of the settings, which they carry as a bearer token.
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

// BearerHeader returns a header with the secret as a bearer token, or an empty
// header if the secret is empty.
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
