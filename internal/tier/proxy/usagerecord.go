package proxy

import "time"

// UsageRecorder counts what is used. It is safe for concurrent use and does not block.
type UsageRecorder interface {
	// RequestBegan counts a request of a tenant that a host has just begun to run.
	RequestBegan(tenant string)
	// CallEnded adds a call to a host of a service in a zone that has ended.
	CallEnded(service, zone string, took time.Duration)
}

// noUsage counts nothing.
type noUsage struct{}

func (noUsage) RequestBegan(string)                     {}
func (noUsage) CallEnded(string, string, time.Duration) {}

// requestBegan counts the request as one that a host has just begun to run, if it is one of a tenant. It is called for each attempt
// in which one does.
func (r *request) requestBegan() {
	if r.tenant != nil {
		r.server().options.Usage.RequestBegan(r.tenant.Name)
	}
}
