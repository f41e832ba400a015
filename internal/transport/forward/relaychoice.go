package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

const (
	// silentRelayAvoidance is how long a relay that did not reply to its last batch is avoided.
	silentRelayAvoidance = 2 * time.Second
	// maxRelayTries is the number of nodes that the shards of a cluster are sent to in turn
	// when none of them runs any.
	maxRelayTries = 8
)

// chooseRelay removes a relay that was not tried from the cluster and returns it.
// Preferred relays come first, and silent relays, preferred or not, last.
func (x *exchange) chooseRelay(now time.Time, run *clusterRun) (shardmap.Replica, bool) {
	if run.tries >= maxRelayTries {
		return shardmap.Replica{}, false
	}
	for _, unsuitable := range []func(time.Time, []shardmap.Replica) replica.Set{silentRelays, noRelays} {
		for _, relays := range []*[]shardmap.Replica{&run.cluster.Preferred, &run.cluster.Fallback} {
			i := replica.Choose(now, *relays, unsuitable(now, *relays), x.f.cfg.AvailabilityZone, rand.Uint64())
			if i == replica.None {
				continue
			}
			relay := (*relays)[i]
			*relays = slices.Delete(slices.Clone(*relays), i, i+1)
			return relay, true
		}
	}
	return shardmap.Replica{}, false
}

// silentRelays returns the relays that recently did not reply to a batch.
func silentRelays(now time.Time, relays []shardmap.Replica) replica.Set {
	var set replica.Set
	for i, relay := range relays {
		stats := relay.Record.Stats()
		if stats.Unanswered+stats.Failures > 0 && now.Sub(stats.LastSend) < silentRelayAvoidance {
			set = set.With(i)
		}
	}
	return set
}

func noRelays(time.Time, []shardmap.Replica) replica.Set { return 0 }
