package peer

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// inFlightLimit bounds the subrequests in flight on a stream. Waiters are served in
// order.
type inFlightLimit struct {
	limit int
	sem   *semaphore.Weighted
}

func newInFlightLimit(limit int) *inFlightLimit {
	return &inFlightLimit{limit: limit, sem: semaphore.NewWeighted(int64(limit))}
}

// acquire waits until n more subrequests fit the limit. It fails when ctx or the stream
// ends.
func (l *inFlightLimit) acquire(ctx context.Context, streamDone <-chan struct{}, n int) error {
	if l.sem.TryAcquire(int64(n)) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-streamDone:
			cancel()
		case <-stop:
		}
	}()
	return l.sem.Acquire(ctx, int64(n))
}

func (l *inFlightLimit) release(n int) { l.sem.Release(int64(n)) }
