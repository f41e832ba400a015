// Package client is a client of the callers' HTTP interface. It is used by the
// command line and by the load tool.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"mime"
	"net/http"
	"net/url"
	"strings"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// maxAnswerBytes bounds the answer that is read.
const maxAnswerBytes = 256 << 20

// Config configures a Client.
type Config struct {
	// URL is the base URL of a node or of a load balancer in front of the nodes.
	URL string
	// Token is sent as a bearer token; empty sends none.
	Token string
	// MaxIdleConnections is the maximum number of idle connections that are kept open.
	MaxIdleConnections int
}

// Client sends queries and commands. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client; it connects at the first query.
func New(cfg Config) (*Client, error) {
	base, err := url.Parse(cfg.URL)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, fault.New(fault.StepSettings, "", "%q is not an http or https URL", cfg.URL).WithField("url")
	}
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, MaxIdleConnsPerHost: max(cfg.MaxIdleConnections, 1)}
	return &Client{
		base:  strings.TrimSuffix(cfg.URL, "/"),
		token: cfg.Token,
		http:  &http.Client{Transport: transport},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Query sends one query. If the node replies with a problem document, the error is
// a *fault.Error with its status and outcome.
func (c *Client) Query(ctx context.Context, service string, request query.Request) (query.Answer, error) {
	var answer query.Answer
	err := c.post(ctx, service, "query", nil, request, &answer)
	return answer, err
}

// Command sends one command under an idempotency key. It returns the same errors as Query.
func (c *Client) Command(ctx context.Context, service, key string, request command.Request) (command.Answer, error) {
	var answer command.Answer
	header := http.Header{command.HeaderKey: {key}}
	err := c.post(ctx, service, "command", header, request, &answer)
	return answer, err
}

func (c *Client) post(ctx context.Context, service, kind string, header http.Header, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fault.Wrap(err, fault.StepDecode, "", "encode %s", kind)
	}
	path := c.base + "/v1/services/" + url.PathEscape(service) + "/" + kind
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.StepSend, c.base, "build request")
	}
	maps.Copy(httpRequest.Header, header)
	httpRequest.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return fault.Wrap(err, fault.StepSend, c.base, "send")
	}
	defer response.Body.Close()
	return c.decodeReply(response, answer)
}

// decodeReply decodes the body of a reply into answer, or returns its problem
// document as an error.
func (c *Client) decodeReply(response *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fault.Wrap(err, fault.StepReply, c.base, "read answer")
	}
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if mediaType == fault.ProblemType {
		var problem fault.Problem
		if err := json.Unmarshal(body, &problem); err != nil {
			return fault.Wrap(err, fault.StepReply, c.base, "decode problem")
		}
		return problem.Error()
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fault.Wrap(err, fault.StepReply, c.base, "status %d: decode answer", response.StatusCode)
	}
	return nil
}
