package experiment

import (
	"fmt"

	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
)

// designSize is the deployment that the capacity page is calculated for.
type designSize struct {
	nodes, leafs, zones, regions int
	queries                      float64 // per second
	fanOut                       float64 // shards of a query
	changes, replaced, failed    float64 // per day
	services                     float64 // assumed
	relaysPerQuery               float64 // from experiment ownership, for all shards of a group
	groupShards                  float64 // shards of that group
	owners                       float64 // relays of a leaf
	pollsPerSecond               float64 // of one relay to one leaf
}

// designedFor is the size planned for two years from now. The numbers of services,
// polls and relays are assumptions and design choices, not part of that plan.
var designedFor = designSize{
	nodes: 610, leafs: 2900, zones: 6, regions: 2,
	queries: 110_000, fanOut: 310,
	changes: 750, replaced: 1200, failed: 14,
	services: controlServices, relaysPerQuery: 57.3, groupShards: 290, owners: 4, pollsPerSecond: 1 / controlPollInterval.Seconds(),
}

const (
	secondsPerDay      = 86_400.0
	microPerSecond     = 1e6
	assumedCores       = 16.0
	assumedUtilisation = 0.7 // share of the cores that a node may use
	assumedMemoryGB    = 32.0
)

// capacity extrapolates measured slopes to a deployment size.
type capacity struct {
	size  designSize
	slope map[string]Slope
}

func newCapacity(slopes []Slope) (*capacity, error) {
	c := &capacity{size: designedFor, slope: make(map[string]Slope)}
	for _, s := range slopes {
		c.slope[s.Name] = s
	}
	for _, source := range slopeSources() {
		if _, ok := c.slope[source.name]; !ok {
			return nil, fmt.Errorf("capacity: no slope %s", source.name)
		}
	}
	return c, nil
}

func (c *capacity) perUnit(name string) float64   { return c.slope[name].PerUnit }
func (c *capacity) intercept(name string) float64 { return c.slope[name].Intercept }

// Rates of one node or leaf, per second.

func (c *capacity) nodeQueries() float64     { return c.size.queries / float64(c.size.nodes) }
func (c *capacity) nodeSubrequests() float64 { return c.nodeQueries() * c.size.fanOut }
func (c *capacity) batchesPerQuery() float64 {
	return c.size.relaysPerQuery * c.size.fanOut / c.size.groupShards
}
func (c *capacity) nodeBatches() float64 { return c.nodeQueries() * c.batchesPerQuery() }
func (c *capacity) leafSubrequests() float64 {
	return c.size.queries * c.size.fanOut / float64(c.size.leafs)
}

// nodePlaces is the number of leafs for which a node is a relay.
func (c *capacity) nodePlaces() float64 {
	return float64(c.size.leafs) * c.size.owners / float64(c.size.nodes)
}
func (c *capacity) nodePolls() float64 { return c.nodePlaces() * c.size.pollsPerSecond }

// memberChanges is the number of times per day that a member joins or leaves.
func (c *capacity) memberChanges() float64 { return 2*c.size.replaced + 2*c.size.failed }

// CPU time of one node, in cores.

func cores(perSecond, micros float64) float64 { return perSecond * micros / microPerSecond }

func (c *capacity) queryCores() float64 { return cores(c.nodeQueries(), c.perUnit("query")) }
func (c *capacity) planCores() float64 {
	return cores(c.nodeSubrequests(), c.perUnit("entry_shard")+c.perUnit("merged_item"))
}
func (c *capacity) hopCores() float64 {
	return cores(c.nodeBatches(), c.intercept("batch")) + cores(c.nodeSubrequests(), c.perUnit("batch"))
}
func (c *capacity) scatteredCores() float64 {
	return cores(c.nodeBatches(), c.intercept("scattered_batch")) + cores(c.nodeSubrequests(), c.perUnit("scattered_batch"))
}
func (c *capacity) leafCores() float64 { return cores(c.nodeSubrequests(), c.perUnit("subrequest")) }
func (c *capacity) pollCores() float64 { return cores(c.nodePolls(), c.perUnit("poll")) }

// assignMicros is the CPU time of one assignment of all leafs to owners.
func (c *capacity) assignMicros() float64 {
	return c.intercept("member") + c.perUnit("member")*float64(c.size.nodes)
}
func (c *capacity) memberCores() float64 {
	return cores(c.memberChanges()/secondsPerDay, c.assignMicros())
}
func (c *capacity) changeMicros() float64 {
	return c.intercept("change") + c.perUnit("change")*c.size.services
}
func (c *capacity) changeCores() float64 {
	return cores(c.size.changes/secondsPerDay, c.changeMicros())
}

// totalCores is the CPU time of a node, in cores; scattered selects batches whose
// results arrive one by one instead of together.
func (c *capacity) totalCores(scattered bool) float64 {
	hop := c.hopCores()
	if scattered {
		hop = c.scatteredCores()
	}
	return c.queryCores() + c.planCores() + hop + c.leafCores() + c.pollCores() + c.memberCores() + c.changeCores()
}

// breaksAt is the rate of the whole fleet, in queries per second, at which nodes
// with the given number of cores use assumedUtilisation of them.
func (c *capacity) breaksAt(cores float64, scattered bool) float64 {
	return c.size.queries * assumedUtilisation * cores / c.totalCores(scattered)
}

// Memory of one node, in bytes.

func (c *capacity) streamBytes() float64 { return c.perUnit("stream_memory") * float64(c.size.nodes-1) }
func (c *capacity) leafBytes() float64   { return c.perUnit("leaf_memory") * float64(c.size.leafs) }
func (c *capacity) serviceBytes() float64 {
	return c.perUnit("service_memory") * c.size.services
}

// Bytes on the network of one node, per second, both directions.

func (c *capacity) hopBytes() float64 {
	// Each node is the sender of its own batches and the receiver of as many.
	return 2 * (c.nodeBatches()*c.intercept("batch_bytes") + c.nodeSubrequests()*c.perUnit("batch_bytes"))
}
func (c *capacity) leafTraffic() float64 {
	return c.nodeSubrequests() * c.perUnit("subrequest_bytes")
}

// longestExchange is the longest time, in milliseconds, for which a request may
// occupy one of a leaf's connections.
func (c *capacity) longestExchange(connections, perRequest float64) float64 {
	return 1000 * connections * perRequest / c.leafSubrequests()
}

// slotMicros is the time available in a slot for one subrequest, in microseconds.
func (c *capacity) slotMicros(slots float64) float64 {
	return microPerSecond * slots / c.leafSubrequests()
}

// gathered is the number of subrequests that a relay collects for one leaf in waitMillis.
func (c *capacity) gathered(waitMillis float64) float64 {
	return c.leafSubrequests() / c.size.owners * waitMillis / 1000
}

// reportInterval is the time between two status reports of a node, in seconds.
func (c *capacity) reportInterval() float64 {
	return reconcile.ReportInterval(c.size.nodes).Seconds()
}
