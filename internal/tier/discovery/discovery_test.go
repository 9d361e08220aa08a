package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const entry = `{"target_service":"s%d","address":"10.0.0.%d:80","zone_name":"z","config_version":"v1","capacity":96,"phase":"ready","cold_left_ms":5,"model_list":[{"name":"m","config_version":1}],"host_id":"i%d"}`

func page(next string, ids ...int) string {
	var all []string
	for _, id := range ids {
		all = append(all, fmt.Sprintf(entry, id, id, id))
	}
	return `{"instance_list":[` + strings.Join(all, ",") + `],"next_token":` + next + `}`
}

func ask(t *testing.T, h http.HandlerFunc) ([]Host, error) {
	t.Helper()
	s := httptest.NewServer(h)
	defer s.Close()
	a := NewClient(s.Listener.Addr().String())
	defer a.Close()
	return a.FetchHosts(context.Background())
}

func TestAllPagesMakeTheList(t *testing.T) {
	hosts, err := ask(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("page_token") {
		case "":
			fmt.Fprint(w, page(`"p 1"`, 3, 1))
		case "p 1":
			fmt.Fprint(w, page("null", 2, 3))
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
		t.Fatalf("hosts %v: ordered by id and each once was wanted", ids)
	}
	if h := hosts[0]; h.Service != "s1" || h.Addr != "10.0.0.1:80" || h.Zone != "z" || h.Capacity != 96 || h.Phase != Ready || h.WarmupMs != 5 || !slices.Equal(h.Models, []string{"m"}) {
		t.Fatalf("%+v", h)
	}
}

func TestAListThatComesInPartIsAnError(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"second page refused": func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("page_token") != "" {
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			fmt.Fprint(w, page(`"x"`, 1))
		},
		"cut short": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, page("null", 1)[:40]) },
		"another shape": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"instance_list":7}`)
		},
		"no end": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, page(`"again"`, 1)) },
	} {
		if hosts, err := ask(t, h); err == nil {
			t.Errorf("%s: taken as %d hosts", name, len(hosts))
		}
	}
}

func TestNewerGoesByTermThenNumber(t *testing.T) {
	for _, one := range []struct {
		a, b  List
		newer bool
	}{
		{List{Term: 2, Number: 1}, List{Term: 1, Number: 9}, true},
		{List{Term: 1, Number: 9}, List{Term: 2, Number: 1}, false},
		{List{Term: 2, Number: 2}, List{Term: 2, Number: 1}, true},
		{List{Term: 2, Number: 2}, List{Term: 2, Number: 2}, false},
	} {
		if one.a.Newer(&one.b) != one.newer {
			t.Errorf("%+v", one)
		}
	}
	if !(&List{}).Newer(nil) {
		t.Error("any list is newer than none")
	}
}

func TestListsOfASecondLifeAreNewerWithinOneTerm(t *testing.T) {
	var seen, last *List                                  // of a follower, and of the holder of the duty
	for _, one := range strings.Fields("1 1 1 1 2 2 3") { // the holder's life as each list is spread
		life := int64(one[0] - '0')
		if last != nil && last.Number>>32 != life {
			last = nil // it has started anew
		}
		next := &List{Term: 7, Number: NextNumber(7, life, last)}
		if !next.Newer(seen) {
			t.Fatalf("life %d: list %d is not newer than %d", life, next.Number, seen.Number)
		}
		seen, last = next, next
	}
	if next := (&List{Term: 8, Number: NextNumber(8, 1, seen)}); !next.Newer(seen) {
		t.Fatal("the first list of a newer term is not newer")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(page("null", 1, 2)))
	f.Add([]byte(`{"instance_list":[{"host_id":1,"address":{}}],"next_token":[]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		hosts, _, err := Parse(b)
		if err != nil && hosts != nil {
			t.Fatal("hosts beside an error")
		}
		for _, h := range hosts {
			if h.ID == "" || h.Addr == "" {
				t.Fatalf("%+v cannot be called", h)
			}
		}
	})
}
