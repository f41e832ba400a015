package reader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// informantCount is the number of members that tell a newcomer what it has missed.
const informantCount = 3

// Informants returns the members that tell a newcomer what it has missed while it was not
// present: those with the highest hashes of both ids, so that newcomers have different ones.
func Informants(members []membership.Member, newcomer string) []string {
	type candidate struct {
		id   string
		hash uint64
	}
	var candidates []candidate
	for _, m := range members {
		if m.ID != newcomer && m.State == membership.Alive {
			candidates = append(candidates, candidate{m.ID, xxhash.Sum64String(m.ID + "\x00" + newcomer)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	chosen := make([]string, 0, informantCount)
	for _, c := range candidates[:min(informantCount, len(candidates))] {
		chosen = append(chosen, c.id)
	}
	return chosen
}
