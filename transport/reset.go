package transport

import "net"

// SetResetOnClose sets whether the end of a TCP connection, also by the end of the process, is a reset. Otherwise it is an orderly close.
// It does nothing to other connections.
func SetResetOnClose(conn net.Conn, reset bool) error {
	tcp, ok := conn.(*net.TCPConn)
	switch {
	case !ok:
		return nil
	case reset:
		return tcp.SetLinger(0)
	}
	return tcp.SetLinger(-1)
}
