package orioleingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEndlessBytesOfCaller checks that a caller that sends bytes without end, fast
// or slowly, is answered within the timeout of its route, that no request reaches
// the dispatcher, and that the gateway serves others.
func TestEndlessBytesOfCaller(t *testing.T) {
	for _, test := range []struct {
		name    string
		prefix  string
		endless string
		pause   time.Duration
		want    int // 0 if the connection may be closed without a response
	}{
		{"request line", "GET /a/", "x", 0, http.StatusRequestHeaderFieldsTooLarge},
		{"header line", post + "A: ", "x", 0, http.StatusRequestHeaderFieldsTooLarge},
		{"header lines", post, "A: b\r\n", 0, http.StatusRequestHeaderFieldsTooLarge},
		{"chunked body", post + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0, http.StatusRequestEntityTooLarge},
		{"chunk extension", post + "Transfer-Encoding: chunked\r\n\r\n1;", "x", 0, 0},
		{"slow chunked body", post + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 100 * time.Millisecond, http.StatusRequestTimeout},
		{"body that stops", post + "Content-Length: 9\r\n\r\nx", "", 100 * time.Millisecond, http.StatusRequestTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			addr, dispatcher := listen(t)
			conn, err := net.Dial("tcp", addr)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(8 * time.Second)))
			go func() {
				text := test.prefix
				for {
					if _, err := io.WriteString(conn, text); err != nil {
						return
					}
					text = test.endless
					if test.pause == 0 {
						text = strings.Repeat(test.endless, 1024)
					}
					time.Sleep(test.pause)
				}
			}()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if test.want != 0 {
				is.NoErr(err)
				is.Equal(resp.StatusCode, test.want)
			}
			is.Equal(exchange(t, addr, post+"Content-Length: 2\r\n\r\nab", 1), []int{http.StatusOK})
			is.Equal(dispatcher.received(), []string{"POST /a/1 ab"})
		})
	}
}

// TestBodiesCountWhileTheyAreRead checks that bodies whose length is not known
// count towards the limit of buffered bytes as they are read, and no more once
// their requests have ended.
func TestBodiesCountWhileTheyAreRead(t *testing.T) {
	is := is.New(t)
	h := &Handler{}
	h.buffered.Store(maxBufferedBytes + 1)
	counted := &countingReader{Reader: strings.NewReader("body"), total: &h.buffered}
	_, err := io.ReadAll(counted)
	is.Equal(err, errBufferFull)
	h.buffered.Store(0)
	_, err = io.ReadAll(counted)
	is.NoErr(err)
	is.Equal(h.buffered.Load(), int64(4))
}
