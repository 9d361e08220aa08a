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
func (l *outageLogger) noteFailure(err error) { l.lastFailure = err }

// noteUnusable records that none of the core nodes could be used.
func (l *outageLogger) noteUnusable(now time.Time, cores []string) {
	if l.unusableSince.IsZero() {
		l.unusableSince = now
	}
	if l.logged || now.Sub(l.unusableSince) < outageLogDelay {
		return
	}
	l.logged = true
	l.log.Info("no usable core node: the tables are not updated", "nodes", strings.Join(cores, " "),
		"seconds", int(now.Sub(l.unusableSince).Seconds()), "err", l.lastFailure)
}

// noteUsable records that a response was applied.
func (l *outageLogger) noteUsable(now time.Time) {
	if l.logged {
		l.log.Info("core node usable again", "seconds", int(now.Sub(l.unusableSince).Seconds()))
	}
	l.unusableSince, l.lastFailure, l.logged = time.Time{}, nil, false
}
