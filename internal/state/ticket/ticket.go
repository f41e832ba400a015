// Package ticket issues the tickets of one incarnation of a node, verifies them
// and stores their redemptions. Tickets that are not redeemed take no memory. The
// store is sharded; each shard has its own lock.
package ticket

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
)

const shardCount = 16

// SecretBytes is the length of the secret that New takes.
const SecretBytes = 32

// Options are the settings of a store.
type Options struct {
	Issuer command.Incarnation
	// Secret authenticates tickets; it must be random for each incarnation.
	Secret []byte
	// Lifetime is how long a ticket may be redeemed.
	Lifetime time.Duration
	// Retention is how long after a ticket's expiry its redemption is stored.
	Retention time.Duration
	// Limit is the number of stored redemptions at which Full returns true.
	Limit int
}

// Store issues tickets and stores their redemptions. It is safe for
// concurrent use.
type Store struct {
	options Options
	serial  atomic.Uint64
	count   atomic.Int64
	shards  [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	bySerial map[uint64]entry
}

type entry struct {
	redemption command.Redemption
	expires    time.Time
}

// New returns an empty store.
func New(options Options) *Store {
	s := &Store{options: options}
	for i := range s.shards {
		s.shards[i].bySerial = make(map[uint64]entry)
	}
	return s
}

// Issue returns a new ticket and its signed form.
func (s *Store) Issue(service string, now time.Time) (command.Ticket, string, error) {
	ticket := command.Ticket{
		Issuer:    s.options.Issuer,
		Service:   service,
		Serial:    s.serial.Add(1),
		ExpiresMS: now.Add(s.options.Lifetime).UnixMilli(),
	}
	signed, err := ticket.Sign(s.options.Secret)
	return ticket, signed, err
}

// Verify decodes a ticket of this incarnation; it fails with command.ErrInvalidTicket.
func (s *Store) Verify(signed string) (command.Ticket, error) {
	return command.VerifyTicket(signed, s.options.Secret)
}

// Retention is Options.Retention.
func (s *Store) Retention() time.Duration { return s.options.Retention }

// Full reports whether no further redemption may be stored.
func (s *Store) Full() bool { return s.count.Load() >= int64(s.options.Limit) }

func (s *Store) shard(serial uint64) *shard { return &s.shards[serial%shardCount] }

// Redeem calls decide with the stored redemption of a ticket, or nil, under the
// lock of its shard. When decide returns a redemption, it is stored before
// Redeem returns.
func (s *Store) Redeem(ticket command.Ticket, decide func(previous *command.Redemption) *command.Redemption) {
	sh := s.shard(ticket.Serial)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var previous *command.Redemption
	if e, ok := sh.bySerial[ticket.Serial]; ok {
		previous = &e.redemption
	}
	redemption := decide(previous)
	if redemption == nil {
		return
	}
	if previous == nil {
		s.count.Add(1)
	}
	expires := ticket.Expires().Add(s.options.Retention)
	sh.bySerial[ticket.Serial] = entry{redemption: *redemption, expires: expires}
}

// Settle records the final state of a redemption.
func (s *Store) Settle(serial uint64, state command.State, answer *command.Answer) {
	sh := s.shard(serial)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, ok := sh.bySerial[serial]
	if !ok {
		return
	}
	e.redemption.State = state
	e.redemption.Answer = answer
	sh.bySerial[serial] = e
}

// Release removes the redemption of a ticket whose command certainly did not run, so
// that the ticket can be redeemed again.
func (s *Store) Release(serial uint64) {
	sh := s.shard(serial)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s.remove(sh, serial)
}

// remove removes a redemption. The caller holds the lock of its shard.
func (s *Store) remove(sh *shard, serial uint64) {
	if _, ok := sh.bySerial[serial]; ok {
		delete(sh.bySerial, serial)
		s.count.Add(-1)
	}
}

// Sweep removes the redemptions whose retention has ended, except those whose
// command is still running.
func (s *Store) Sweep(now time.Time) {
	for i := range s.shards {
		s.sweepShard(&s.shards[i], now)
	}
}

func (s *Store) sweepShard(sh *shard, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for serial, e := range sh.bySerial {
		if now.After(e.expires) && e.redemption.State != command.StateClaimed {
			s.remove(sh, serial)
		}
	}
}

// Ledger lists the redemptions for nodes that look up a ticket after this
// incarnation has ended: at most limit of them, with at most answerBytes of items
// in total.
func (s *Store) Ledger(now time.Time, limit, answerBytes int) command.Ledger {
	ledger := command.Ledger{
		Issuer:      s.options.Issuer,
		Complete:    true,
		EndedAt:     now,
		RetentionMS: s.options.Retention.Milliseconds(),
	}
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for _, e := range sh.bySerial {
			if len(ledger.Redemptions) >= limit {
				ledger.Complete = false
				break
			}
			r, size := limitAnswer(e.redemption, answerBytes)
			answerBytes -= size
			ledger.Redemptions = append(ledger.Redemptions, r)
		}
		sh.mu.Unlock()
	}
	return ledger
}

// limitAnswer bounds a redemption's answer and returns the size of its items.
// A redemption still in progress becomes unknown.
func limitAnswer(r command.Redemption, limit int) (command.Redemption, int) {
	if r.State == command.StateClaimed {
		r.State = command.StateUnknown
	}
	if r.Answer == nil {
		return r, 0
	}
	answer := r.Answer.Bounded(max(0, limit))
	r.Answer = &answer
	size := 0
	for _, item := range answer.Items {
		size += len(item)
	}
	return r, size
}
