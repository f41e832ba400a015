package mesh

import (
	"context"
	"sync"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// lane is the stream of batches to one node. Its mutex is held while the stream
// is opened.
type lane struct {
	mu     sync.Mutex
	client *peer.Client
}

// Do sends a batch to a present member over a stream that is kept; see
// peer.Client.Do.
func (m *Mesh) Do(ctx context.Context, id string, batch *contract.Batch, deliver func(peer.Result)) error {
	client, err := m.lane(ctx, id)
	if err != nil {
		return fault.Wrap(peer.ErrNotSent, fault.StepPeer, id, "open stream: %v", err)
	}
	return client.Do(ctx, batch, deliver)
}

// lane returns the open stream to a node, or opens one.
func (m *Mesh) lane(ctx context.Context, id string) (*peer.Client, error) {
	found, ok := m.lanes.Load(id)
	if !ok {
		found, _ = m.lanes.LoadOrStore(id, &lane{})
	}
	l := found.(*lane)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		select {
		case <-l.client.Done():
			l.client = nil
		default:
			return l.client, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := m.dial(ctx, id)
	if err != nil {
		return nil, err
	}
	l.client, err = peer.Connect(ctx, raw, m.wire)
	return l.client, err
}

// Prepare opens the stream to a node ahead of the first batch. One that cannot be
// opened is left to the batch.
func (m *Mesh) Prepare(ctx context.Context, id string) {
	if _, err := m.lane(ctx, id); err != nil {
		m.cfg.Log.WithField("node", id).WithError(err).Debug("stream not opened ahead")
	}
}

// closeLanes ends all streams to other nodes.
func (m *Mesh) closeLanes() {
	m.lanes.Range(func(_, found any) bool {
		l := found.(*lane)
		l.mu.Lock()
		client := l.client
		l.client = nil
		l.mu.Unlock()
		if client != nil {
			client.Close()
		}
		return true
	})
}
