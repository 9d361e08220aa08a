package feed

import (
	"strings"
	"testing"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
)

func encodedConfig(version int64, body string) []byte {
	return rpc.Encode(&ConfigEntry{Version: version, Body: []byte(body)})
}

// Tables that lack an acknowledged configuration, because this program cannot parse it, must not count as confirmed
// (requirement CONFIG): an API key that it revoked would still be accepted.
func TestUnreadableConfigDoesNotConfirmTables(t *testing.T) {
	good := `{"config_version":1,"tenant_table":[{"name":"a","api_keys":["k"]}],"service_table":[{"name":"s"}],"route_table":[{"host_name":"h","path_prefix":"/p/","deadline_ms":5,"target_service":"s"}]}`
	// version 2 revokes the key k; an older core node, which does not validate tenant names, acknowledged it
	bad := `{"config_version":2,"tenant_table":[{"name":"a b","api_keys":["z"]}],"service_table":[{"name":"s"}],"route_table":[{"host_name":"h","path_prefix":"/p/","deadline_ms":5,"target_service":"s"}]}`
	r := newReplica()
	t0 := time.Now()
	step := func(sent time.Time, index int64, value []byte) {
		request := r.nextRequest()
		response := &ChangesResponse{Index: index, Confirmed: true}
		if value != nil {
			response.Entries = []chain.Entry{{Index: index, Key: ConfigKey, Value: value}}
		}
		if faults, err := r.handleResponse(sent, &request, response); err != nil {
			t.Fatal(err)
		} else if len(faults) > 0 {
			t.Log(faults)
		}
	}
	step(t0, 1, encodedConfig(1, good))
	step(t0.Add(time.Second), 2, encodedConfig(2, bad))
	step(t0.Add(10*time.Second), 2, nil)
	defer func() {
		step(t0.Add(11*time.Second), 3, encodedConfig(3, strings.Replace(good, `"config_version":1`, `"config_version":3`, 1)))
		if r.tables.Config.Version != 3 || !r.tables.ConfirmedAt.Equal(t0.Add(11*time.Second)) {
			t.Errorf("after a readable configuration: version %d, confirmed at +%v", r.tables.Config.Version, r.tables.ConfirmedAt.Sub(t0))
		}
	}()
	if r.tables.Config.TenantOf("k") != nil && r.tables.ConfirmedAt.After(t0) {
		t.Errorf("tables of version %d, which still have the revoked key, count as confirmed at +%v", r.tables.Config.Version, r.tables.ConfirmedAt.Sub(t0))
	}
}
