package controlnode

// loopFunc is a loopRequest for tests.
type loopFunc func()

func (f loopFunc) handle(*Server) { f() }

// onLoopRequest wraps a function in a request without a waiting caller.
func onLoopRequest(f func()) queuedRequest { return queuedRequest{request: loopFunc(f)} }

// onLoop runs a function on the event loop, and returns once its batch is on disk.
func (s *Server) onLoop(f func()) bool { return s.runOnLoop(loopFunc(f)) }

// nodeFunc is a nodeRequest for tests.
type nodeFunc func(requestID int64) Ready

func (f nodeFunc) start(_ *Server, requestID int64) Ready { return f(requestID) }
