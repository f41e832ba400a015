package peer

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// room bounds the subrequests in flight on a stream. Waiters are served in order.
type room struct {
	limit int
	sem   *semaphore.Weighted
}

func newRoom(limit int) *room {
	return &room{limit: limit, sem: semaphore.NewWeighted(int64(limit))}
}

// take waits for n places, the end of ctx or the end of the stream.
func (r *room) take(ctx context.Context, lost <-chan struct{}, n int) error {
	if r.sem.TryAcquire(int64(n)) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-lost:
			cancel()
		case <-stop:
		}
	}()
	return r.sem.Acquire(ctx, int64(n))
}

func (r *room) give(n int) { r.sem.Release(int64(n)) }
