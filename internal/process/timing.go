package process

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// TimingBounds are the figures under timing_bounds in the settings file, by name. A name that ends in _ms has
// milliseconds, one that ends in _s seconds. Of booleans, true is 1 and false is 0. A value of another type is left out.
type TimingBounds map[string]float64

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (f *TimingBounds) UnmarshalYAML(b []byte) error {
	var values map[string]any
	if err := yaml.Unmarshal(b, &values); err != nil {
		return errors.Wrap(err, "timing_bounds: give figures by name")
	}
	*f = TimingBounds{}
	for name, value := range values {
		switch v := value.(type) {
		case bool:
			if (*f)[name] = 0; v {
				(*f)[name] = 1
			}
		case uint64:
			(*f)[name] = float64(v)
		case int64:
			(*f)[name] = float64(v)
		case float64:
			(*f)[name] = v
		}
	}
	return nil
}

// TimingBound returns the bound of a name as a duration: milliseconds if the name ends in _ms, else seconds. It returns
// byDefault if there is none or if it is negative. The programs use contact_ms, the time without a message after
// which a store may be replaced, and grace_period_s, the time between SIGTERM and SIGKILL.
func (s *Settings) TimingBound(name string, byDefault time.Duration) time.Duration {
	v, ok := s.Bounds[name]
	if !ok || v < 0 {
		return byDefault
	}
	unit := time.Second
	if strings.HasSuffix(name, "_ms") {
		unit = time.Millisecond
	}
	return time.Duration(v * float64(unit))
}
