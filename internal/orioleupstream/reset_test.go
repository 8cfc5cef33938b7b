package orioleupstream_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// unframedHead is the head of a response whose body ends with the connection.
func unframedHead(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n\r\n"
}

// startEarlyUpstream starts an upstream that answers each request once it has read the head
// and a part of the body, with a body of ten bytes and no length, and then calls end.
func startEarlyUpstream(t *testing.T, part int64, end func(conn *net.TCPConn, body io.Reader)) oriole.Upstream {
	t.Helper()
	return listen(t, func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, req.Body, part); err != nil {
			return
		}
		_, _ = io.WriteString(conn, unframedHead(req.Header.Get("X-Attempt-Id"))+"ten bytes!")
		end(conn.(*net.TCPConn), req.Body)
	})
}

// upload returns a request with a body of the size.
func upload(id string, size int) oriole.Request {
	r := request(id)
	r.Body = bytes.Repeat([]byte("u"), size)
	r.Deadline = time.Now().Add(10 * time.Second)
	return r
}

// TestResetDuringUploadIsNotEndOfResponse guards against a part of a response that is taken
// for the whole: its body ends with the connection, which is reset while the request is
// written. The write gets the error, and the read only the end.
func TestResetDuringUploadIsNotEndOfResponse(t *testing.T) {
	const attempts = 20
	for _, size := range []int{1 << 10, 64 << 10, 1 << 20, 4 << 20, 16 << 20} {
		for _, part := range []int64{0, 256 << 10} {
			for _, wait := range []time.Duration{0, 2 * time.Millisecond, 50 * time.Millisecond} {
				if part >= int64(size) {
					continue
				}
				t.Run(fmt.Sprintf("%d KiB, %d KiB read, after %v", size>>10, part>>10, wait), func(t *testing.T) {
					is := is.New(t)
					to := startEarlyUpstream(t, part, func(conn *net.TCPConn, _ io.Reader) {
						time.Sleep(wait)
						_ = conn.SetLinger(0) // the connection is reset when it is closed
					})
					sender := newSender(t)
					answered := 0
					for n := range attempts {
						resp := sender.Send(context.Background(), to, upload(fmt.Sprint(n), size))
						if resp.Outcome != oriole.OutcomeUnknown {
							answered++
						}
					}
					t.Logf("%d of %d answered", answered, attempts)
					is.Equal(answered, 0)
				})
			}
		}
	}
}

// TestEndOfConnectionEndsResponseToUpload guards against rejecting or holding up a response
// that is complete because its body could have been cut off.
func TestEndOfConnectionEndsResponseToUpload(t *testing.T) {
	const size = 4 << 20
	held := make(chan struct{})
	defer close(held)
	for _, test := range []struct {
		name string
		part int64
		end  func(conn *net.TCPConn, body io.Reader)
	}{
		{"the upload is read first", size, func(*net.TCPConn, io.Reader) {}},
		{"the upload is read afterwards", 0, func(conn *net.TCPConn, body io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		}},
		{"the upload is not read", 0, func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			<-held
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sender := newSender(t)
			r := upload("1", size)
			resp := sender.Send(context.Background(), startEarlyUpstream(t, test.part, test.end), r)
			is.Equal(resp.Outcome, oriole.OutcomeAnswered)
			is.Equal(string(resp.Body), "ten bytes!")
			is.True(time.Now().Before(r.Deadline))
		})
	}
}

// TestResetAfterFramedResponseToUpload guards against rejecting a response that is complete
// by its length or its chunks because the connection is reset after it.
func TestResetAfterFramedResponseToUpload(t *testing.T) {
	for name, framed := range map[string]string{
		"length": "Content-Length: 10\r\n\r\nten bytes!",
		"chunks": "Transfer-Encoding: chunked\r\n\r\na\r\nten bytes!\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to := listen(t, func(conn net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+req.Header.Get("X-Attempt-Id")+"\r\nX-Response-Signature: s\r\n"+framed)
				time.Sleep(20 * time.Millisecond) // the response is read by then
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			resp := newSender(t).Send(context.Background(), to, upload("1", 4<<20))
			is.Equal(resp.Outcome, oriole.OutcomeAnswered)
			is.Equal(string(resp.Body), "ten bytes!")
		})
	}
}
