package note

import (
	"fmt"
	"regexp"
	"slices"
)

// FieldError is an error in one field of a note.
type FieldError struct {
	// Field is a path such as "added[0].top_k".
	Field   string
	Message string
}

// namePattern is the form of ids, services and upstream groups.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// printable is the form of an author: no control characters.
var printable = regexp.MustCompile(`^[^\pC]+$`)

// validator collects the errors below a path prefix.
type validator struct {
	prefix string
	errors []FieldError
}

func (v *validator) fail(field, format string, args ...any) {
	v.errors = append(v.errors, FieldError{Field: v.prefix + field, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) name(field, value string) {
	switch {
	case value == "":
		v.fail(field, "is required")
	case len(value) > MaxNameLength:
		v.fail(field, "has %d bytes, more than %d", len(value), MaxNameLength)
	case !namePattern.MatchString(value):
		v.fail(field, "%q is not of lower-case letters, digits, '-', '_' and '.'", value)
	}
}

func (v *validator) between(field string, value, low, high int64) {
	if value < low || value > high {
		v.fail(field, "%d is outside %d to %d", value, low, high)
	}
}

func (v *validator) share(field string, value, high float64) {
	if !(value >= 0 && value <= high) { // also rejects NaN
		v.fail(field, "%v is outside 0 to %v", value, high)
	}
}

// Validate returns all errors of a note on its own. coordination/reconcile checks
// whether it fits a catalogue.
func (n Note) Validate() []FieldError {
	v := &validator{}
	v.name("id", n.ID)
	switch {
	case n.Author == "":
		v.fail("author", "is required")
	case len(n.Author) > MaxAuthorLength:
		v.fail("author", "has %d bytes, more than %d", len(n.Author), MaxAuthorLength)
	case !printable.MatchString(n.Author):
		v.fail("author", "has control characters")
	}
	if len(n.Added)+len(n.Changed)+len(n.Withdrawn) == 0 {
		v.fail("", "lists no service under added, changed or withdrawn")
	}
	entryByName := map[string]string{}
	for i, s := range n.Added {
		v.service(entryByName, SectionAdded, i, s)
	}
	for i, s := range n.Changed {
		v.service(entryByName, SectionChanged, i, s)
	}
	for i, w := range n.Withdrawn {
		v.entry(entryByName, SectionWithdrawn, i, w.Name)
	}
	return v.errors
}

// entry checks a name and that entryByName has no other entry for it.
func (v *validator) entry(entryByName map[string]string, section string, index int, name string) {
	v.prefix = EntryPath(section, index, "") + "."
	v.name("name", name)
	if other, duplicate := entryByName[name]; duplicate && name != "" {
		v.fail("name", "%q already has the entry %s", name, other)
		return
	}
	entryByName[name] = EntryPath(section, index, "")
}

func (v *validator) service(entryByName map[string]string, section string, index int, s Service) {
	v.entry(entryByName, section, index, s.Name)
	v.name("upstream_group", s.UpstreamGroup)
	if !slices.Contains([]Policy{PolicyTail, PolicyCoverage}, s.Policy) {
		v.fail("policy", "%q is neither %q nor %q", s.Policy, PolicyTail, PolicyCoverage)
	}
	v.merge(s)
	v.share("min_coverage", s.MinCoverage, 1)
	v.share("hedge_share", s.HedgeShare, MaxHedgeShare)
	v.between("longest_wait_ms", s.LongestWaitMS, 1, MaxLongestWait.Milliseconds())
	v.between("leaf_slots", int64(s.LeafSlots), 1, MaxLeafSlots)
	v.between("leaf_connections", int64(s.LeafConnections), 1, MaxLeafConnections)
	if s.LeafConnections >= 1 && s.LeafConnections < s.LeafSlots {
		v.fail("leaf_connections", "%d connections cannot fill %d slots", s.LeafConnections, s.LeafSlots)
	}
	v.between("max_body_bytes", s.MaxBodyBytes, 1, MaxBodyLimit)
	v.tokens(s.CallerTokens)
}

// tokenHash is the form of a SHA-256 in hexadecimal.
var tokenHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (v *validator) tokens(hashes TokenHashes) {
	const field = "caller_token_sha256"
	list := hashes.List()
	if hashes != "" && len(list) == 0 {
		v.fail(field, "holds no hash")
	}
	if len(list) > MaxCallerTokens {
		v.fail(field, "has %d hashes, more than %d", len(list), MaxCallerTokens)
	}
	for i, hash := range list {
		if !tokenHash.MatchString(hash) {
			v.fail(field, "hash %d is not 64 hexadecimal digits", i+1)
		}
	}
}

func (v *validator) merge(s Service) {
	needsField := s.Merge == MergeTopK || s.Merge == MergeSum
	switch s.Merge {
	case MergeConcat, MergeTopK, MergeSum, MergeCount:
	default:
		v.fail("merge", "%q is none of concat, top_k, sum, count", s.Merge)
		return
	}
	if needsField && s.MergeField == "" {
		v.fail("merge_field", "is required for merge %q", s.Merge)
	}
	if !needsField && s.MergeField != "" {
		v.fail("merge_field", "has no meaning for merge %q", s.Merge)
	}
	if s.Merge == MergeTopK {
		v.between("top_k", int64(s.TopK), 1, MaxTopK)
	} else if s.TopK != 0 {
		v.fail("top_k", "has no meaning for merge %q", s.Merge)
	}
}
