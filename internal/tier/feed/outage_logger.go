package feed

import (
	"log/slog"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// outageLogDelay is how long no core node may be usable before it is logged: longer than all machines take to start.
const outageLogDelay = 5 * time.Second

// errUnconfirmed is the failure of a core node whose response no majority has confirmed, or that is behind an index that
// was confirmed earlier.
var errUnconfirmed = errors.New("core node responded, but its response is not confirmed by a majority or is behind")

// outageLogger logs the start and the end of each period in which a follower has no usable core node. Only the goroutine
// of Follower.Run uses it.
type outageLogger struct {
	log           *slog.Logger
	unusableSince time.Time // start of the outage; zero while there is a usable core node
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
	w.log.Info("no usable core node: the tables are not updated", "nodes", strings.Join(cores, " "), "seconds", int(now.Sub(w.unusableSince).Seconds()),
		"err", w.lastFailure)
}

// noteUsable records that a response was applied.
func (w *outageLogger) noteUsable(now time.Time) {
	if w.logged {
		w.log.Info("core node usable again", "seconds", int(now.Sub(w.unusableSince).Seconds()))
	}
	w.unusableSince, w.lastFailure, w.logged = time.Time{}, nil, false
}
