package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"bergamotreel/internal/httpjson"
)

// Client is an Operator that sends its requests to an entry VM over HTTP.
type Client struct {
	base  string
	token string
	http  *http.Client
}

var _ Operator = (*Client)(nil)

// NewClient returns a client for the entry VM at baseURL, for example
// http://10.0.1.7:8081. A nil httpClient selects one without a proxy.
func NewClient(baseURL, token string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = httpjson.DefaultClient()
	}
	return &Client{base: strings.TrimSuffix(baseURL, "/"), token: token, http: httpClient}
}

// Publish implements Operator. It sends the request once.
func (c *Client) Publish(ctx context.Context, request PublishRequest) (PublishResult, error) {
	var result PublishResult
	body, err := json.Marshal(request)
	if err != nil {
		return result, Error.Wrap(fmt.Errorf("%w: %v", ErrBadRequest, err))
	}
	err = c.do(ctx, http.MethodPost, pathPublish, body, &result)
	return result, err
}

// Contracts implements Operator.
func (c *Client) Contracts(ctx context.Context) (contracts []ContractSummary, err error) {
	err = c.do(ctx, http.MethodGet, pathContracts, nil, &contracts)
	return contracts, err
}

// Contract implements Operator.
func (c *Client) Contract(ctx context.Context, customer string) (contract ContractInForce, err error) {
	err = c.do(ctx, http.MethodGet, pathContracts+"/"+url.PathEscape(customer), nil, &contract)
	return contract, err
}

// History implements Operator.
func (c *Client) History(ctx context.Context, customer string) (entries []HistoryEntry, err error) {
	err = c.do(ctx, http.MethodGet, pathContracts+"/"+url.PathEscape(customer)+"/history", nil, &entries)
	return entries, err
}

// Status implements Operator.
func (c *Client) Status(ctx context.Context) (report StatusReport, err error) {
	err = c.do(ctx, http.MethodGet, pathStatus, nil, &report)
	return report, err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(fmt.Errorf("%w: %v", ErrBadRequest, err))
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(request)
	if err != nil {
		return Error.Wrap(fmt.Errorf("%w: %v", transportError(method, err), err))
	}
	defer answer.Body.Close()
	return Error.Wrap(decode(answer, interruptedError(method), out))
}

// interruptedError returns the error for a request without a usable answer. A GET
// has no effect, so only a publish can have an unknown outcome.
func interruptedError(method string) error {
	if method == http.MethodGet {
		return ErrUnavailable
	}
	return ErrOutcomeUnknown
}

// transportError returns the error for a failure of the HTTP client. The request
// had no effect if no connection was established.
func transportError(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return interruptedError(method)
}

// decode decodes the body of an answer into out, or returns the error that it
// carries. For an answer that can't be decoded it returns undecodable.
func decode(answer *http.Response, undecodable error, out any) error {
	content, err := io.ReadAll(io.LimitReader(answer.Body, httpjson.MaxBody))
	if err != nil {
		return fmt.Errorf("%w: %v", undecodable, err)
	}
	if answer.StatusCode != http.StatusOK {
		var body errorBody
		if json.Unmarshal(content, &body) != nil || body.Code == "" {
			return fmt.Errorf("%w: status %s: %.100q", undecodable, answer.Status, content)
		}
		return fromWire(body)
	}
	if err := json.Unmarshal(content, out); err != nil {
		return fmt.Errorf("%w: %v", undecodable, err)
	}
	return nil
}
