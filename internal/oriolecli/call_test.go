package oriolecli_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
)

// testCall implements orioletestcall, an HTTP client for scripts. Its arguments are
// METHOD URL [Name: value]... [body=text]. It prints the status, the outcome and the
// body of the response, and fails unless the status is 200.
func testCall(args []string) int {
	var body string
	header := http.Header{}
	for _, arg := range args[2:] {
		if text, isBody := strings.CutPrefix(arg, "body="); isBody {
			body = text
			continue
		}
		name, value, _ := strings.Cut(arg, ": ")
		header.Set(name, value)
	}
	req, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	req.Header = header
	// net/http ignores a Host header and sends this field.
	req.Host = header.Get("Host")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	fmt.Printf("status=%d outcome=%s\n%s\n", resp.StatusCode, resp.Header.Get("Oriole-Outcome"), respBody)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 1
	}
	return 0
}
