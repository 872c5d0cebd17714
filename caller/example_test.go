package caller_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"strings"

	"bergamotreel/caller"
)

// An entry VM serves the HTTP interface on top of its Backend and shuts down without
// interrupting a request.
func Example() {
	backend := &fakeBackend{generate: chunks(nil, `{"id":"a","model":"clerk","choices":[{"index":0,"delta":{"content":"Ready."}}]}`)}
	limits := caller.Limits{Connections: 100}
	server := caller.NewServer(caller.New(backend, limits), limits, nil)
	listener, err := caller.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		log.Fatal(err)
	}
	ended := make(chan error)
	go func() { ended <- server.Serve(listener) }()

	body := `{"model":"clerk","messages":[{"role":"user","content":"Is the tenor pan ready?"}],"stream":true}`
	r, err := http.NewRequest("POST", "http://"+listener.Addr().String()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		log.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer key-rental")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		log.Fatal(err)
	}
	defer answer.Body.Close()
	events, err := io.ReadAll(answer.Body)
	fmt.Println(answer.Status, err)
	fmt.Print(string(events))

	fmt.Println(server.Shutdown(context.Background()), <-ended)
	// Output:
	// 200 OK <nil>
	// id: 1
	// data: {"id":"a","model":"clerk","choices":[{"index":0,"delta":{"content":"Ready."}}]}
	//
	// data: [DONE]
	//
	// <nil> <nil>
}
