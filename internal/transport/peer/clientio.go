package peer

import (
	"time"

	"google.golang.org/protobuf/proto"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

// write sends queued batches and cancellations until the stream ends. Those that are
// queued while one message is written go out with the next one.
func (c *Client) write() {
	defer c.workers.Done()
	for {
		select {
		case <-c.streamDone:
			return
		case <-c.wake:
		}
		for {
			request := c.next(time.Now())
			if request == nil {
				break
			}
			if err := c.stream.Send(request); err != nil {
				c.fail(err)
				return
			}
		}
	}
}

// next removes as much from the queue as fits in one message, or returns nil. Batches
// that were abandoned or whose deadline has passed are omitted.
func (c *Client) next(now time.Time) *contract.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := &contract.Request{Cancels: c.cancels}
	c.cancels = nil
	size := 0
	taken := 0
	for _, k := range c.queue {
		// Do rejects batches that are too large on their own.
		batchSize := proto.Size(k.batch) + messageSlack
		if size > 0 && size+batchSize > int(c.hello.MaxMessageBytes) {
			break
		}
		taken++
		left := k.deadline.Sub(now)
		if _, pending := c.calls[k.batch.Id]; !pending || left <= 0 {
			continue
		}
		size += batchSize
		k.batch.TimeLeftUs = uint64(left.Microseconds())
		k.sent = true
		request.Batches = append(request.Batches, k.batch)
	}
	c.queue = c.queue[taken:]
	if len(c.queue) == 0 {
		c.queue = nil
	}
	if len(request.Batches) == 0 && len(request.Cancels) == 0 {
		return nil
	}
	return request
}

// read delivers results until the stream ends.
func (c *Client) read() {
	defer c.workers.Done()
	for {
		reply, err := c.stream.Recv()
		if err != nil {
			c.fail(err)
			return
		}
		if reply.Draining {
			c.mu.Lock()
			c.draining = true
			c.mu.Unlock()
		}
		for _, r := range reply.Results {
			c.handleResult(r)
		}
	}
}

// handleResult delivers a result to its call; results of unknown batches and second
// results of a shard are dropped.
func (c *Client) handleResult(r *contract.Result) {
	c.mu.Lock()
	k := c.calls[r.Batch]
	c.mu.Unlock()
	if k == nil || !k.deliverResult(r) {
		return
	}
	c.mu.Lock()
	delete(c.calls, r.Batch)
	c.mu.Unlock()
	close(k.done)
}

// deliverResult delivers a result and reports whether it was the last one.
func (k *call) deliverResult(r *contract.Result) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	index := int(r.Index)
	if k.ended || index >= len(k.received) || k.received[index] {
		return false
	}
	k.received[index] = true
	k.missing--
	k.deliver(Result{Index: index, Status: normaliseStatus(r.Status), Body: r.Body, Reason: r.Reason})
	return k.missing == 0
}

// normaliseStatus maps statuses of newer versions to STATUS_FAILED, after which the
// shard may have run.
func normaliseStatus(s contract.Status) contract.Status {
	if _, ok := contract.Status_name[int32(s)]; !ok || s == contract.Status_STATUS_UNKNOWN {
		return contract.Status_STATUS_FAILED
	}
	return s
}
