package ownership

import "github.com/cespare/xxhash/v2"

// chooser chooses the owners of one cluster after the other.
type chooser struct {
	a       *Assignment
	owners  int
	maxLoad int
	// hashes are the hashes of the members; mixed with the hash of a cluster, each
	// gives the score of the member for that cluster.
	hashes []uint64
}

func newChooser(a *Assignment, cfg Config) *chooser {
	owners := min(cfg.Owners, len(a.Members))
	c := &chooser{a: a, owners: owners, maxLoad: maxLoad(a.Clusters, owners, len(a.Members), cfg.LoadBound)}
	for _, m := range a.Members {
		c.hashes = append(c.hashes, xxhash.Sum64String(m.ID))
	}
	return c
}

// mix is the finaliser of SplitMix64; it spreads the bits of a member's and a
// cluster's hash into a score.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rank orders candidates: first those with spare capacity, then by spread over
// availability zones and racks, then by the highest score.
type rank struct {
	full  bool
	load  int // of a full candidate; 0 for others
	zone  int // owners already chosen in the candidate's availability zone
	rack  int // owners already chosen in the candidate's rack
	score uint64
}

func (r rank) betterThan(o rank) bool {
	switch {
	case r.full != o.full:
		return !r.full
	case r.load != o.load:
		return r.load < o.load
	case r.zone != o.zone:
		return r.zone < o.zone
	case r.rack != o.rack:
		return r.rack < o.rack
	default:
		return r.score > o.score
	}
}

// choose chooses the owners of a cluster. Among the members with spare capacity, it
// takes the availability zone with the fewest owners of the cluster so far, then the
// rack with the fewest, then the highest score. If all members are full, it takes the
// least loaded one.
func (c *chooser) choose(cluster *Cluster) {
	hash := xxhash.Sum64String(cluster.Name)
	zones := make(map[string]int)
	racks := make(map[string]int)
	weight := len(cluster.Leafs)
	chosen := make(map[int]bool, c.owners)
	for range c.owners {
		best, bestRank := -1, rank{}
		for i, m := range c.a.Members {
			if chosen[i] {
				continue
			}
			r := rank{
				full:  c.a.Load[i]+weight > c.maxLoad,
				zone:  zones[m.AvailabilityZone],
				rack:  racks[m.Rack],
				score: mix(c.hashes[i] ^ hash),
			}
			if r.full {
				r.load = c.a.Load[i]
			}
			if best < 0 || r.betterThan(bestRank) {
				best, bestRank = i, r
			}
		}
		c.addOwner(cluster, best, bestRank, weight)
		chosen[best] = true
		zones[c.a.Members[best].AvailabilityZone]++
		racks[c.a.Members[best].Rack]++
	}
}

func (c *chooser) addOwner(cluster *Cluster, member int, r rank, weight int) {
	cluster.Owners = append(cluster.Owners, member)
	c.a.Load[member] += weight
	if r.full {
		c.a.Overflows++
	}
}
