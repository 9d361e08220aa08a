package discovery

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

const (
	askTime  = 800 * time.Millisecond
	maxList  = 16 << 20
	maxPages = 1000
)

// Client asks the platform for the whole list. It decides nothing of when.
type Client struct {
	addr string
	http *http.Client
}

// NewClient asks at an address.
func NewClient(addr string) *Client {
	return &Client{addr: addr, http: &http.Client{Timeout: askTime, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 20 * time.Second, Proxy: nil}}}
}

// Close ends kept connections.
func (a *Client) Close() { a.http.CloseIdleConnections() }

// FetchHosts gives all hosts, ordered by id. A list that comes in part is an error.
func (a *Client) FetchHosts(ctx context.Context) (hosts []Host, err error) {
	token := ""
	for range maxPages {
		page, next, err := a.page(ctx, token)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, page...)
		if next == "" {
			slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
			return slices.CompactFunc(hosts, func(a, b Host) bool { return a.ID == b.ID }), nil
		}
		token = next
	}
	return nil, errors.Newf("the platform's list has over %d pages", maxPages)
}

func (a *Client) page(ctx context.Context, token string) (hosts []Host, next string, err error) {
	u := "http://" + a.addr + "/instances"
	if token != "" {
		u += "?page_token=" + url.QueryEscape(token)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, "", err
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, "", err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, "", errors.Newf("the platform's list answers %d: ask less often", resp.StatusCode)
	}
	return Parse(b)
}

// Parse reads one page.
func Parse(b []byte) (hosts []Host, next string, err error) {
	if !gjson.ValidBytes(b) {
		return nil, "", errors.New("the platform's list is no JSON")
	}
	list := gjson.GetBytes(b, "instance_list")
	if !list.IsArray() {
		return nil, "", errors.New("the platform's list has no instance_list")
	}
	list.ForEach(func(_, v gjson.Result) bool {
		h := Host{ID: v.Get("host_id").String(), Service: v.Get("target_service").String(), Addr: v.Get("address").String(), Zone: v.Get("zone_name").String(),
			Capacity: int(v.Get("capacity").Int()), Phase: v.Get("phase").String(), WarmupMs: int(v.Get("cold_left_ms").Int())}
		v.Get("model_list").ForEach(func(_, m gjson.Result) bool {
			h.Models = append(h.Models, m.Get("name").String())
			return true
		})
		if h.ID != "" && h.Addr != "" {
			hosts = append(hosts, h)
		}
		return true
	})
	return hosts, gjson.GetBytes(b, "next_token").String(), nil
}

// Equal tells whether two entries say the same, but for the time that a host stays cold.
func (h Host) Equal(o Host) bool {
	return h.ID == o.ID && h.Service == o.Service && h.Addr == o.Addr && h.Zone == o.Zone && h.Capacity == o.Capacity && h.Phase == o.Phase && slices.Equal(h.Models, o.Models)
}
