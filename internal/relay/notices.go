package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"
)

// notice tells the platform how a message ended that was not delivered.
type notice struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Again  int64  `json:"again_ms,omitempty"`
}

const (
	undeliverable = "undeliverable"
	deferred      = "deferred"
	noticeBatch   = 64
	noticeTimeout = 500 * time.Millisecond
)

// tell posts notices until the context ends. Each is repeated until it is
// acknowledged: a message that was taken on is lost without it.
func (r *Relay) tell(ctx context.Context) {
	var owed []notice
	for {
		if len(owed) == 0 {
			select {
			case <-ctx.Done():
				return
			case n := <-r.notices:
				owed = append(owed, n)
			}
		}
		for more := true; more && len(owed) < noticeBatch; {
			select {
			case n := <-r.notices:
				owed = append(owed, n)
			default:
				more = false
			}
		}
		pause := firstPause
		for {
			err := r.postStatus(ctx, owed)
			if err == nil {
				break
			}
			slog.Warn("notices not taken", "count", len(owed), "err", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause = min(2*pause, longPause)
		}
		told := owed
		r.post(func() {
			for _, n := range told {
				r.record(record{Op: opEnd, ID: n.ID})
			}
			r.owed -= len(told)
		})
		owed = nil
	}
}

func (r *Relay) postStatus(ctx context.Context, all []notice) error {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	for _, n := range all {
		if err := enc.Encode(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.conf.Discovery+"/status", &body)
	if err != nil {
		return err
	}
	resp, err := r.platform.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody))
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
