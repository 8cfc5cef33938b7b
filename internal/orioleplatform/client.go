// Package orioleplatform is the client of the platform's object API.
//
// The API is plain HTTP: GET and PUT of /objects/{name} with ETag, If-Match and
// If-None-Match for versions; GET /watch?prefix=&after=&wait= for changes; GET
// /vms and PUT /vms/{id} for the lagging list of VMs.
package orioleplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// maxValue is the largest value that the platform holds, in bytes.
const maxValue = 1 << 20

// maxAnswer bounds the answer to a watch, in bytes.
const maxAnswer = 16 << 20

// connections bounds the connections to the platform.
const connections = 8

// Client implements oriole.Store.
type Client struct {
	base string
	http *http.Client
}

var _ oriole.Store = (*Client)(nil)

// New returns a client of the API at addr, and a function that closes its
// connections.
func New(addr netip.AddrPort) (client *Client, cleanup func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
	}
	return &Client{base: "http://" + addr.String(), http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Read implements oriole.Store.
func (c *Client) Read(ctx context.Context, name string) (object oriole.Object, err error) {
	defer func() {
		if err != nil && !errors.Is(err, oriole.ErrNotFound) {
			err = errors.Wrapf(err, "reading object %s", name)
		}
	}()
	resp, body, err := c.do(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil, nil)
	if err != nil {
		return object, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		version, err := parseTag(resp.Header.Get("ETag"))
		return oriole.Object{Name: name, Version: version, Value: body}, err
	case http.StatusNotFound:
		return object, oriole.ErrNotFound
	default:
		return object, errors.Errorf("status %d", resp.StatusCode)
	}
}

// Write implements oriole.Store.
func (c *Client) Write(ctx context.Context, name string, value []byte, expected oriole.Version) (version oriole.Version, err error) {
	defer func() {
		if err != nil && !errors.Is(err, oriole.ErrConflict) {
			err = errors.Wrapf(err, "writing object %s", name)
		}
	}()
	if len(value) > maxValue {
		return 0, errors.Wrapf(oriole.ErrConflict, "value has %d bytes, the most is %d", len(value), maxValue)
	}
	header := http.Header{}
	if expected == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", formatTag(expected))
	}
	resp, _, err := c.do(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), header, value)
	if err != nil {
		return 0, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return parseTag(resp.Header.Get("ETag"))
	case http.StatusPreconditionFailed:
		return 0, oriole.ErrConflict
	default:
		return 0, errors.Errorf("status %d", resp.StatusCode)
	}
}

// Watch implements oriole.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after oriole.Version, wait time.Duration) (objects []oriole.Object, revision oriole.Version, err error) {
	defer func() { err = errors.Wrap(err, "watching objects") }()
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"wait":   {wait.String()},
	}
	var changes oriolewire.Changes
	if err := c.getJSON(ctx, "/watch?"+query.Encode(), &changes); err != nil {
		return nil, 0, err
	}
	for _, o := range changes.Objects {
		objects = append(objects, oriole.Object{Name: o.Name, Version: oriole.Version(o.Version), Value: o.Value})
	}
	return objects, oriole.Version(changes.Revision), nil
}

// Members implements oriole.Store.
func (c *Client) Members(ctx context.Context) (members []oriole.Member, err error) {
	defer func() { err = errors.Wrap(err, "reading the list of VMs") }()
	var listed []oriolewire.Member
	if err := c.getJSON(ctx, "/vms", &listed); err != nil {
		return nil, err
	}
	for _, entry := range listed {
		m, err := entry.ToListed()
		if err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}

// Announce implements oriole.Store.
func (c *Client) Announce(ctx context.Context, m oriole.Member) (err error) {
	defer func() { err = errors.Wrap(err, "announcing this VM") }()
	body, err := json.Marshal(oriolewire.FromListed(m))
	if err != nil {
		return err
	}
	resp, _, err := c.do(ctx, http.MethodPut, "/vms/"+url.PathEscape(string(m.ID)), nil, body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode)
	}
	return err
}

func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	resp, body, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return json.Unmarshal(body, into)
}

// do sends a request and reads the whole answer.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp, answer, err
}

func formatTag(v oriole.Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func parseTag(tag string) (oriole.Version, error) {
	n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	return oriole.Version(n), errors.Wrapf(err, "version %q", tag)
}
