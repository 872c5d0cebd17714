package vmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"bergamotreel/internal/httpjson"
)

// listTimeout bounds one call; the list is asked again soon anyway.
const listTimeout = 5 * time.Second

// Client reaches the VM list over HTTP.
type Client struct {
	baseURL string
	http    *http.Client
	last    atomic.Pointer[answer]
}

// answer is a list as it was read, with its text.
type answer struct {
	etag string
	body []byte
	list List
}

// NewClient returns a client of the list at baseURL (http://IP:port). A nil
// httpClient means one that connects directly, without a proxy.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = httpjson.DefaultClient()
	}
	return &Client{baseURL: baseURL, http: httpClient}
}

// List implements Lister. It fails with ErrUnavailable. The list rarely changes and
// is read each second: one that is still the same is not parsed again, nor sent
// where the platform knows entity tags. The VMs are shared: callers must not
// change them.
func (c *Client) List(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := c.read(ctx)
	if err != nil {
		return List{}, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	return list, nil
}

func (c *Client) read(ctx context.Context) (List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/vms", nil)
	if err != nil {
		return List{}, err
	}
	last := c.last.Load()
	if last != nil && last.etag != "" {
		request.Header.Set("If-None-Match", last.etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return List{}, err
	}
	defer response.Body.Close()
	if last != nil && response.StatusCode == http.StatusNotModified {
		return last.list, nil
	}
	body, err := httpjson.Read(response)
	if err != nil {
		return List{}, err
	}
	next := &answer{etag: response.Header.Get("ETag"), body: body}
	if last != nil && bytes.Equal(last.body, body) {
		next.list = last.list
	} else if err := json.Unmarshal(body, &next.list); err != nil {
		return List{}, err
	}
	c.last.Store(next)
	return next.list, nil
}

var _ Lister = (*Client)(nil)
