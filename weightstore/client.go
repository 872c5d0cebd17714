package weightstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"bergamotreel/internal/httpjson"
)

// queryTimeout bounds a query. A fetch is bounded only by its caller's context.
const queryTimeout = 5 * time.Second

// FetchAnswer is the JSON answer to a completed fetch.
type FetchAnswer struct {
	Checkpoint
	// DurationMS is how long the fetch took in the store, in milliseconds.
	DurationMS int64 `json:"took_ms"`
}

// Client accesses the weight store over HTTP.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the store at baseURL (http://IP:port). A nil
// httpClient selects one that connects directly, without a proxy.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = httpjson.DefaultClient()
	}
	return &Client{baseURL: baseURL, http: httpClient}
}

// Checkpoint implements Store. It fails with ErrNotFound or ErrUnavailable.
func (c *Client) Checkpoint(ctx context.Context, name string) (Checkpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var checkpoint Checkpoint
	err := c.call(ctx, http.MethodGet, "/checkpoints/"+url.PathEscape(name), &checkpoint)
	return checkpoint, err
}

// Status implements Store. It fails with ErrUnavailable.
func (c *Client) Status(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var status Status
	err := c.call(ctx, http.MethodGet, "/status", &status)
	return status, err
}

// Fetch waits until the store has delivered the whole checkpoint; engines use
// it. It fails with ErrNotFound or ErrUnavailable; fetching again is harmless.
func (c *Client) Fetch(ctx context.Context, name string) error {
	var answer FetchAnswer
	return c.call(ctx, http.MethodPost, "/fetch/"+url.PathEscape(name), &answer)
}

func (c *Client) call(ctx context.Context, method, path string, out any) error {
	err := httpjson.Call(ctx, c.http, method, c.baseURL+path, out)
	if err == nil {
		return nil
	}
	if httpjson.IsStatus(err, http.StatusNotFound) {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrNotFound, err))
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
}

var _ Store = (*Client)(nil)
