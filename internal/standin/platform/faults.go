package platform

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// Outage says how the stand-in treats calls while it is down.
type Outage string

// Kinds of outage.
const (
	OutageNone Outage = ""
	// OutageRefuse answers every call with "unavailable" and ends watches.
	OutageRefuse Outage = "refuse"
	// OutageHang holds every call, without effect, until the outage ends or the
	// caller leaves; watches fall silent.
	OutageHang Outage = "hang"
)

// Faults are the faults in force. The zero value has none.
type Faults struct {
	Outage Outage
	// StalledWatches makes a poll that is already waiting receive no changes; the
	// next poll returns them.
	StalledWatches bool
	// Latency is added to every call and to every delivery of a watch.
	Latency time.Duration
	// LostReplyShare is the share of writes, in [0, 1], that take effect and whose
	// connection is closed without a reply.
	LostReplyShare float64
	// LateEffectShare is the share of writes, in [0, 1], whose connection is closed
	// at once and that take effect LateEffectDelay later.
	LateEffectShare float64
	LateEffectDelay time.Duration
	// WritesPerSecond and ReadsPerSecond bound the calls of all clients together;
	// 0 means no bound. A watch counts as one read when it opens.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// limiter returns nil when perSecond is 0.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// fate is what becomes of one write.
type fate int

const (
	fateNone fate = iota
	fateLostReply
	fateLateEffect
)

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.writes = limiter(faults.WritesPerSecond)
	p.reads = limiter(faults.ReadsPerSecond)
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	faults, _ := p.faultsAndChange()
	return faults
}

func (p *Platform) faultsAndChange() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsChanged
}

// enter counts a call, applies the call rates and then waits as the outage and
// the latency demand.
func (p *Platform) enter(ctx context.Context, call Call) error {
	p.mu.Lock()
	p.calls[call]++
	bound := p.reads
	if call.isWrite() {
		bound = p.writes
	}
	p.mu.Unlock()
	if bound != nil && !bound.Allow() {
		return platform.ErrThrottled
	}
	return p.await(ctx)
}

// await returns when no outage is in force and the latency has passed.
func (p *Platform) await(ctx context.Context) error {
	for {
		faults, changed := p.faultsAndChange()
		switch faults.Outage {
		case OutageNone:
			return sleep(ctx, faults.Latency)
		case OutageRefuse:
			return platform.ErrUnavailable
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (p *Platform) writeFate() (fate, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	draw := p.random.Float64()
	if draw < p.faults.LostReplyShare {
		return fateLostReply, 0
	}
	if draw < p.faults.LostReplyShare+p.faults.LateEffectShare {
		return fateLateEffect, p.faults.LateEffectDelay
	}
	return fateNone, 0
}

// run performs one unary call under the faults in force.
func run[T any](ctx context.Context, p *Platform, call Call, op func() (T, error)) (T, error) {
	var none T
	if err := p.enter(ctx, call); err != nil {
		return none, err
	}
	if !call.isWrite() {
		return op()
	}
	fate, lateBy := p.writeFate()
	switch fate {
	case fateLostReply:
		_, _ = op()
		return none, platform.ErrReplyLost
	case fateLateEffect:
		time.AfterFunc(lateBy, func() { _, _ = op() })
		return none, platform.ErrReplyLost
	}
	return op()
}
