package process

import (
	"runtime/debug"

	"larchrouter/internal/membudget"
)

// The shares of memory_mb. docs/operate/memory.md has the sum.
const (
	heapShare    = 0.6  // soft limit of the Go runtime: all that is allocated, with what the collector has not freed yet
	requestShare = 0.25 // for what clients make the process hold, within the share above
	cacheShare   = 0.1  // for caches, at most
	closingShare = 0.1  // for the copies of turns that are being closed, within the first share
	reservedPart = 4    // divides the share of requests: that part is left to small ones
)

// The sizes in bytes up to which a request is a small one.
const (
	SmallRequest = 64 << 10  // at fronts and stores
	SmallOrder   = 512 << 10 // at core nodes: of an operator, with the copies made of it
)

// TuneRuntime sets the soft limit of the Go runtime's memory.
func (s *Settings) TuneRuntime() {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryMB * heapShare * (1 << 20)))
	}
}

// RequestMemory returns the budget of what clients make the process hold. small is the size up to which a request is a small one.
func (s *Settings) RequestMemory(small int64) *membudget.Budget {
	limit := int64(s.Limits.MemoryMB * requestShare * (1 << 20))
	return membudget.New(membudget.Options{Limit: limit, Reserved: limit / reservedPart, Small: small})
}

// ClosingMemory returns the bytes that a front may hold for turns that are being closed; 0 for no limit.
func (s *Settings) ClosingMemory() int64 { return int64(s.Limits.MemoryMB * closingShare * (1 << 20)) }

// CacheMemory returns the size in bytes of a cache that has so many bytes where memory_mb permits that.
func (s *Settings) CacheMemory(bytes int64) int64 {
	if s.Limits.MemoryMB <= 0 {
		return bytes
	}
	return min(bytes, int64(s.Limits.MemoryMB*cacheShare*(1<<20)))
}

// GrantedCores returns the processor time that the platform grants the process, in cores; 0 for no limit.
func (s *Settings) GrantedCores() float64 {
	if s.Limits.Cores <= 0 {
		return s.Limits.CPUShare
	}
	return s.Limits.CPUShare * s.Limits.Cores
}

// LinkBytesPerSecond returns what the link of the process carries; 0 for no limit.
func (s *Settings) LinkBytesPerSecond() float64 {
	const bitsPerByte = 8
	return s.Limits.LinkMbps * 1e6 / bitsPerByte
}
