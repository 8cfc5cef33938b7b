package oriolelink

import (
	"bufio"
	"net"
	"net/http"

	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// hijackWriter records what passes through the connection of a request from its upgrade
// on.
type hijackWriter struct {
	http.ResponseWriter
	clock  oriole.Clock
	socket *oriolesocket.Conn
}

// Hijack implements http.Hijacker.
func (w *hijackWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffers, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	w.socket = oriolesocket.NewConn(conn, w.clock)
	// The writer's buffer is empty: net/http has made it for the caller.
	buffers.Writer.Reset(w.socket)
	return w.socket, buffers, nil
}
