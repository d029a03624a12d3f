package site

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// ServerChannel is a channel of a router to a server, which serves one request at a time.
type ServerChannel struct {
	conn   net.Conn
	reader *bufio.Reader
	// Late holds bytes that are sent before the next answer.
	Late []byte
	// sent holds the bytes of the answer under way.
	sent bytes.Buffer
}

// Server accepts the channels to one server.
type Server struct {
	Addr     string
	listener net.Listener
	handle   func(*ServerChannel, *http.Request)

	mu       sync.Mutex
	channels map[net.Conn]bool
}

// Listen starts a server that calls handle for each request, one at a time on each channel.
func Listen(handle func(*ServerChannel, *http.Request)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{Op: "listen", Err: err}
	}
	s := &Server{Addr: listener.Addr().String(), listener: listener, handle: handle, channels: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.channels[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.forget(conn)
	channel := &ServerChannel{conn: conn, reader: bufio.NewReader(conn)}
	for {
		req, err := http.ReadRequest(channel.reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		channel.sent.Reset()
		s.handle(channel, req)
	}
}

func (s *Server) forget(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.channels, conn)
}

// Close ends the server as the end of its process does.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.channels {
		conn.Close()
	}
}

// Write sends bytes of an answer. Late bytes go first.
func (c *ServerChannel) Write(p []byte) error {
	if len(c.Late) > 0 {
		late := c.Late
		c.Late = nil
		if _, err := c.conn.Write(late); err != nil {
			return err
		}
	}
	c.sent.Write(p)
	_, err := c.conn.Write(p)
	return err
}

// writeRaw sends bytes that are no answer.
func (c *ServerChannel) writeRaw(p []byte) error {
	_, err := c.conn.Write(p)
	return err
}

// Sent returns a copy of the bytes of the last answer.
func (c *ServerChannel) Sent() []byte { return bytes.Clone(c.sent.Bytes()) }

// Answer sends a whole answer. It echoes the attempt ID of the request.
func (c *ServerChannel) Answer(req *http.Request, status int, header map[string]string, body string) error {
	return c.Write([]byte(head(req, status, header) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
}

// head returns the status line and the header of an answer without its last, empty line.
func head(req *http.Request, status int, header map[string]string) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if attempt := req.Header.Get("Attempt-Id"); attempt != "" {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", attempt)
	}
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	return b.String()
}
