package appliance

import (
	"reflect"
	"strings"

	"larchrouter/internal/relay"
	"larchrouter/internal/relay/config"
)

// Reload applies the partners of a file that was read again. It returns the names of those of its other
// settings that differ from the running ones, and so need a restart.
func (a *Appliance) Reload(f *config.File) (restart []string) {
	a.relay.Reload(relayPartners(f))
	running, reloaded := reflect.ValueOf(*a.file), reflect.ValueOf(*f)
	for i := range running.NumField() {
		field := running.Type().Field(i).Name
		if field == "Path" || field == "Partners" {
			continue
		}
		if !reflect.DeepEqual(running.Field(i).Interface(), reloaded.Field(i).Interface()) {
			restart = append(restart, settingName(field))
		}
	}
	if !sharesLimits(a.file) && len(relay.Limits(relayPartners(f))) > 0 { // the relay was started without rate limiting
		restart = append(restart, "limit")
	}
	return restart
}

// settingNames are the names in the file of those fields of config.File whose name is not that of the field in
// lower case.
var settingNames = map[string]string{"StopWithin": "stop_within", "Classes": "class", "Zones": "zone", "Kinds": "kind"}

// settingName returns the name in the file of a field of config.File.
func settingName(field string) string {
	if name, ok := settingNames[field]; ok {
		return name
	}
	return strings.ToLower(field)
}
