// Package unframed reads and writes HTTP answers that have neither a length nor chunks, and whose end is that
// of their connection.
//
// Such an answer also ends when the process that writes it does, since the kernel closes its connections.
// From Begin to End any close therefore resets the connection, which no reader takes for an end.
package unframed

import (
	"net"
	"net/http"
)

// Begin sets the header of an answer without a length or chunks and makes a close of its connection, which
// may be nil if unknown, a reset. It is called before the header is written.
func Begin(header http.Header, conn net.Conn) {
	header.Set("Transfer-Encoding", "identity")
	setLinger(conn, 0)
}

// End makes a close of the connection the end of an answer that is written completely.
func End(conn net.Conn) { setLinger(conn, -1) }

func setLinger(conn net.Conn, seconds int) {
	for {
		outer, wraps := conn.(interface{ NetConn() net.Conn })
		if !wraps {
			break
		}
		conn = outer.NetConn()
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		// It fails only for a connection that is closed.
		_ = tcp.SetLinger(seconds)
	}
}
