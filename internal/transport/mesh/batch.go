package mesh

import (
	"context"
	"sync"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// batchStream is the stream of batches to one node. Its mutex is held while the
// stream is opened.
type batchStream struct {
	mu     sync.Mutex
	client *peer.Client
}

// Do sends a batch to a present member over a stream that is reused; see
// peer.Client.Do.
func (m *Mesh) Do(ctx context.Context, id string, batch *contract.Batch, deliver func(peer.Result)) error {
	client, err := m.batchStream(ctx, id)
	if err != nil {
		return fault.Wrap(peer.ErrNotSent, fault.StepPeer, id, "open stream: %v", err)
	}
	return client.Do(ctx, batch, deliver)
}

// batchStream returns the open stream to a node, or opens one.
func (m *Mesh) batchStream(ctx context.Context, id string) (*peer.Client, error) {
	found, ok := m.streams.Load(id)
	if !ok {
		found, _ = m.streams.LoadOrStore(id, &batchStream{})
	}
	s := found.(*batchStream)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.client != nil {
		select {
		case <-s.client.Done():
			s.client = nil
		default:
			return s.client, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := m.dial(ctx, id)
	if err != nil {
		return nil, err
	}
	s.client, err = peer.Connect(ctx, raw, m.peerConfig)
	return s.client, err
}

// Prepare opens the stream to a node ahead of the first batch. If that fails, the
// first batch tries again.
func (m *Mesh) Prepare(ctx context.Context, id string) {
	if _, err := m.batchStream(ctx, id); err != nil {
		m.cfg.Log.WithField("node", id).WithError(err).Debug("failed to open stream in advance")
	}
}

// closeStreams closes all streams to other nodes.
func (m *Mesh) closeStreams() {
	m.streams.Range(func(_, found any) bool {
		s := found.(*batchStream)
		s.mu.Lock()
		client := s.client
		s.client = nil
		s.mu.Unlock()
		if client != nil {
			client.Close()
		}
		return true
	})
}
