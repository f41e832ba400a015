package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/drain"
	"github.com/hickorydock/hickorydock/internal/coordination/pause"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// Notices by which a leaf asks for no or fewer new requests, in metrics.
const (
	noticeLeaving = "leaving"
	noticePause   = "pause"
	noticeLimit   = "limit"
	// noticeBadLoad is a load that could not be decoded and is ignored.
	noticeBadLoad = "bad_load"
	// noticeForeignReply is a reply that belongs to another request and is not used.
	noticeForeignReply = "foreign_reply"
)

// leavingValue is the value of HeaderNames.Leaving on the replies of a leaf that leaves.
const leavingValue = "1"

// handleNotices handles what a reply says about its leaf: its load, that it is leaving, that it
// asks for a pause, or that it limits the requests of all nodes. Calls that wait for a
// connection to it then go to another leaf. A reply of another leaf at the same address is
// ignored.
func (f *Forwarder) handleNotices(now time.Time, call *leafwire.Call) {
	reply := &call.Reply
	if reply.Header == nil || reply.Misdirected {
		return
	}
	if reply.Result != subrequest.BadReply {
		f.noteLimit(now, call)
		f.noteLoad(now, call)
	}
	if reply.Header.Get(f.cfg.Names.Leaving) == leavingValue {
		f.leafLeaves(now, call)
	}
	if reply.Status == http.StatusServiceUnavailable && reply.Result != subrequest.BadReply {
		f.leafPauses(now, call)
	}
}

// noteLoad records the load that a reply states.
func (f *Forwarder) noteLoad(now time.Time, call *leafwire.Call) {
	value := call.Reply.Header.Get(f.cfg.Names.Load)
	if value == "" || f.cfg.DecodeLoad == nil {
		return
	}
	load, err := f.cfg.DecodeLoad(value)
	if err != nil {
		f.observer.LeafNotice(noticeBadLoad)
		f.log.WithFields(callFields(call)).WithError(err).Warn("load that a leaf states ignored")
		return
	}
	call.Record.SetLoad(now, load)
}

// leafLeaves ends new work for a leaf. The platform's list cannot undo this for the same run
// of the leaf; another run has a new record.
func (f *Forwarder) leafLeaves(now time.Time, call *leafwire.Call) {
	known := false
	call.Record.UpdateDrain(func(d leaf.DrainState) leaf.DrainState {
		known = d.Reply
		return drain.OnReply(d, true, call.StartedAt, now)
	})
	if known {
		return
	}
	f.leafClient.FailWaiting(call.Leaf.ID)
	f.observer.LeafNotice(noticeLeaving)
	f.log.WithFields(callFields(call)).Info("leaf says that it is leaving")
}

// leafPauses ends new work for a leaf for as long as it asks.
func (f *Forwarder) leafPauses(now time.Time, call *leafwire.Call) {
	value := call.Reply.Header.Get("Retry-After")
	if value == "" {
		return
	}
	fields := callFields(call)
	asked, err := pause.Parse(value)
	if err != nil {
		f.log.WithFields(fields).WithError(err).Warn("pause that a leaf asks for ignored")
		return
	}
	if asked == 0 {
		return
	}
	length := pause.Length(asked, rand.Float64())
	record := call.Record
	started := record.Pause(now.Add(length))
	time.AfterFunc(time.Until(now.Add(length)), func() { record.Resume(time.Now()) })
	if !started {
		return
	}
	f.leafClient.FailWaiting(call.Leaf.ID)
	f.observer.LeafNotice(noticePause)
	fields["asked"] = asked
	fields["length"] = length.Round(time.Millisecond)
	f.log.WithFields(fields).Info("leaf asks for a pause")
}
