package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const instanceJSON = `{"target_service":"s%d","address":"10.0.0.%d:80","zone_name":"z","config_version":"v1","capacity":96,` +
	`"phase":"ready","cold_left_ms":5,"model_list":[{"name":"m","config_version":1}],"host_id":"i%d"}`

// pageJSON returns a page of instances; next is the next token as JSON.
func pageJSON(next string, ids ...int) string {
	var all []string
	for _, id := range ids {
		all = append(all, fmt.Sprintf(instanceJSON, id, id, id))
	}
	return `{"instance_list":[` + strings.Join(all, ",") + `],"next_token":` + next + `}`
}

// fetchFrom fetches the list from a platform that answers with h.
func fetchFrom(t *testing.T, h http.HandlerFunc) ([]Host, error) {
	t.Helper()
	s := httptest.NewServer(h)
	defer s.Close()
	client := NewClient(s.Listener.Addr().String())
	defer client.Close()
	return client.FetchHosts(context.Background())
}

func TestFetchHostsReadsAllPages(t *testing.T) {
	hosts, err := fetchFrom(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("page_token") {
		case "":
			fmt.Fprint(w, pageJSON(`"p 1"`, 3, 1))
		case "p 1":
			fmt.Fprint(w, pageJSON("null", 2, 3))
		default:
			http.Error(w, "no such page", http.StatusBadRequest)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, h := range hosts {
		ids = append(ids, h.ID)
	}
	if !slices.Equal(ids, []string{"i1", "i2", "i3"}) {
		t.Fatalf("hosts %v, want each once and sorted by ID", ids)
	}
	want := Host{ID: "i1", Service: "s1", Addr: "10.0.0.1:80", Zone: "z", Capacity: 96, Phase: Ready, WarmupMs: 5, Models: []string{"m"}}
	if !reflect.DeepEqual(hosts[0], want) {
		t.Fatalf("%+v, want %+v", hosts[0], want)
	}
}

func TestFetchHostsIncompleteListIsAnError(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"second page rejected": func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("page_token") != "" {
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			fmt.Fprint(w, pageJSON(`"x"`, 1))
		},
		"truncated page": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, pageJSON("null", 1)[:40]) },
		"no array": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"instance_list":7}`)
		},
		"too many pages": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, pageJSON(`"again"`, 1)) },
	} {
		if hosts, err := fetchFrom(t, h); err == nil {
			t.Errorf("%s: %d hosts and no error", name, len(hosts))
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(pageJSON("null", 1, 2)))
	f.Add([]byte(`{"instance_list":[{"host_id":1,"address":{}}],"next_token":[]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		hosts, _, err := Parse(b)
		if err != nil && hosts != nil {
			t.Fatal("hosts in addition to an error")
		}
		for _, h := range hosts {
			if h.ID == "" || h.Addr == "" {
				t.Fatalf("%+v has no ID or address", h)
			}
		}
	})
}

// A list whose pages never end, or one page that never ends, was kept up to 16 MB for each of 1,000 pages. It is an error once all pages
// together are over the bound.
func TestFetchHostsBoundsAllPagesTogether(t *testing.T) {
	const page = 1 << 20
	for name, handler := range map[string]http.HandlerFunc{
		"pages": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"next_token":"on","instance_list":[`+strings.Repeat(" ", page)+`]}`)
		},
		"one page": func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := fmt.Fprint(w, strings.Repeat(" ", page)); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int64
			hosts, err := fetchFrom(t, func(w http.ResponseWriter, r *http.Request) {
				served.Add(1)
				handler(w, r)
			})
			if err == nil || hosts != nil || !strings.Contains(err.Error(), "bytes") {
				t.Errorf("%d hosts, err=%v", len(hosts), err)
			}
			if n := served.Load(); n > maxListBytes/page+1 {
				t.Errorf("%d pages were fetched", n)
			}
		})
	}
}
