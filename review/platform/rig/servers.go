package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// backendServer is a stand-in of a plain service's backend server. It serves one request at a time
// on a connection.
type backendServer struct {
	system  *system
	id      string
	zone    string
	service string
	address string
	slots   int
	model   string
	// answer handles a request that is meant for this server.
	answer func(c *serverConn, r *http.Request, id string)
}

// serverConn is a connection that a backend server accepted.
type serverConn struct {
	net.Conn
	// closing ends the connection after the present request.
	closing bool
	// lateCopy is a second copy of an answer that is sent where the next answer is expected.
	lateCopy string
}

// reset closes the connection with a TCP reset.
func (c *serverConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
	c.closing = true
}

// addServer starts a backend server and writes its entry to the store. model is what an engine holds,
// empty for a plain service.
func (s *system) addServer(service, zone string, slots int, model string, answer func(b *backendServer, c *serverConn, r *http.Request, id string)) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b := &backendServer{
		system: s, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+len(s.servers)), zone: zone, service: service,
		address: listener.Addr().String(), slots: slots, model: model,
	}
	b.answer = func(c *serverConn, r *http.Request, id string) { answer(b, c, r, id) }
	s.servers = append(s.servers, b)
	go b.accept(listener)
	go b.beat()
	return nil
}

// beat writes the server's entry at each heartbeat.
func (b *backendServer) beat() {
	held := ""
	if b.model != "" {
		held = fmt.Sprintf(`,"stage":"mixed","models":[{"name":%q,"version":1,"adapters":[]}],"atHand":{"inMemory":[%[1]q],"onDisk":[%[1]q]}`, b.model)
	}
	for sequence := 1; ; sequence++ {
		b.system.store.Put("keyed.servers", b.id, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldLeftMs":0,"sequence":%d%s}`,
			b.service, b.address, b.zone, b.slots, sequence, held))
		select {
		case <-b.system.done:
			return
		case <-time.After(beatInterval):
		}
	}
}

func (b *backendServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go b.serve(&serverConn{Conn: conn})
	}
}

func (b *backendServer) serve(c *serverConn) {
	defer c.Conn.Close()
	reader := bufio.NewReader(c)
	for !c.closing {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Bergamotreel-Attempt-Id")
		switch target := r.Header.Get("Bergamotreel-Target-Instance"); {
		case target != "" && target != b.id:
			writeAnswer(c, http.StatusMisdirectedRequest, id, "Bergamotreel-Instance-Id: "+b.id+"\r\n", "")
		case id == "" && b.model == "":
			writeAnswer(c, http.StatusBadRequest, id, "Bergamotreel-Not-Run: 1\r\n", "")
		default:
			b.answer(c, r, id)
		}
	}
}

// writeAnswer sends a whole answer.
func writeAnswer(c *serverConn, status int, id, headers, body string) {
	_, _ = io.WriteString(c, formatAnswer(status, id, headers, body))
}

// formatAnswer returns the bytes of an answer; headers are whole lines.
func formatAnswer(status int, id, headers, body string) string {
	if id != "" {
		headers = "Bergamotreel-Attempt-Id: " + id + "\r\n" + headers
	}
	return fmt.Sprintf("HTTP/1.1 %03d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), headers, len(body), body)
}

// seal returns the header line with the server's signature of the run.
func (b *backendServer) seal(id string, run int) string {
	return fmt.Sprintf("Bergamotreel-Server-Seal: %s.%s.%d\r\n", b.id, id, run)
}

// rejection returns the answer of a server that doesn't run the request.
func rejection(id string) string {
	return formatAnswer(http.StatusServiceUnavailable, id, "Bergamotreel-Not-Run: 1\r\n", "")
}
