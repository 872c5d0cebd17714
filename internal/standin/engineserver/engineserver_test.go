package engineserver_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/pipenet"
	"bergamotreel/internal/sendonce"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/testkit"
)

const (
	unitBytes = 10 << 30
	// tokenTime is the duration of a decoding step of a batch of one.
	tokenTime = 10 * time.Millisecond
	// loadTime is the duration of a load from disk.
	loadTime = time.Second
)

// testbed is a set of engines and one client, in virtual time.
type testbed struct {
	*testing.T
	engine.Client
	start func(address string, options engineserver.Options) *engineserver.Engine
	// dials counts the connections made over HTTP.
	dials *int
}

// runOnAllClients runs a test with the in-memory client and with the HTTP client
// over HTTP/1.1 and HTTP/2, so that all of them behave like the same engine.
func runOnAllClients(t *testing.T, test func(b testbed)) {
	t.Run("memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			client := engineserver.NewInMemoryClient()
			test(testbed{t, client, func(address string, options engineserver.Options) *engineserver.Engine {
				e := newEngine(t, options)
				client.Put(address, e)
				return e
			}, nil})
		})
	})
	runOverHTTP(t, "http", false, test)
	runOverHTTP(t, "http2", true, test)
}

// runOverHTTP runs a test over HTTP/1.1. With http2 its streams use HTTP/2 once the
// engine has announced that it accepts HTTP/2.
func runOverHTTP(t *testing.T, name string, http2 bool, test func(b testbed)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			listeners, dials := map[string]*pipenet.Listener{}, 0
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				dials++
				return listeners[strings.TrimSuffix(address, ":80")].DialContext(ctx, network, address)
			}
			single, multiplexed := sendonce.NewClientWithDial(dial), sendonce.NewMultiplexedClientWithDial(dial)
			t.Cleanup(single.CloseIdleConnections)
			t.Cleanup(multiplexed.CloseIdleConnections)
			client := engine.NewClient(single)
			if http2 {
				client = client.WithMultiplexed(multiplexed, 0)
			}
			var protocols http.Protocols
			protocols.SetHTTP1(true)
			protocols.SetUnencryptedHTTP2(http2)
			test(testbed{t, client, func(address string, options engineserver.Options) *engineserver.Engine {
				e := newEngine(t, options)
				listeners[address] = pipenet.Listen()
				server := &http.Server{Handler: e.Handler(), Protocols: &protocols}
				go server.Serve(listeners[address])
				t.Cleanup(func() { server.Close() })
				return e
			}, &dials})
		})
	})
}

func newEngine(t *testing.T, options engineserver.Options) *engineserver.Engine {
	options.TokenTime = tokenTime
	options.DiskBytesPerSecond = unitBytes / loadTime.Seconds()
	e := engineserver.New(options)
	t.Cleanup(e.Close)
	return e
}

// wantError fails the test unless err matches want; a nil want means no error.
func (b testbed) wantError(err, want error) {
	b.Helper()
	testkit.Need(b, errors.Is(err, want), "got %v, want %v", err, want)
}

func newLoadOrder(token engine.Token, unit string) engine.Order {
	return engine.Order{Token: token, Action: engine.ActionLoad, Unit: unit, Checkpoint: unit + ".ckpt", Bytes: unitBytes}
}

func newUnloadOrder(token engine.Token, unit string) engine.Order {
	return engine.Order{Token: token, Action: engine.ActionUnload, Unit: unit}
}

// sendOrder sends an order and fails the test unless its error matches want; a nil
// want means that the engine accepts the order.
func (b testbed) sendOrder(address string, order engine.Order, want error) engine.Status {
	b.Helper()
	status, err := b.Order(b.Context(), address, order)
	b.wantError(err, want)
	return status
}

// loadUnit orders the load of a unit and waits twice the load time.
func (b testbed) loadUnit(address, unit string) {
	b.Helper()
	b.sendOrder(address, newLoadOrder(1, unit), nil)
	time.Sleep(2 * loadTime)
}

// startLoaded starts an engine "a" and loads unit "m" on it.
func (b testbed) startLoaded(options engineserver.Options) *engineserver.Engine {
	b.Helper()
	e := b.start("a", options)
	b.loadUnit("a", "m")
	return e
}

// wantGenerateError sends a request that must fail with want.
func (b testbed) wantGenerateError(address string, r engine.Request, want error) {
	b.Helper()
	_, err := b.Generate(b.Context(), address, r)
	b.wantError(err, want)
}

func (b testbed) status(address string) engine.Status {
	b.Helper()
	status, err := b.Status(b.Context(), address)
	b.wantError(err, nil)
	return status
}

// unitPhases returns an engine's units with their phases.
func (b testbed) unitPhases(address string) string {
	b.Helper()
	var list []string
	for _, unit := range b.status(address).Units {
		list = append(list, unit.Unit+" "+string(unit.Phase))
	}
	return strings.Join(list, ", ")
}

func (b testbed) wantPhases(address, want string) {
	b.Helper()
	got := b.unitPhases(address)
	testkit.Need(b, got == want, "%s holds %q instead of %q", address, got, want)
}

func newRequest(id, unit, prompt string, tokens int) engine.Request {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, prompt, tokens)
	return engine.Request{ID: id, Unit: unit, Path: "/v1/chat/completions", Body: []byte(body)}
}

// generate sends a request that the engine must accept.
func (b testbed) generate(address string, r engine.Request) engine.Stream {
	b.Helper()
	stream, err := b.Generate(b.Context(), address, r)
	b.wantError(err, nil)
	return stream
}

// readToEnd reads a stream to its end and returns its text, the number of chunks
// and the error that ended it.
func readToEnd(stream engine.Stream) (text string, chunks uint64, err error) {
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return text, chunks, err
		}
		var payload struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal(chunk.Data, &payload); err != nil {
			return text, chunks, err
		}
		text += payload.Choices[0].Delta.Content
		chunks++
	}
}

func (b testbed) wantCompleteAnswer(stream engine.Stream, r engine.Request) {
	b.Helper()
	text, _, err := readToEnd(stream)
	testkit.Need(b, err == io.EOF && text == engineserver.ExpectedText(r.Body), "got %q, %v", text, err)
}
