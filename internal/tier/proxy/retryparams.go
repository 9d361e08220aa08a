package proxy

// RetryParams are the parameters of retries; the latency table that LatencyTimeout uses comes with Options.NewOracle.
type RetryParams struct {
	// Idempotent permits a request that may run more than once to be repeated after an attempt that may have run, within the
	// route's max_attempts. Attempts that did not run are repeated in any case.
	Idempotent bool
	// LatencyTimeout cuts an attempt of an idempotent route by the destination's latency table if another may follow. Without
	// it an attempt may take until the deadline.
	LatencyTimeout bool
	// Resume permits a resumable stream to go on at another host.
	Resume bool
	// PreferNewConn has requests that may not run more than once avoid connections that their host may be about to close.
	PreferNewConn bool
}

// DefaultRetryParams returns the parameters in service.
func DefaultRetryParams() RetryParams {
	return RetryParams{Idempotent: true, LatencyTimeout: true, Resume: true, PreferNewConn: true}
}
