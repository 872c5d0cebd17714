package vmlist

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bergamotreel/internal/httpjson"
)

// listTimeout bounds one call; the list is asked again soon anyway.
const listTimeout = 5 * time.Second

// Client reaches the VM list over HTTP.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the list at baseURL (http://IP:port). A nil
// httpClient means one that connects directly, without a proxy.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = httpjson.DefaultClient()
	}
	return &Client{baseURL: baseURL, http: httpClient}
}

// List implements Lister. It fails with ErrUnavailable.
func (c *Client) List(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var list List
	err := httpjson.Call(ctx, c.http, http.MethodGet, c.baseURL+"/vms", &list)
	if err != nil {
		return List{}, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	return list, nil
}

var _ Lister = (*Client)(nil)
