package discovery

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"larchrouter/internal/netdial"
)

const (
	requestTimeout  = 800 * time.Millisecond // for each page
	idleConnTimeout = 20 * time.Second
	maxListBytes    = 16 << 20 // of all pages together; a longer list is an error
	maxPages        = 1000     // a list with more is an error
)

// Client fetches the list from the platform's HTTP API. It is safe for concurrent use.
type Client struct {
	addr       string
	httpClient *http.Client
}

// NewClient returns a client of the platform at an address, host:port. Close must be called at the end.
func NewClient(addr string) *Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		return netdial.DialContext(ctx, net.Dialer{Timeout: requestTimeout}, network, addr)
	}
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout, Proxy: nil}
	return &Client{addr: addr, httpClient: &http.Client{Timeout: requestTimeout, Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// FetchHosts fetches all pages and returns the hosts by rising ID, each once. If any page can't be fetched or parsed, it
// returns an error and no hosts.
func (c *Client) FetchHosts(ctx context.Context) (hosts []Host, err error) {
	token, bytesLeft := "", maxListBytes
	for range maxPages {
		page, next, err := c.fetchPage(ctx, token, &bytesLeft)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, page...)
		if next == "" {
			slices.SortFunc(hosts, compareIDs)
			return slices.CompactFunc(hosts, func(a, b Host) bool { return a.ID == b.ID }), nil
		}
		token = next
	}
	return nil, errors.Newf("the platform's list has over %d pages", maxPages)
}

// fetchPage fetches the page of a token, empty for the first one, and returns the next token, empty at the end. The page may have as
// many bytes as are left of the list's, which are fewer by it afterwards.
func (c *Client) fetchPage(ctx context.Context, token string, bytesLeft *int) (hosts []Host, next string, err error) {
	target := "http://" + c.addr + "/instances"
	if token != "" {
		target += "?page_token=" + url.QueryEscape(token)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, "", err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(*bytesLeft)+1))
	if err != nil {
		return nil, "", err
	}
	if *bytesLeft -= len(body); *bytesLeft < 0 {
		return nil, "", errors.Newf("the platform's list has over %d bytes", maxListBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, "", errors.Newf("the platform's list answers %d: ask less often", resp.StatusCode)
	}
	return Parse(body)
}

// Parse parses one page. Instances without host_id or address are left out. The next token is empty on the last page.
func Parse(body []byte) (hosts []Host, next string, err error) {
	if !gjson.ValidBytes(body) {
		return nil, "", errors.New("the platform's list is no JSON")
	}
	list := gjson.GetBytes(body, "instance_list")
	if !list.IsArray() {
		return nil, "", errors.New("the platform's list has no instance_list")
	}
	list.ForEach(func(_, instance gjson.Result) bool {
		host := parseHost(instance)
		if host.ID != "" && host.Addr != "" {
			hosts = append(hosts, host)
		}
		return true
	})
	return hosts, gjson.GetBytes(body, "next_token").String(), nil
}

func parseHost(instance gjson.Result) Host {
	host := Host{
		ID:       instance.Get("host_id").String(),
		Service:  instance.Get("target_service").String(),
		Addr:     instance.Get("address").String(),
		Zone:     instance.Get("zone_name").String(),
		Capacity: int(instance.Get("capacity").Int()),
		Phase:    instance.Get("phase").String(),
		WarmupMs: int(instance.Get("cold_left_ms").Int()),
	}
	instance.Get("model_list").ForEach(func(_, model gjson.Result) bool {
		host.Models = append(host.Models, model.Get("name").String())
		return true
	})
	return host
}
