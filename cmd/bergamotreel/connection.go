package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"bergamotreel/internal/httpjson"
	"bergamotreel/internal/verbs"
	"bergamotreel/operator"
)

// defaultOperatorsURL is where `dev` serves operators.
const defaultOperatorsURL = "http://127.0.0.1:8081"

// connection holds the flags that select the entry VM that an operator's verb calls.
type connection struct {
	url       string
	token     string
	tokenFile string
	caFile    string
	// open creates the Operator. Tests replace it.
	open func() (operator.Operator, error)
}

func newConnection() *connection {
	c := &connection{url: defaultOperatorsURL}
	c.open = c.client
	return c
}

func (c *connection) attach(sub *flaggy.Subcommand) {
	sub.String(&c.url, "o", "operators", "URL of an entry VM's operators_address")
	sub.String(&c.token, "t", "token", "operator's token; other users of this machine can see it, so prefer -token-file")
	sub.String(&c.tokenFile, "f", "token-file", "file with the operator's token")
	sub.String(&c.caFile, "c", "ca", "PEM file with the certificate that signs the entry VM's")
}

// client creates the operators' HTTP client from the flags.
func (c *connection) client() (operator.Operator, error) {
	parsed, err := url.Parse(c.url)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return nil, verbs.UsageError("-operators %q: want http://IP:port or https://IP:port", c.url)
	}
	token, err := c.readToken()
	if err != nil {
		return nil, err
	}
	httpClient, err := c.httpClient()
	if err != nil {
		return nil, err
	}
	return operator.NewClient(c.url, token, httpClient), nil
}

func (c *connection) readToken() (string, error) {
	switch {
	case c.token != "" && c.tokenFile != "":
		return "", verbs.UsageError("give -token or -token-file, not both")
	case c.token != "":
		return c.token, nil
	case c.tokenFile == "":
		return "", verbs.UsageError("-token-file is missing")
	}
	content, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return "", verbs.UsageError("-token-file: %w", err)
	}
	return strings.TrimSpace(string(content)), nil
}

// requestTimeout is longer than the server's own timeouts, so that the server's answer
// arrives first.
const requestTimeout = operator.PublishTimeout + 5*time.Second

func (c *connection) httpClient() (*http.Client, error) {
	if c.caFile == "" {
		return withTimeout(httpjson.DefaultClient()), nil
	}
	pem, err := os.ReadFile(c.caFile)
	if err != nil {
		return nil, verbs.UsageError("-ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, verbs.UsageError("-ca: %s holds no certificate", c.caFile)
	}
	return withTimeout(httpjson.TLSClient(&tls.Config{RootCAs: pool})), nil
}

func withTimeout(client *http.Client) *http.Client {
	client.Timeout = requestTimeout
	return client
}
