package loadbench

import (
	"encoding/json"
	"testing"
)

// The keys of stored results stay the same when fields are renamed.
func TestFiguresJSONKeys(t *testing.T) {
	const want = `{"Scenario":{"Name":"","Dests":0,"Trouble":"","Share":0,"Held":0,"Room":0,"Return":false,"Due":false,"Disk":0,"Proxy":false},` +
		`"Taken":0,"Refused":0,"Failed":0,"CPU":0,"PerAsk":0,"PerDone":0,"P50":0,"P99":0,"Max":0,"Healthy":0,"Delivered":0,"Held":0,` +
		`"Memory":0,"Late":0}`
	got, err := json.Marshal(Figures{})
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("got %s\nwant %s", got, want)
	}
}
