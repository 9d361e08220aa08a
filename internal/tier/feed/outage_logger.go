package feed

import (
	"log/slog"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// outageLogDelay is how long no core node may be usable before that is logged: longer than a start of all machines takes.
const outageLogDelay = 5 * time.Second

// errUnconfirmed is the failure of a core node that answers without a majority behind it, or behind what was confirmed before.
var errUnconfirmed = errors.New("a core node answers, and no majority confirms it")

// outageLogger logs that a follower has no usable core node, once for each such time, and its end. It is owned by Follower.Run.
type outageLogger struct {
	log           *slog.Logger
	unusableSince time.Time // since when there is no usable core node; zero while there is one
	lastFailure   error
	logged        bool
}

// noteFailure records why a core node could not be used.
func (w *outageLogger) noteFailure(err error) { w.lastFailure = err }

// noteUnusable records that none of the core nodes could be used.
func (w *outageLogger) noteUnusable(now time.Time, cores []string) {
	if w.unusableSince.IsZero() {
		w.unusableSince = now
	}
	if w.logged || now.Sub(w.unusableSince) < outageLogDelay {
		return
	}
	w.logged = true
	w.log.Info("no core node can be followed: tables stay as they are", "nodes", strings.Join(cores, " "), "seconds", int(now.Sub(w.unusableSince).Seconds()),
		"err", w.lastFailure)
}

// noteUsable records that a response was applied.
func (w *outageLogger) noteUsable(now time.Time) {
	if w.logged {
		w.log.Info("a core node is followed again", "seconds", int(now.Sub(w.unusableSince).Seconds()))
	}
	w.unusableSince, w.lastFailure, w.logged = time.Time{}, nil, false
}
