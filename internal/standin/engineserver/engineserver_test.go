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
	// token is the time of a token in these tests.
	token = 10 * time.Millisecond
	// loadTime is the time of a load from disk.
	loadTime = time.Second
)

// bed is a few engines and one client, in virtual time.
type bed struct {
	*testing.T
	engine.Client
	start func(address string, options engineserver.Options) *engineserver.Engine
	// dials counts the connections made over HTTP.
	dials *int
}

// onBoth runs a test with the client in memory and with the one over HTTP, so
// that both stand for the same engine.
func onBoth(t *testing.T, test func(b bed)) {
	t.Run("memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fleet := engineserver.NewFleet()
			test(bed{t, fleet, func(address string, options engineserver.Options) *engineserver.Engine {
				e := newEngine(t, options)
				fleet.Put(address, e)
				return e
			}, nil})
		})
	})
	onHTTP(t, "http", false, test)
	onHTTP(t, "http2", true, test)
}

// onHTTP runs a test over HTTP/1.1; with http2 its streams go over HTTP/2 once the
// engine has said that it speaks it.
func onHTTP(t *testing.T, name string, http2 bool, test func(b bed)) {
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
			test(bed{t, client, func(address string, options engineserver.Options) *engineserver.Engine {
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
	options.TokenTime = token
	options.DiskBytesPerSecond = unitBytes / loadTime.Seconds()
	e := engineserver.New(options)
	t.Cleanup(e.Close)
	return e
}

// check fails the test unless err is want; nil wants no error.
func (b bed) check(err, want error) {
	b.Helper()
	testkit.Need(b, errors.Is(err, want), "got %v, want %v", err, want)
}

func loadOrder(at engine.Token, unit string) engine.Order {
	return engine.Order{Token: at, Action: engine.ActionLoad, Unit: unit, Checkpoint: unit + ".ckpt", Bytes: unitBytes}
}

func unloadOrder(at engine.Token, unit string) engine.Order {
	return engine.Order{Token: at, Action: engine.ActionUnload, Unit: unit}
}

// order sends an order that must end with want; nil: it is taken.
func (b bed) order(address string, order engine.Order, want error) engine.Status {
	b.Helper()
	status, err := b.Order(b.Context(), address, order)
	b.check(err, want)
	return status
}

// load loads a unit and waits for it.
func (b bed) load(address, unit string) {
	b.Helper()
	b.order(address, loadOrder(1, unit), nil)
	time.Sleep(2 * loadTime)
}

// loaded starts an engine "a" that has loaded unit "m".
func (b bed) loaded(options engineserver.Options) *engineserver.Engine {
	b.Helper()
	e := b.start("a", options)
	b.load("a", "m")
	return e
}

// refuse sends a request that must fail with want.
func (b bed) refuse(address string, r engine.Request, want error) {
	b.Helper()
	_, err := b.Generate(b.Context(), address, r)
	b.check(err, want)
}

func (b bed) status(address string) engine.Status {
	b.Helper()
	status, err := b.Status(b.Context(), address)
	b.check(err, nil)
	return status
}

// phases lists an engine's units with their phases.
func (b bed) phases(address string) string {
	b.Helper()
	var list []string
	for _, unit := range b.status(address).Units {
		list = append(list, unit.Unit+" "+string(unit.Phase))
	}
	return strings.Join(list, ", ")
}

func (b bed) wantPhases(address, want string) {
	b.Helper()
	got := b.phases(address)
	testkit.Need(b, got == want, "%s holds %q instead of %q", address, got, want)
}

func request(id, unit, prompt string, tokens int) engine.Request {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, prompt, tokens)
	return engine.Request{ID: id, Unit: unit, Path: "/v1/chat/completions", Body: []byte(body)}
}

// generate begins a stream that must be taken.
func (b bed) generate(address string, r engine.Request) engine.Stream {
	b.Helper()
	stream, err := b.Generate(b.Context(), address, r)
	b.check(err, nil)
	return stream
}

// read reads a stream to its end and returns its text, the number of chunks and
// the error that ended it.
func read(stream engine.Stream) (text string, chunks uint64, err error) {
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return text, chunks, err
		}
		var part struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal(chunk.Data, &part); err != nil {
			return text, chunks, err
		}
		text += part.Choices[0].Delta.Content
		chunks++
	}
}

func (b bed) wantWhole(stream engine.Stream, r engine.Request) {
	b.Helper()
	text, _, err := read(stream)
	testkit.Need(b, err == io.EOF && text == engineserver.ExpectedText(r.Body), "got %q, %v", text, err)
}
