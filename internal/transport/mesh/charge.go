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
	// chargeTimeout bounds telling one node.
	chargeTimeout = time.Second
	// pendingCharges bounds the reports that wait; further ones are dropped.
	pendingCharges = 256
	// chargesAtOnce bounds the nodes that are told at the same time.
	chargesAtOnce = 8
)

// Broadcast passes a quarantine report on to all other nodes. It does not block.
func (m *Mesh) Broadcast(r quarantine.Report) {
	select {
	case m.reports <- r:
	default:
		m.cfg.Log.WithField("leaf", r.Leaf).Warn("quarantine report dropped, too many wait")
	}
}

// tellAll passes reports on until the mesh is closed.
func (m *Mesh) tellAll() {
	for {
		select {
		case <-m.closing.Done():
			return
		case r := <-m.reports:
			m.tellEach(r)
		}
	}
}

func (m *Mesh) tellEach(r quarantine.Report) {
	charge := &contract.Charge{Kind: contract.ChargeKind(r.Kind), Fingerprint: uint64(r.Fingerprint), Leaf: r.Leaf}
	room := make(chan struct{}, chargesAtOnce)
	var telling sync.WaitGroup
	for _, member := range m.Members() {
		if member.ID == m.cfg.Node {
			continue
		}
		room <- struct{}{}
		telling.Go(func() {
			defer func() { <-room }()
			if err := m.tell(member.ID, charge); err != nil {
				m.cfg.Log.WithField("node", member.ID).WithError(err).Debug("quarantine report not delivered")
			}
		})
	}
	telling.Wait()
}

func (m *Mesh) tell(id string, charge *contract.Charge) error {
	ctx, cancel := context.WithTimeout(m.closing, chargeTimeout)
	defer cancel()
	raw, err := m.dial(ctx, id)
	if err != nil {
		return err
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	_, err = contract.NewDRPCGatewayClient(conn).Charge(ctx, &contract.ReportRequest{Hello: m.wire.Hello(), Charges: []*contract.Charge{charge}})
	return err
}

func reportOf(charge *contract.Charge) quarantine.Report {
	return quarantine.Report{Kind: quarantine.Kind(charge.Kind), Fingerprint: quarantine.Fingerprint(charge.Fingerprint), Leaf: charge.Leaf}
}
