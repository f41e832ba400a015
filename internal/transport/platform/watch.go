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

// watchSilence is the time without an event or heartbeat after which a watch
// counts as broken. The platform sends a heartbeat every 5 s.
const watchSilence = 15 * time.Second

// maxEventBytes bounds one line of a watch.
const maxEventBytes = platform.MaxValueBytes + 64<<10

var errSilent = errors.New("watch silent for too long")

func (c *client) Watch(ctx context.Context, kind platform.Kind, from uint64, each func(platform.Event) error) error {
	path := "/v1/objects/" + url.PathEscape(string(kind)) + "?watch=true&from=" + strconv.FormatUint(from, 10)
	request := call{method: http.MethodGet, path: path}
	stream, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.timeout, func() { cancel(errSilent) })
	defer silence.Stop()

	response, err := c.send(stream, request)
	if err != nil {
		return c.fail(request, brokenWatch(ctx, stream, err))
	}
	defer response.Body.Close()
	if err := statusError(response, false); err != nil {
		return c.fail(request, err)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	for {
		silence.Reset(watchSilence)
		if !lines.Scan() {
			return c.fail(request, brokenWatch(ctx, stream, lines.Err()))
		}
		silence.Stop()
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var event platform.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return c.fail(request, brokenWatch(ctx, stream, err))
		}
		if err := each(event); err != nil {
			return err
		}
	}
}

// brokenWatch classifies the end of a watch; err is nil when the platform closed it.
func brokenWatch(ctx, stream context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(context.Cause(stream), errSilent) {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, errSilent)
	}
	if err == nil {
		return fmt.Errorf("%w: watch closed", platform.ErrUnavailable)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, detail(err))
}
