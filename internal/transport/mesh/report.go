package mesh

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

const (
	// reportTimeout bounds sending a report to one node.
	reportTimeout = time.Second
	// maxPendingReports bounds the queued reports; further ones are dropped.
	maxPendingReports = 256
	// maxConcurrentReports bounds the nodes that a report is sent to concurrently.
	maxConcurrentReports = 8
)

// Results of reports.
const (
	reportDelivered = "delivered"
	reportFailed    = "failed"
	reportDropped   = "dropped"
)

func (m *Mesh) countReports(result string, n int) {
	if m.cfg.OnReportsSent != nil {
		m.cfg.OnReportsSent(result, n)
	}
}

// Broadcast queues a quarantine report for all other nodes. It does not block.
func (m *Mesh) Broadcast(r quarantine.Report) {
	select {
	case m.reports <- r:
	default:
		m.cfg.Log.WithField("leaf", r.Leaf).Warn("quarantine report dropped: queue is full")
		m.countReports(reportDropped, 1)
	}
}

// broadcastReports sends queued reports until the mesh is closed.
func (m *Mesh) broadcastReports() {
	for {
		select {
		case <-m.closing.Done():
			return
		case r := <-m.reports:
			m.sendToAll(r)
		}
	}
}

func (m *Mesh) sendToAll(r quarantine.Report) {
	message := &contract.Charge{Kind: contract.ChargeKind(r.Kind), Fingerprint: uint64(r.Fingerprint), Leaf: r.Leaf}
	slots := make(chan struct{}, maxConcurrentReports)
	var sending sync.WaitGroup
	for _, member := range m.Members() {
		if member.ID == m.cfg.Node {
			continue
		}
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			if err := m.sendReport(member.ID, message); err != nil {
				m.cfg.Log.WithField("node", member.ID).WithError(err).Warn("quarantine report not delivered")
				m.countReports(reportFailed, 1)
				return
			}
			m.countReports(reportDelivered, 1)
		})
	}
	sending.Wait()
}

func (m *Mesh) sendReport(id string, message *contract.Charge) error {
	ctx, cancel := context.WithTimeout(m.closing, reportTimeout)
	defer cancel()
	raw, err := m.dial(ctx, id)
	if err != nil {
		return err
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	_, err = contract.NewDRPCGatewayClient(conn).Charge(ctx, &contract.ReportRequest{Hello: m.peerConfig.Hello(), Charges: []*contract.Charge{message}})
	return err
}

func decodeReport(message *contract.Charge) quarantine.Report {
	return quarantine.Report{Kind: quarantine.Kind(message.Kind), Fingerprint: quarantine.Fingerprint(message.Fingerprint), Leaf: message.Leaf}
}
