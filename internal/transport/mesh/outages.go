package mesh

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/drain"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// outages holds the outages of the platform for each kind, since it may serve some kinds only.
type outages struct {
	mu    sync.Mutex
	kinds map[platform.Kind]*drain.Outage
}

// update calls change with the outages of a kind.
func (o *outages) update(kind platform.Kind, change func(*drain.Outage)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.kinds == nil {
		o.kinds = make(map[platform.Kind]*drain.Outage)
	}
	if o.kinds[kind] == nil {
		o.kinds[kind] = &drain.Outage{}
	}
	change(o.kinds[kind])
}

// outageEnded returns when the last outage of the platform for a kind ended, zero if there was
// none.
func (m *Mesh) outageEnded(kind platform.Kind) (ended time.Time) {
	m.outages.update(kind, func(o *drain.Outage) { ended = o.Ended() })
	return ended
}

// readServed records that the platform served a read of this node now.
func (m *Mesh) readServed(kind platform.Kind) {
	var lasted time.Duration
	m.outages.update(kind, func(o *drain.Outage) { lasted = o.Served(time.Now(), m.cfg.Heartbeat) })
	if lasted > 0 {
		m.cfg.Log.WithFields(log.Fields{"kind": string(kind), "lasted": lasted}).Warn("outage of the platform ended")
	}
}

// copyReceived records when the platform confirmed the copy of another node, and what that node
// knows of outages.
func (m *Mesh) copyReceived(kind platform.Kind, confirmed time.Time, reply *contract.FollowReply) {
	now := time.Now()
	m.outages.update(kind, func(o *drain.Outage) {
		o.Confirmed(confirmed, m.cfg.Heartbeat)
		if reply.FailingMs != nil {
			o.SourceFailed(before(now, *reply.FailingMs))
		}
		if reply.OutageEndedMs != nil {
			o.EndedAt(before(now, *reply.OutageEndedMs))
		}
	})
}

// report adds what this node knows of outages of the platform itself to a reply. It omits one
// whose end is so long ago that leafs have registered again.
func (m *Mesh) report(kind platform.Kind, confirmed time.Time, reply *contract.FollowReply) {
	var ended, failing time.Time
	m.outages.update(kind, func(o *drain.Outage) { ended, failing = o.PlatformEnded(), o.FailingSince(confirmed) })
	if drain.RemovalGracePeriod(ended, time.Now()) > 0 {
		since := millisecondsSince(ended)
		reply.OutageEndedMs = &since
	}
	if !failing.IsZero() {
		since := millisecondsSince(failing)
		reply.FailingMs = &since
	}
}

// millisecondsSince is the form in which nodes state times to each other, since their clocks may
// differ.
func millisecondsSince(t time.Time) uint64 { return uint64(max(time.Since(t).Milliseconds(), 0)) }

func before(now time.Time, milliseconds uint64) time.Time {
	return now.Add(-time.Duration(milliseconds) * time.Millisecond)
}

// readFailed records that a read of this node failed, which the platform may not have served
// since a time before.
func (m *Mesh) readFailed(kind platform.Kind, since time.Time) {
	m.outages.update(kind, func(o *drain.Outage) { o.Failed(since, time.Now()) })
}
