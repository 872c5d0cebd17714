package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientTimeout is the deadline of the clients' requests.
const clientTimeout = 4 * time.Second

// client sends requests one after the other on a connection that it keeps. It sends each once.
type client struct {
	system *system
	vm     *entryVM
	conn   net.Conn
	reader *bufio.Reader
}

// clientAnswer is what a client got for a request. The status is 0 if there was no answer.
type clientAnswer struct {
	id     string
	status int
	// seal is the server's signature, empty if there is none.
	seal, body string
}

// send sends one request with the given header lines and body, and returns its answer.
func (c *client) send(method, path, headers, body string) clientAnswer {
	id := c.system.newRequestID()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.vm.callers, time.Second)
		if err != nil {
			c.system.note("client: no connection for %s: %v", id, err)
			return clientAnswer{id: id}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nBergamotreel-Attempt-Id: %s\r\nBergamotreel-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, id, clientTimeout.Milliseconds(), headers, len(body), body)
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := io.WriteString(c.conn, request); err != nil {
		c.close()
		c.system.note("client: %s not sent: %v", id, err)
		return clientAnswer{id: id}
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		c.system.note("client: no answer to %s: %v", id, err)
		return clientAnswer{id: id}
	}
	content, err := io.ReadAll(answer.Body)
	if err != nil || answer.Close {
		c.close()
	}
	c.system.note("client: %s %s answered %d %.160q", id, c.vm.name, answer.StatusCode, content)
	return clientAnswer{id, answer.StatusCode, answer.Header.Get("Bergamotreel-Server-Seal"), string(content)}
}

func (c *client) close() {
	_ = c.conn.Close()
	c.conn = nil
}
