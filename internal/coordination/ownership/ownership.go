// Package ownership decides which nodes relay to which leafs, by rendezvous
// hashing over the members that a node knows. Every node that knows the same
// members and leafs computes the same owners, without asking anyone. Leafs of a
// group are owned in clusters, so that a query reaches many leafs through few
// relays. Values are plain and not shared between goroutines.
package ownership

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a node that can own leafs.
type Member struct {
	ID               string
	AvailabilityZone string
	Rack             string
}

// Leaf is a leaf to be owned.
type Leaf struct {
	ID string
	// Group is the upstream group; clusters never span groups.
	Group string
	// Key names what the leaf holds. Leafs of a group with the same key have the
	// same owners, so that one relay can choose among the replicas of a shard.
	Key string
}

// Config fixes the rules of an assignment.
type Config struct {
	// Owners is the number of owners of each leaf.
	Owners int
	// ClusterSize is the number of leafs of a group that share their owners, on
	// average between this and half of it; 1 gives each key owners of its own.
	ClusterSize int
	// LoadBound is the most load of a member as a multiple of the mean; at least 1.
	// A member may exceed the mean by one cluster in any case.
	LoadBound float64
}

// Usual rules of an assignment.
const (
	DefaultOwners      = 4
	DefaultClusterSize = 16
	DefaultLoadBound   = 1.25
)

// DefaultConfig returns the usual rules.
func DefaultConfig() Config {
	return Config{Owners: DefaultOwners, ClusterSize: DefaultClusterSize, LoadBound: DefaultLoadBound}
}

// Cluster is a set of leafs of one group with the same owners.
type Cluster struct {
	Name  string
	Leafs []string
	// Owners are indices into the assignment's members, the best score first.
	Owners []int
}

// Assignment is the result of Assign.
type Assignment struct {
	Members  []Member // sorted by ID
	Clusters []Cluster
	// Load is the number of leafs for each member, each leaf counted in full for
	// each of its owners.
	Load []int
	// Overflows counts owners that had to be chosen above the load bound.
	Overflows int
	byLeaf    map[string]int
}

// Of returns the owners of a leaf, the best score first.
func (a *Assignment) Of(leafID string) []Member {
	i, ok := a.byLeaf[leafID]
	if !ok {
		return nil
	}
	owners := make([]Member, 0, len(a.Clusters[i].Owners))
	for _, m := range a.Clusters[i].Owners {
		owners = append(owners, a.Members[m])
	}
	return owners
}

// ClusterOf returns the index of a leaf's cluster, or -1 when the leaf is unknown.
func (a *Assignment) ClusterOf(leafID string) int {
	if i, ok := a.byLeaf[leafID]; ok {
		return i
	}
	return -1
}

// Assign chooses the owners of all leafs. The result depends only on the sets
// of members and leafs, not on their order.
func Assign(members []Member, leafs []Leaf, cfg Config) (*Assignment, error) {
	if len(members) == 0 || cfg.Owners < 1 || cfg.ClusterSize < 1 || cfg.LoadBound < 1 {
		return nil, fmt.Errorf("assign ownership: %d members, rules %+v", len(members), cfg)
	}
	a := &Assignment{
		Members: slices.SortedFunc(slices.Values(members), func(x, y Member) int { return cmp.Compare(x.ID, y.ID) }),
		Load:    make([]int, len(members)),
		byLeaf:  make(map[string]int, len(leafs)),
	}
	a.Clusters = clusters(leafs, cfg.ClusterSize)
	c := newChooser(a, cfg)
	for i := range a.Clusters {
		c.choose(&a.Clusters[i])
		for _, id := range a.Clusters[i].Leafs {
			a.byLeaf[id] = i
		}
	}
	return a, a.check(min(cfg.Owners, len(members)))
}

// check asserts that each leaf has the right number of distinct owners.
func (a *Assignment) check(owners int) error {
	for _, c := range a.Clusters {
		sorted := slices.Sorted(slices.Values(c.Owners))
		if len(slices.Compact(sorted)) != owners {
			return fmt.Errorf("assign ownership: cluster %s has owners %v, want %d", c.Name, c.Owners, owners)
		}
	}
	return nil
}

// clusters divides the leafs of each group by the hash of their key. The number
// of clusters of a group is a power of two, so it changes only when the group
// doubles or halves.
func clusters(leafs []Leaf, size int) []Cluster {
	sizes := make(map[string]int)
	for _, l := range leafs {
		sizes[l.Group]++
	}
	index := make(map[string]int)
	var out []Cluster
	for _, l := range leafs {
		name := clusterName(l, sizes[l.Group], size)
		i, ok := index[name]
		if !ok {
			i = len(out)
			index[name] = i
			out = append(out, Cluster{Name: name})
		}
		out[i].Leafs = append(out[i].Leafs, l.ID)
	}
	for i := range out {
		slices.Sort(out[i].Leafs)
	}
	slices.SortFunc(out, placedBefore)
	return out
}

// placedBefore orders clusters for placement: large ones first, while there is
// room for them, and independently of the order of the input.
func placedBefore(x, y Cluster) int {
	if c := cmp.Compare(len(y.Leafs), len(x.Leafs)); c != 0 {
		return c
	}
	return cmp.Compare(xxhash.Sum64String(x.Name), xxhash.Sum64String(y.Name))
}

func clusterName(l Leaf, groupSize, size int) string {
	if size == 1 {
		return l.Group + "/" + l.Key
	}
	count := 1 << bits.Len(uint((groupSize-1)/size))
	return fmt.Sprintf("%s/%d", l.Group, xxhash.Sum64String(l.Key)%uint64(count))
}

// bound is the most load of a member: factor times the mean, or where clusters
// are large beside the mean, the mean and one largest cluster.
func bound(all []Cluster, owners, members int, factor float64) int {
	total, largest := 0, 0
	for _, c := range all {
		total += len(c.Leafs) * owners
		largest = max(largest, len(c.Leafs))
	}
	mean := float64(total) / float64(members)
	return int(math.Ceil(max(factor*mean, mean+float64(largest))))
}
