package cloudapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// The duties, as DutyCall.Duty names them.
const (
	UsageDuty = "usage"
	ScaleDuty = "scale"
)

// The headers of a call of a duty.
const (
	holderHeader = "X-Duty-Holder"
	fenceHeader  = "X-Fence-Token"
)

const maxDutyBody = 1 << 20 // bytes

// DutyCall is a call of a duty, and what the platform decided about it.
type DutyCall struct {
	Received time.Time // zero for At
	At       time.Time // when it was decided
	Duty     string    // UsageDuty or ScaleDuty
	Subject  string    // what the fencing tokens are compared for; "" if the call is malformed
	Holder   string    // as sent, also if the call is malformed
	Token    int64
	Body     DutyBody // nil if the call is malformed
	Status   int      // that was answered, or would have been if the answer was not lost; 0 if none was due
	Applied  bool     // the call was accepted, be it as an exact repeat
}

// received returns when a call arrived.
func (c DutyCall) received() time.Time {
	if c.Received.IsZero() {
		return c.At
	}
	return c.Received
}

// String returns who called what.
func (c DutyCall) String() string {
	return fmt.Sprintf("%s %s by %s, token %d, status %d at %s", c.Duty, c.Subject, c.Holder, c.Token, c.Status,
		c.At.Format(time.RFC3339Nano))
}

// DutyBody is a UsageReport or a ScaleOrder.
type DutyBody interface {
	// Subject returns what the call is about: fencing tokens are compared for a duty and a subject.
	Subject() string
}

// UsageReport is the body of POST /usage. All windows are one subject.
type UsageReport struct {
	WindowNo     int64
	ServerCounts map[string]int64 // by tenant; not to be changed
}

// Subject returns the one subject of all reports.
func (UsageReport) Subject() string { return "usage" }

// ScaleOrder is the body of POST /scale. A service and a zone are a subject.
type ScaleOrder struct {
	Service string
	Zone    string
	Desired int // hosts that are to run
}

// Subject returns the service and the zone.
func (s ScaleOrder) Subject() string { return s.Service + "/" + s.Zone }

// parseDutyCall reads a call. If the call is malformed, it returns as much as there is, and an error.
func parseDutyCall(r *http.Request, duty string) (DutyCall, error) {
	call := DutyCall{Duty: duty}
	raw, bodyErr := readBody(r.Body)
	var err error
	if call.Holder, err = singleHeader(r, holderHeader); err != nil {
		return call, err
	}
	token, err := singleHeader(r, fenceHeader)
	if err != nil {
		return call, err
	}
	number, err := strconv.ParseUint(token, 10, 63)
	if err != nil {
		return call, errors.Wrapf(err, "%s is no whole number", fenceHeader)
	}
	call.Token = int64(number)
	if bodyErr != nil {
		return call, errors.Wrap(bodyErr, "body")
	}
	body, err := parseDutyBody(duty, raw)
	if err != nil {
		return call, errors.Wrap(err, "body")
	}
	call.Body, call.Subject = body, body.Subject()
	return call, nil
}

func readBody(body io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxDutyBody+1))
	if err == nil && len(raw) > maxDutyBody {
		err = errors.Newf("it has over %d bytes", maxDutyBody)
	}
	return raw, err
}

func singleHeader(r *http.Request, name string) (string, error) {
	values := r.Header.Values(name)
	if len(values) != 1 || values[0] == "" {
		return "", errors.Newf("%s has %d values: give one", name, len(values))
	}
	return values[0], nil
}

func parseDutyBody(duty string, raw []byte) (DutyBody, error) {
	if duty == UsageDuty {
		return parseUsage(raw)
	}
	return parseScale(raw)
}

func parseUsage(raw []byte) (DutyBody, error) {
	var wire struct {
		WindowNo     *int64            `json:"window_no"`
		ServerCounts map[string]*int64 `json:"server_counts"`
	}
	if err := json.Unmarshal(raw, &wire); err != nil {
		return nil, err
	}
	if wire.WindowNo == nil || *wire.WindowNo < 0 {
		return nil, errors.New("window_no is missing or below 0: give a whole number from 0")
	}
	if wire.ServerCounts == nil {
		return nil, errors.New("server_counts is missing: give an object, an empty one if no request ran")
	}
	report := UsageReport{*wire.WindowNo, map[string]int64{}}
	for tenant, count := range wire.ServerCounts {
		if count == nil || *count < 0 {
			return nil, errors.Newf("the count of %q is missing or below 0: give a whole number from 0", tenant)
		}
		report.ServerCounts[tenant] = *count
	}
	return report, nil
}

func parseScale(raw []byte) (DutyBody, error) {
	var wire struct {
		Service string `json:"target_service"`
		Zone    string `json:"zone_name"`
		Desired *int   `json:"desired"`
	}
	if err := json.Unmarshal(raw, &wire); err != nil {
		return nil, err
	}
	if wire.Service == "" || wire.Zone == "" {
		return nil, errors.New("target_service or zone_name is missing: give both")
	}
	if wire.Desired == nil || *wire.Desired < 0 {
		return nil, errors.New("desired is missing or below 0: give a whole number from 0")
	}
	return ScaleOrder{wire.Service, wire.Zone, *wire.Desired}, nil
}
