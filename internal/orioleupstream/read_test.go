package orioleupstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
)

// scriptedConn is a connection from which data can be read, and then end.
type scriptedConn struct {
	net.Conn
	data *bytes.Reader
	end  error
}

// Read implements io.Reader.
func (c *scriptedConn) Read(data []byte) (int, error) {
	if c.data.Len() == 0 {
		return 0, c.end
	}
	return c.data.Read(data)
}

// readResponse reads the response to a request with the ID 7 from a connection
// that ends after data with end. It returns how many bytes the response took.
func readResponse(method string, data []byte, end error, used bool) (resp *Response, consumed int, err error) {
	raw := &scriptedConn{data: bytes.NewReader(data), end: end}
	c := &conn{Conn: raw, head: headLimiter{conn: raw, remaining: -1}, used: used}
	c.in = bufio.NewReaderSize(&c.head, bufferSize)
	unnamed := false
	resp, _, err = c.read(Call{
		Request: &http.Request{Method: method},
		MatchesRequest: func(resp *http.Response) bool {
			id := resp.Header.Get("Id")
			unnamed = id == ""
			return unnamed || id == "7"
		},
		Unnamed: func() bool { return unnamed },
	}, &oriolememory.Hold{})
	return resp, len(data) - raw.data.Len() - c.in.Buffered(), err
}

// FuzzRead checks that a response is complete and belongs to the request, whatever
// bytes come, and wherever and however they end.
func FuzzRead(f *testing.F) {
	const ok = "HTTP/1.1 200 OK\r\nId: 7\r\n"
	for _, text := range []string{
		ok + "Content-Length: 12\r\n\r\nhello, world",
		ok + "Content-Length: 0\r\n\r\n",
		ok + "\r\nwithout length",
		ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
		ok + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n",
		ok + "Content-Length: 1\r\nContent-Length: 12\r\n\r\nhello, world",
		"HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 3\r\n\r\nold" + ok + "Content-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nId: 6\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello",
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello",
		"HTTP/1.1 204 No Content\r\nId: 7\r\n\r\nextra",
		"HTTP/1.1 101 Switching Protocols\r\nId: 7\r\nUpgrade: x\r\n\r\n" + ok + "\r\n",
		"HTTP/1.0 200 OK\nId: 7\n\nbody",
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 5),
		ok + strings.Repeat("A: b\r\n", 20000),
		ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;abcdefghijklmnopqrstuvwxyz\r\nx\r\n", 2000),
		"220 mail.example ready\r\n\r\n",
	} {
		for _, cut := range []uint16{0, 20, 40, 60, 1 << 15} {
			f.Add([]byte(text), cut, false, false)
			f.Add([]byte(text), cut, true, true)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, cut uint16, used, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		resp, consumed, err := readResponse(method, data, io.EOF, used)
		if err != nil {
			return
		}
		if id := resp.Header.Get("Id"); id != "7" && (used || id != "") {
			t.Fatalf("response has ID %q, used %v", id, used)
		}
		_, _, err = readResponse(method, data[:consumed], syscall.ECONNRESET, used)
		framed := err == nil
		if int(cut) >= consumed {
			return
		}
		if cutResp, _, err := readResponse(method, data[:cut], syscall.ECONNRESET, used); err == nil {
			t.Fatalf("reset after %d of %d bytes: body %q", cut, consumed, cutResp.Body)
		}
		if cutResp, _, err := readResponse(method, data[:cut], io.EOF, used); err == nil && framed {
			t.Fatalf("end after %d of %d bytes: body %q", cut, consumed, cutResp.Body)
		}
	})
}

// partsConn is a connection from which the parts can be read one by one, and then
// an error.
type partsConn struct {
	net.Conn
	parts []string
	err   error
}

func (c *partsConn) Read(data []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, c.err
	}
	n := copy(data, c.parts[0])
	c.parts = c.parts[1:]
	return n, nil
}

func (c *partsConn) Write(data []byte) (int, error) { return len(data), nil }

func (c *partsConn) SetReadDeadline(time.Time) error { return nil }

// Where responses bear no ID, an extra one that comes a moment later makes the
// first ambiguous on a connection that has carried an earlier call.
func TestExtraResponseIsAwaitedWhereNoneBearsID(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for _, test := range []struct {
		name  string
		parts []string
		used  bool
		want  error
	}{
		{"extra response", []string{text, text}, true, ErrAmbiguous},
		{"none in time", []string{text}, true, nil},
		{"new connection", []string{text, text}, false, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			raw := &partsConn{parts: test.parts, err: os.ErrDeadlineExceeded}
			c := &conn{Conn: raw, head: headLimiter{conn: raw, remaining: -1}, used: test.used}
			c.in, c.out = bufio.NewReaderSize(&c.head, bufferSize), bufio.NewWriter(io.Discard)
			_, reusable, err := c.exchange(context.Background(), Call{
				Request:        &http.Request{Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: "h", Path: "/"}},
				MatchesRequest: func(*http.Response) bool { return true },
				ExtraWait:      time.Millisecond,
			}, &oriolememory.Hold{})
			is.True(errors.Is(err, test.want))
			is.Equal(reusable, test.want == nil)
		})
	}
}

// TestOnlyValidStatusesAreRead guards against a status that net/http accepts and HTTP does
// not define, such as 000, +20 and 999.
func TestOnlyValidStatusesAreRead(t *testing.T) {
	const alphabet = "0123456789+-_xX. "
	for _, a := range alphabet {
		for _, b := range alphabet {
			for _, c := range alphabet {
				status := string([]rune{a, b, c})
				data := "HTTP/1.1 " + status + " OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n"
				resp, _, err := readResponse(http.MethodGet, []byte(data), os.ErrDeadlineExceeded, false)
				digits := b >= '0' && b <= '9' && c >= '0' && c <= '9'
				final, interim := digits && a >= '2' && a <= '5', digits && a == '1' && status != "101"
				// After an interim response the next one is awaited.
				if (err == nil) != final || errors.Is(err, os.ErrDeadlineExceeded) != interim {
					t.Errorf("status %q: response %v, error %v", status, resp, err)
				}
			}
		}
	}
}
