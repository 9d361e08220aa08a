//go:build linux && cgo

package earlysignal

// #include <signal.h>
// void larchrouter_release_early_signals(void);
import "C"

// Release restores the default for SIGTERM, for commands that may not report success when they are interrupted. It must not be called
// after signal.Notify.
func Release() { C.larchrouter_release_early_signals() }
