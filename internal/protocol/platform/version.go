package platform

import "fmt"

// A version orders the states of a store. A store that is restored from an older copy
// loses changes and assigns their revisions again. It then starts a new era, so a version
// holds the era in its upper bits and the revision in its lower ones: any version of a
// later era is above all versions of earlier ones. A store without eras has era 0, in
// which versions equal revisions.

const (
	// revisionBits is the number of bits of a version that hold the revision.
	revisionBits = 44
	// MaxEra and MaxRevision are the largest era and revision of a version.
	MaxEra      = 1<<(64-revisionBits) - 1
	MaxRevision = 1<<revisionBits - 1
)

// NewVersion returns the version of a revision in an era. It fails if one of them is too
// large to be held.
func NewVersion(era, revision uint64) (uint64, error) {
	if era > MaxEra || revision > MaxRevision {
		return 0, fmt.Errorf("era %d or revision %d is above the maximum of %d and %d", era, revision, uint64(MaxEra), uint64(MaxRevision))
	}
	return era<<revisionBits | revision, nil
}

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> revisionBits }

// Revision returns the revision of a version within its era.
func Revision(version uint64) uint64 { return version & MaxRevision }
