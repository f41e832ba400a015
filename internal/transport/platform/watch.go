package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// watchIdleTimeout is the time without an event or heartbeat after which a watch
// fails. The platform sends a heartbeat every 5 s.
const watchIdleTimeout = 15 * time.Second

// maxEventBytes bounds one line of a watch.
const maxEventBytes = platform.MaxValueBytes + 64<<10

var errWatchIdle = errors.New("watch idle for too long")

func (c *client) Watch(ctx context.Context, kind platform.Kind, from uint64, handle func(platform.Event) error) error {
	path := "/v1/objects/" + url.PathEscape(string(kind)) + "?watch=true&from=" + strconv.FormatUint(from, 10)
	request := call{method: http.MethodGet, path: path}
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.timeout, func() { cancel(errWatchIdle) })
	defer idleTimer.Stop()

	response, err := c.send(streamCtx, request)
	if err != nil {
		return c.wrapError(request, watchError(ctx, streamCtx, err))
	}
	defer response.Body.Close()
	if err := statusError(response, false); err != nil {
		return c.wrapError(request, err)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	for {
		idleTimer.Reset(watchIdleTimeout)
		if !scanner.Scan() {
			return c.wrapError(request, watchError(ctx, streamCtx, scanner.Err()))
		}
		idleTimer.Stop()
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		var event platform.Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return c.wrapError(request, watchError(ctx, streamCtx, err))
		}
		if err := handle(event); err != nil {
			return err
		}
	}
}

// watchError classifies the end of a watch; err is nil when the platform closed it.
func watchError(ctx, streamCtx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(context.Cause(streamCtx), errWatchIdle) {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, errWatchIdle)
	}
	if err == nil {
		return fmt.Errorf("%w: watch closed", platform.ErrUnavailable)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, opaque(err))
}
