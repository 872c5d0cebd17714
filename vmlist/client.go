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

// listTimeout bounds one call. It can be short because the list is read again
// soon.
const listTimeout = 5 * time.Second

// Client reads the VM list over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	last    atomic.Pointer[cachedList]
}

// cachedList is the last list that was read, with its body and entity tag.
type cachedList struct {
	etag string
	body []byte
	list List
}

// NewClient returns a client for the list at baseURL (http://IP:port). A nil
// httpClient selects one that connects directly, without a proxy.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = httpjson.DefaultClient()
	}
	return &Client{baseURL: baseURL, http: httpClient}
}

// List implements Lister. It fails with ErrUnavailable. The list is read each
// second and rarely changes, so an unchanged list is not parsed again, nor sent if
// the platform supports entity tags. Calls share the returned VMs: callers must not
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
	next := &cachedList{etag: response.Header.Get("ETag"), body: body}
	if last != nil && bytes.Equal(last.body, body) {
		next.list = last.list
	} else if err := json.Unmarshal(body, &next.list); err != nil {
		return List{}, err
	}
	c.last.Store(next)
	return next.list, nil
}

var _ Lister = (*Client)(nil)
