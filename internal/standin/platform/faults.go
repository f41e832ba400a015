package platform

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// Outage selects how the stand-in handles calls during an outage.
type Outage string

// Kinds of outage.
const (
	OutageNone Outage = ""
	// OutageRefuse fails every call with ErrUnavailable and ends watches.
	OutageRefuse Outage = "refuse"
	// OutageHang blocks every call, without effect, until the outage ends or the
	// caller disconnects; watches send neither events nor heartbeats.
	OutageHang Outage = "hang"
)

// Faults configures the injected faults. The zero value injects none.
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
	// WritesPerSecond and ReadsPerSecond limit the calls of all clients together;
	// 0 means no limit. A watch counts as one read when it opens.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// newLimiter returns nil, which means no limit, if perSecond is 0.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// writeFault is the fault that affects one write.
type writeFault int

const (
	writeFaultNone writeFault = iota
	writeFaultLostReply
	writeFaultLateEffect
)

// SetFaults replaces the current faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.writeLimiter = newLimiter(faults.WritesPerSecond)
	p.readLimiter = newLimiter(faults.ReadsPerSecond)
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	faults, _ := p.faultsAndChange()
	return faults
}

// faultsAndChange returns the current faults and a channel that is closed when
// they are replaced.
func (p *Platform) faultsAndChange() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsChanged
}

// startCall counts a call and then applies the rate limits, the current outage and
// the current latency.
func (p *Platform) startCall(ctx context.Context, call Call) error {
	p.mu.Lock()
	p.calls[call]++
	limiter := p.readLimiter
	if call.isWrite() {
		limiter = p.writeLimiter
	}
	p.mu.Unlock()
	if limiter != nil && !limiter.Allow() {
		return platform.ErrThrottled
	}
	return p.waitForFaults(ctx)
}

// waitForFaults blocks until no outage is active and the latency has elapsed. It
// returns ErrUnavailable during an outage that refuses calls.
func (p *Platform) waitForFaults(ctx context.Context) error {
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

// sleep waits for d; it returns ctx.Err() if ctx ends first.
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

// sampleWriteFault chooses at random the fault of one write and, for a late effect,
// its delay.
func (p *Platform) sampleWriteFault() (writeFault, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sample := p.random.Float64()
	if sample < p.faults.LostReplyShare {
		return writeFaultLostReply, 0
	}
	if sample < p.faults.LostReplyShare+p.faults.LateEffectShare {
		return writeFaultLateEffect, p.faults.LateEffectDelay
	}
	return writeFaultNone, 0
}

// run executes one unary call under the current faults.
func run[T any](ctx context.Context, p *Platform, call Call, op func() (T, error)) (T, error) {
	var zero T
	if err := p.startCall(ctx, call); err != nil {
		return zero, err
	}
	if !call.isWrite() {
		return op()
	}
	fault, delay := p.sampleWriteFault()
	switch fault {
	case writeFaultLostReply:
		_, _ = op()
		return zero, platform.ErrReplyLost
	case writeFaultLateEffect:
		time.AfterFunc(delay, func() { _, _ = op() })
		return zero, platform.ErrReplyLost
	}
	return op()
}
