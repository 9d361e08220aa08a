package feed

import (
	"log/slog"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// noSourceLogDelay is how long no core node may be usable before that is logged: longer than a start of all machines takes.
const noSourceLogDelay = 5 * time.Second

// errUnconfirmed is the failure of a core node that answers without a majority behind it, or behind what was confirmed before.
var errUnconfirmed = errors.New("a core node answers, and no majority confirms it")

// sourceWatch logs that a follower has no usable core node, once for each such time, and its end. It is owned by Follower.Run.
type sourceWatch struct {
	log         *slog.Logger
	unusable    time.Time // since when there is no usable core node; zero while there is one
	lastFailure error
	logged      bool
}

// noteFailure records why a core node could not be used.
func (w *sourceWatch) noteFailure(err error) { w.lastFailure = err }

// noteUnusable records that none of the core nodes could be used.
func (w *sourceWatch) noteUnusable(now time.Time, cores []string) {
	if w.unusable.IsZero() {
		w.unusable = now
	}
	if w.logged || now.Sub(w.unusable) < noSourceLogDelay {
		return
	}
	w.logged = true
	w.log.Info("no core node can be followed: tables stay as they are", "nodes", strings.Join(cores, " "), "seconds", int(now.Sub(w.unusable).Seconds()),
		"err", w.lastFailure)
}

// noteUsable records that a response was applied.
func (w *sourceWatch) noteUsable(now time.Time) {
	if w.logged {
		w.log.Info("a core node is followed again", "seconds", int(now.Sub(w.unusable).Seconds()))
	}
	w.unusable, w.lastFailure, w.logged = time.Time{}, nil, false
}
