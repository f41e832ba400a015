// Package ownership decides which nodes relay to which leafs, by rendezvous
// hashing over the members that a node knows. Nodes that know the same members and
// leafs compute the same owners without communication. Leafs of a group are owned in
// clusters, so that a query reaches many leafs through few relays. The types are not
// safe for concurrent use.
package ownership

import (
	"cmp"
	"fmt"
	"maps"
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

// Leaf is a leaf that needs owners.
type Leaf struct {
	ID string
	// Group is the upstream group; clusters never span groups.
	Group string
	// Key identifies the data that the leaf holds, such as its shard. Leafs of a group
	// with the same key have the same owners, so that one relay can choose among the
	// replicas of a shard.
	Key string
}

// Config holds the parameters of an assignment.
type Config struct {
	// Owners is the number of owners of each leaf.
	Owners int
	// ClusterSize is the number of leafs of a group that share their owners; the
	// average lies between this number and half of it. 1 gives each key its own owners.
	ClusterSize int
	// LoadBound is the maximum load of a member as a multiple of the mean; at least 1.
	// A member may always exceed the mean by one cluster.
	LoadBound float64
}

// Default parameters of an assignment.
const (
	DefaultOwners      = 4
	DefaultClusterSize = 16
	DefaultLoadBound   = 1.25
)

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{Owners: DefaultOwners, ClusterSize: DefaultClusterSize, LoadBound: DefaultLoadBound}
}

// Cluster is a set of leafs of one group with the same owners.
type Cluster struct {
	Name  string
	Leafs []string
	// Owners are indices into the assignment's members, in the order of choice.
	Owners []int
}

// Assignment is the result of Assign.
type Assignment struct {
	Members  []Member // sorted by ID
	Clusters []Cluster
	// Load is the number of leafs of each member; a leaf counts in full for each of
	// its owners.
	Load []int
	// Overflows counts owners that were chosen although they exceed the load bound.
	Overflows int
	byLeaf    map[string]int
}

// OwnersOf returns the owners of a leaf, in the order of choice.
func (a *Assignment) OwnersOf(leafID string) []Member {
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
		return nil, fmt.Errorf("assign ownership: invalid input: %d members, config %+v", len(members), cfg)
	}
	a := &Assignment{
		Members: slices.SortedFunc(slices.Values(members), func(x, y Member) int { return cmp.Compare(x.ID, y.ID) }),
		Load:    make([]int, len(members)),
		byLeaf:  make(map[string]int, len(leafs)),
	}
	a.Clusters = buildClusters(leafs, cfg.ClusterSize)
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

// buildClusters divides the keys of each group, ordered by hash, into ranges of equal
// length. The number of ranges of a group is a power of two, so it changes only when
// the size of the group doubles or halves.
func buildClusters(leafs []Leaf, size int) []Cluster {
	groups := make(map[string]map[string][]string) // leafs by group and key
	for _, l := range leafs {
		keys, ok := groups[l.Group]
		if !ok {
			keys = make(map[string][]string)
			groups[l.Group] = keys
		}
		keys[l.Key] = append(keys[l.Key], l.ID)
	}
	var out []Cluster
	for name, keys := range groups {
		out = append(out, divideGroup(name, keys, size)...)
	}
	slices.SortFunc(out, comparePlacement)
	return out
}

func divideGroup(group string, keys map[string][]string, size int) []Cluster {
	order := slices.SortedFunc(maps.Keys(keys), func(x, y string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(x), xxhash.Sum64String(y)), cmp.Compare(x, y))
	})
	out := make([]Cluster, clusterCount(keys, size))
	for i := range out {
		from, to := i*len(order)/len(out), (i+1)*len(order)/len(out)
		out[i].Name = fmt.Sprintf("%s/%d", group, i)
		if len(out) == len(order) {
			out[i].Name = group + "/" + order[i]
		}
		for _, key := range order[from:to] {
			out[i].Leafs = append(out[i].Leafs, keys[key]...)
		}
		slices.Sort(out[i].Leafs)
	}
	return out
}

// clusterCount returns the number of clusters of a group, at most one per key.
func clusterCount(keys map[string][]string, size int) int {
	leafs := 0
	for _, ids := range keys {
		leafs += len(ids)
	}
	if size == 1 {
		return len(keys)
	}
	return min(1<<bits.Len(uint((leafs-1)/size)), len(keys))
}

// comparePlacement orders clusters for placement: large ones first, while members still
// have capacity for them, and independently of the order of the input.
func comparePlacement(x, y Cluster) int {
	if c := cmp.Compare(len(y.Leafs), len(x.Leafs)); c != 0 {
		return c
	}
	return cmp.Compare(xxhash.Sum64String(x.Name), xxhash.Sum64String(y.Name))
}

// maxLoad returns the maximum load of a member: factor times the mean or, where clusters
// are large compared with the mean, the mean plus the largest cluster.
func maxLoad(clusters []Cluster, owners, members int, factor float64) int {
	total, largest := 0, 0
	for _, c := range clusters {
		total += len(c.Leafs) * owners
		largest = max(largest, len(c.Leafs))
	}
	mean := float64(total) / float64(members)
	return quantise(max(factor*mean, mean+float64(largest)))
}

// boundSteps is the number of bounds between two powers of two.
const boundSteps = 8

// quantise rounds a bound up to one of a few values, so that most changes of the
// membership do not change it: a changed bound moves many owners.
func quantise(bound float64) int {
	step := math.Exp2(math.Floor(math.Log2(bound))) / boundSteps
	return int(math.Ceil(step * math.Ceil(bound/step)))
}
