package routing_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"larchrouter/internal/tier/routing"
)

// withTables returns a configuration of a route and a service with more fields at the top.
func withTables(fields string) string {
	return `{"config_version":1,` + fields + `"service_table":[{"name":"a"}],` +
		`"route_table":[{"host_name":"h","path_prefix":"/p/","deadline_ms":5,"target_service":"a"}]}`
}

// tenantConfig has every field of tenants.
var tenantConfig = withTables(`"tenant_table":[{"name":"hule930","api_keys":["k1","k2","k1"],"rank":2,"comment":7},` +
	`{"name":"fida11","api_keys":["k\u0033"]},{"name":"none","api_keys":[]},{"name":"absent"},{"name":"null","api_keys":null,"rank":null}],`)

func parse(t *testing.T, raw string) *routing.Config {
	t.Helper()
	c, err := routing.Parse([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestParseReadsEveryFieldOfTenants(t *testing.T) {
	c := parse(t, tenantConfig)
	want := []routing.Tenant{
		{Name: "hule930", Keys: []string{"k1", "k2", "k1"}, Priority: 2},
		{Name: "fida11", Keys: []string{"k3"}},
		{Name: "none"},
		{Name: "absent"},
		{Name: "null"},
	}
	if !c.HasTenants() || !reflect.DeepEqual(c.Tenants, want) {
		t.Fatalf("read %+v, want %+v", c.Tenants, want)
	}
	for key, tenant := range map[string]*routing.Tenant{
		"k1": &c.Tenants[0], "k2": &c.Tenants[0], "k3": &c.Tenants[1],
		"K1": nil, "k": nil, "k1 ": nil, "k1,k2": nil, "": nil, "hule930": nil, "k4": nil,
	} {
		if got := c.TenantOf(key); got != tenant {
			t.Errorf("key %q belongs to %+v, want %+v", key, got, tenant)
		}
	}
}

// A configuration may be read once and its bytes be reused: what was read from it stays.
func TestTenantsDoNotReferToRaw(t *testing.T) {
	raw := []byte(tenantConfig)
	c, err := routing.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	clear(raw)
	if tenant := c.TenantOf("k2"); tenant == nil || tenant.Name != "hule930" || tenant.Keys[1] != "k2" {
		t.Errorf("after the bytes were cleared, the key's tenant is %+v", tenant)
	}
}

func TestParseTenantTableWithoutTenants(t *testing.T) {
	for _, c := range []struct {
		name, fields string
		has          bool
	}{
		{"absent", ``, false},
		{"null", `"tenant_table":null,`, false},
		{"empty", `"tenant_table":[],`, true},
		{"a tenant without keys", `"tenant_table":[{"name":"a"}],`, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := parse(t, withTables(c.fields))
			if config.HasTenants() != c.has {
				t.Errorf("HasTenants is %v, want %v", config.HasTenants(), c.has)
			}
			if tenant := config.TenantOf(""); tenant != nil {
				t.Errorf("no key belongs to %+v", tenant)
			}
		})
	}
}

func TestParsePublic(t *testing.T) {
	for value, want := range map[string]bool{`true`: true, `false`: false, `null`: false} {
		c := parse(t, strings.Replace(withTables(""), `"host_name"`, `"public":`+value+`,"host_name"`, 1))
		if c.Routes[0].Public != want {
			t.Errorf("public %s is read as %v", value, c.Routes[0].Public)
		}
	}
	if parse(t, withTables("")).Routes[0].Public {
		t.Error("a route without the field is public")
	}
}

func TestParseScaling(t *testing.T) {
	for value, want := range map[string]routing.Scaling{
		`null`: {},
		`{"min_count":2,"max_count":9,"boot_time_s":1.5,"zone_price":3}`: {Min: 2, Max: 9, BootTime: 1500 * time.Millisecond},
		`{"min_count":3,"max_count":3}`:                                  {Min: 3, Max: 3},
		`{"max_count":1}`:                                                {Max: 1},
		`{"min_count":null,"max_count":4,"boot_time_s":0}`:               {Max: 4},
	} {
		c := parse(t, `{"config_version":1,"route_table":[],"service_table":[{"name":"a","scaling":`+value+`},{"name":"b"}]}`)
		if c.Services["a"].Scaling != want {
			t.Errorf("%s is read as %+v, want %+v", value, c.Services["a"].Scaling, want)
		}
		if c.Services["b"].Scaling != (routing.Scaling{}) {
			t.Errorf("a service without scaling has %+v", c.Services["b"].Scaling)
		}
	}
}

func TestParseInvalidTenantsAndScaling(t *testing.T) {
	tenants := func(table string) string { return withTables(`"tenant_table":` + table + `,`) }
	route := func(fields string) string {
		return strings.Replace(withTables(""), `"host_name"`, fields+`,"host_name"`, 1)
	}
	scaling := func(value string) string {
		return `{"config_version":1,"route_table":[],"service_table":[{"name":"a","scaling":` + value + `}]}`
	}
	for _, c := range []struct{ name, raw, path, value string }{
		{"table is an object", tenants(`{}`), "tenant_table", "{}"},
		{"table is a string", tenants(`"a"`), "tenant_table", `"a"`},
		{"tenant is a string", tenants(`[{"name":"a"},"b"]`), "tenant_table.1", `"b"`},
		{"no name", tenants(`[{"api_keys":["k"]}]`), "tenant_table.0.name", `""`},
		{"name is null", tenants(`[{"name":null}]`), "tenant_table.0.name", `""`},
		{"name is empty", tenants(`[{"name":""}]`), "tenant_table.0.name", `""`},
		{"name is a number", tenants(`[{"name":5}]`), "tenant_table.0.name", "5"},
		{"name with a space", tenants(`[{"name":"a b"}]`), "tenant_table.0.name", `"a b"`},
		{"name with a line feed", tenants(`[{"name":"a\nX-Host-Seal: b"}]`), "tenant_table.0.name", `"a\nX-Host-Seal: b"`},
		{"name with a NUL", tenants(`[{"name":"a\u0000b"}]`), "tenant_table.0.name", `"a\x00b"`},
		{"name with DEL", tenants(`[{"name":"a\u007f"}]`), "tenant_table.0.name", `"a\x7f"`},
		{"name beyond ASCII", tenants(`[{"name":"josé"}]`), "tenant_table.0.name", `"josé"`},
		{"name twice", tenants(`[{"name":"a"},{"name":"b"},{"name":"a","api_keys":["k"]}]`), "tenant_table.2.name", `"a"`},
		{"keys are a string", tenants(`[{"name":"a","api_keys":"k"}]`), "tenant_table.0.api_keys", `"k"`},
		{"keys are an object", tenants(`[{"name":"a","api_keys":{}}]`), "tenant_table.0.api_keys", "{}"},
		{"key is a number", tenants(`[{"name":"a","api_keys":["k",7]}]`), "tenant_table.0.api_keys.1", "7"},
		{"key is null", tenants(`[{"name":"a","api_keys":[null]}]`), "tenant_table.0.api_keys.0", "null"},
		{"key is empty", tenants(`[{"name":"a","api_keys":["k",""]}]`), "tenant_table.0.api_keys.1", `""`},
		{"key with a space at its end", tenants(`[{"name":"a","api_keys":["k "]}]`), "tenant_table.0.api_keys.0", `"k "`},
		{"key with a carriage return", tenants(`[{"name":"a","api_keys":["k\r"]}]`), "tenant_table.0.api_keys.0", `"k\r"`},
		{"key beyond ASCII", tenants(`[{"name":"a","api_keys":["ké"]}]`), "tenant_table.0.api_keys.0", `"ké"`},
		{"shared key",
			tenants(`[{"name":"a","api_keys":["j","k"]},{"name":"b"},{"name":"c","api_keys":["l","k"]}]`),
			"tenant_table.2.api_keys.1", "tenant_table.0"},
		{"shared key, written in another way",
			tenants(`[{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["\u006b"]}]`),
			"tenant_table.1.api_keys.0", "tenant_table.0"},
		{"rank below 0", tenants(`[{"name":"a","rank":-1}]`), "tenant_table.0.rank", "-1"},
		{"rank with a fraction", tenants(`[{"name":"a","rank":0.5}]`), "tenant_table.0.rank", "0.5"},
		{"rank as a string", tenants(`[{"name":"a","rank":"1"}]`), "tenant_table.0.rank", `"1"`},
		{"public as a number", route(`"public":1`), "route_table.0.public", "1"},
		{"scaling is not an object", scaling(`[]`), "service_table.0.scaling", "[]"},
		{"min above max", scaling(`{"min_count":3,"max_count":2}`), "service_table.0.scaling.max_count", "2"},
		{"min without max", scaling(`{"min_count":1}`), "service_table.0.scaling.max_count", "0"},
		{"max 0", scaling(`{"max_count":0}`), "service_table.0.scaling.max_count", "0"},
		{"min below 0", scaling(`{"min_count":-1,"max_count":2}`), "service_table.0.scaling.min_count", "-1"},
		{"boot time below 0", scaling(`{"max_count":2,"boot_time_s":-1}`), "service_table.0.scaling.boot_time_s", "-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := routing.Parse([]byte(c.raw))
			if err == nil {
				t.Fatalf("no error: %+v", got)
			}
			path, rest, _ := strings.Cut(err.Error(), " is ")
			value, remedy, _ := strings.Cut(rest, ": ")
			if strings.Contains(c.value, ": ") { // the value itself has the separator
				value, remedy = rest, rest
			}
			if got != nil || !errors.Is(err, routing.ErrInvalid) || path != c.path || !strings.Contains(value, c.value) || remedy == "" {
				t.Fatalf("%v, want path %q and value %q", err, c.path, c.value)
			}
		})
	}
}

// drawnTenant is a tenant of a configuration that is drawn, in the operator's format.
type drawnTenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
	Rank int      `json:"rank"`
}

