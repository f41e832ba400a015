package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	messages "github.com/hickorydock/hickorydock/internal/protocol/membership"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

const (
	// reportTimeout bounds sending reports to one node.
	reportTimeout = time.Second
	// reportRetryDelay is the delay before reports that were not delivered are sent again.
	reportRetryDelay = 100 * time.Millisecond
	// reportTTL is how long reports are sent again. It is shorter than the restart of a
	// leaf, so that a report that arrives twice does not count as two crashes.
	reportTTL = 3 * time.Second
	// maxPendingReports bounds the reports that wait for one node. Trials are dropped at half
	// of it, so that room is left for attributions.
	maxPendingReports = 1024
	// maxConcurrentReports bounds the nodes that reports are sent to concurrently. A node
	// that does not answer occupies one of them for reportTimeout.
	maxConcurrentReports = 64
)

// Results of reports.
const (
	reportDelivered = "delivered"
	reportFailed    = "failed"
	reportDropped   = "dropped"
)

// reportQueue holds the reports that wait for one node. It is guarded by reportSender.mu.
type reportQueue struct {
	reports []queuedReport
	sending bool
}

type queuedReport struct {
	quarantine.Report
	at time.Time
}

// reportSender sends quarantine reports. Each node has a queue of its own, so that one that
// does not answer delays no other, and gets all that wait for it in one call.
type reportSender struct {
	mesh   *Mesh
	mu     sync.Mutex
	queues map[string]*reportQueue
	slots  chan struct{}
}

func newReportSender(m *Mesh) *reportSender {
	return &reportSender{mesh: m, queues: make(map[string]*reportQueue), slots: make(chan struct{}, maxConcurrentReports)}
}

// Broadcast queues a quarantine report for all other nodes. It does not block.
func (m *Mesh) Broadcast(r quarantine.Report) {
	now := time.Now()
	for _, member := range m.Members() {
		if member.ID != m.cfg.Node {
			m.reports.add(now, member.ID, r)
		}
	}
	if r.Kind == quarantine.CrashAttributed {
		select {
		case m.crashAttributed <- struct{}{}:
		default: // what is handled next includes it
		}
	}
}

// sendQuarantines sends the quarantines of this node to members that were not present before,
// if it is one of their senders.
func (m *Mesh) sendQuarantines(before, present, changed []messages.Member) {
	if m.cfg.Quarantines == nil {
		return
	}
	for _, member := range changed {
		if member.ID == m.cfg.Node || member.State != messages.Alive || wasPresent(before, member) {
			continue
		}
		if !slices.Contains(quarantine.Senders(present, member.ID), m.cfg.Node) {
			continue
		}
		for _, entry := range m.cfg.Quarantines() {
			for _, r := range quarantine.Reports(entry.Fingerprint) {
				m.reports.add(time.Now(), member.ID, r)
			}
		}
	}
}

// wasPresent reports whether the members include the same run of a node.
func wasPresent(members []messages.Member, node messages.Member) bool {
	return slices.ContainsFunc(members, func(m messages.Member) bool { return m.ID == node.ID && m.Start == node.Start })
}

// add queues a report for a node and starts sending if nothing is being sent to it.
func (s *reportSender) add(now time.Time, id string, r quarantine.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mesh.closing.Err() != nil {
		return
	}
	q := s.queues[id]
	if q == nil {
		q = &reportQueue{}
		s.queues[id] = q
	}
	if !q.put(queuedReport{r, now}) {
		s.mesh.countReports(reportDropped, 1)
		return
	}
	if !q.sending {
		q.sending = true
		s.mesh.running.Go(func() { s.run(id) })
	}
}

// stop calls cancel, which ends the context of the mesh, while no sending can start.
func (s *reportSender) stop(cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancel()
}

// put appends a report and reports whether there was room. The end of a trial that was not
// announced yet removes the announcement instead.
func (q *reportQueue) put(r queuedReport) bool {
	if r.Kind == quarantine.TrialEnded {
		started := quarantine.Report{Kind: quarantine.TrialStarted, Fingerprint: r.Fingerprint, Leaf: r.Leaf}
		if i := slices.IndexFunc(q.reports, func(queued queuedReport) bool { return queued.Report == started }); i >= 0 {
			q.reports = slices.Delete(q.reports, i, i+1)
			return true
		}
	}
	limit := maxPendingReports
	if yields(r.Report) {
		limit /= 2
	}
	if len(q.reports) >= limit {
		return false
	}
	q.reports = append(q.reports, r)
	return true
}

// yields reports whether a report leaves room for attributions when many are queued.
func yields(r quarantine.Report) bool {
	return r.Kind == quarantine.TrialStarted || r.Kind == quarantine.TrialEnded || r.Kind == quarantine.VerifiedLost
}

// run sends the reports for a node until its queue is empty.
func (s *reportSender) run(id string) {
	for {
		batch := s.take(id)
		if len(batch) == 0 {
			return
		}
		err := s.deliver(id, batch)
		if err == nil {
			s.mesh.countReports(reportDelivered, len(batch))
			continue
		}
		s.mesh.cfg.Log.WithField("node", id).WithField("reports", len(batch)).WithError(err).Warn("quarantine reports not delivered")
		s.mesh.countReports(reportFailed, len(batch))
		s.requeue(time.Now(), id, batch)
		select {
		case <-s.mesh.closing.Done():
		case <-time.After(reportRetryDelay):
		}
	}
}

// take removes and returns the reports that wait for a node. If there are none, sending
// ends.
func (s *reportSender) take(id string) []queuedReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[id]
	batch := q.reports
	q.reports = nil
	if len(batch) == 0 || s.mesh.closing.Err() != nil {
		delete(s.queues, id)
		return nil
	}
	return batch
}

// requeue queues what was not delivered again, before what came since. What yields is out of date
// by then, and what is older than reportTTL is given up.
func (s *reportSender) requeue(now time.Time, id string, batch []queuedReport) {
	batch = slices.DeleteFunc(batch, func(r queuedReport) bool { return yields(r.Report) || now.Sub(r.at) >= reportTTL })
	s.mu.Lock()
	q := s.queues[id]
	q.reports = append(batch, q.reports...)
	s.mu.Unlock()
}

// deliver sends reports to a node in one call.
func (s *reportSender) deliver(id string, batch []queuedReport) error {
	select {
	case s.slots <- struct{}{}:
	case <-s.mesh.closing.Done():
		return s.mesh.closing.Err()
	}
	defer func() { <-s.slots }()
	request := &contract.ReportRequest{Hello: s.mesh.peerConfig.Hello()}
	for _, r := range batch {
		request.Charges = append(request.Charges, &contract.Charge{Kind: contract.ChargeKind(r.Kind), Fingerprint: uint64(r.Fingerprint), Leaf: r.Leaf})
	}
	ctx, cancel := context.WithTimeout(s.mesh.closing, reportTimeout)
	defer cancel()
	raw, err := s.mesh.dial(ctx, id)
	if err != nil {
		return err
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	_, err = contract.NewDRPCGatewayClient(conn).Charge(ctx, request)
	return err
}

func (m *Mesh) countReports(result string, n int) {
	if m.cfg.OnReportsSent != nil {
		m.cfg.OnReportsSent(result, n)
	}
}

func decodeReport(message *contract.Charge) quarantine.Report {
	return quarantine.Report{Kind: quarantine.Kind(message.Kind), Fingerprint: quarantine.Fingerprint(message.Fingerprint), Leaf: message.Leaf}
}
