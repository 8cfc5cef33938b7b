package orioleauth_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/orioleauth"
)

func TestBearerTokenCheck(t *testing.T) {
	for _, test := range []struct {
		name, sent, secret string
		authorized         bool
	}{
		{"correct", "a-long-enough-secret", "a-long-enough-secret", true},
		{"wrong", "a-long-enough-secret", "another-long-secret", false},
		{"prefix of the secret", "a-long", "a-long-enough-secret", false},
		{"missing", "", "a-long-enough-secret", false},
		{"check disabled, missing", "", "", true},
		{"check disabled, sent", "a-long-enough-secret", "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(orioleauth.Authorized(&http.Request{Header: orioleauth.BearerHeader(test.sent)}, test.secret), test.authorized)
		})
	}
}