// A table of tenants is valid if and only if no name is there twice and no two tenants share a key; then each key leads to its
// tenant.
func TestTenantsMatchLinearScan(t *testing.T) {
	words := rapid.StringMatching(`[abc]{1,2}`)
	tenant := rapid.Custom(func(t *rapid.T) drawnTenant {
		return drawnTenant{words.Draw(t, "name"), rapid.SliceOfN(words, 0, 3).Draw(t, "keys"), rapid.IntRange(0, 3).Draw(t, "rank")}
	})
	rapid.Check(t, func(t *rapid.T) {
		tenants := rapid.SliceOfN(tenant, 0, 5).Draw(t, "tenants")
		holders, names, valid := map[string]int{}, map[string]bool{}, true // by key: the first that has it
		for i, d := range tenants {
			valid = valid && !names[d.Name]
			names[d.Name] = true
			for _, key := range d.Keys {
				if holder, held := holders[key]; !held {
					holders[key] = i
				} else if holder != i {
					valid = false
				}
			}
		}
		table, err := json.Marshal(tenants)
		if err != nil {
			t.Fatal(err)
		}
		c, err := routing.Parse([]byte(withTables(`"tenant_table":` + string(table) + `,`)))
		if (err == nil) != valid {
			t.Fatalf("%s: error %v, want valid %v", table, err, valid)
		}
		if err != nil {
			if !errors.Is(err, routing.ErrInvalid) {
				t.Fatal(err)
			}
			return
		}
		key := words.Draw(t, "key")
		want := ""
		if i, held := holders[key]; held {
			want = fmt.Sprintf("%s %d", tenants[i].Name, tenants[i].Rank)
		}
		got := ""
		if tenant := c.TenantOf(key); tenant != nil {
			got = fmt.Sprintf("%s %d", tenant.Name, tenant.Priority)
		}
		if got != want {
			t.Fatalf("%s: key %q belongs to %q, want %q", table, key, got, want)
		}
	})
}

// checkTenants checks what holds of the tenants and the scaling of every valid configuration.
func checkTenants(t *testing.T, c *routing.Config) {
	t.Helper()
	names := map[string]bool{}
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		if !c.HasTenants() || tenant.Name == "" || names[tenant.Name] || tenant.Priority < 0 || strings.ContainsAny(tenant.Name, "\x00\r\n ") {
			t.Fatalf("tenant %+v", tenant)
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			if c.TenantOf(key) != tenant || key == "" || strings.ContainsAny(key, "\x00\r\n ") {
				t.Fatalf("key %q of %+v belongs to %+v", key, tenant, c.TenantOf(key))
			}
		}
	}
	for _, service := range c.Services {
		if s := service.Scaling; s != (routing.Scaling{}) && (s.Min < 0 || s.Max < max(1, s.Min) || s.BootTime < 0) {
			t.Fatalf("scaling %+v", s)
		}
	}
}
