package pimentoroute

import (
	"slices"

	"pimentoarch/pimentoregister"
)

// Key is the secret that a caller presents to act for an organisation. It formats as a fixed
// text, so that it can't reach logs or status pages.
type Key string

// redactedKey stands for a Key in texts.
const redactedKey = "[key]"

// String implements fmt.Stringer.
func (Key) String() string { return redactedKey }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return redactedKey }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(redactedKey), nil }

// Organisation holds the rules for the requests of one organisation.
type Organisation struct {
	Name pimentoregister.OrganisationName
	// Keys are those that callers may present at the moment.
	Keys []Key
	// Priority takes the place of the route's priority; 0 is the highest.
	Priority int
	// Rate and Burst bound the organisation's requests, by all entries together: Rate per
	// second, and Burst more at once. A Rate of 0 means no bound.
	Rate, Burst float64
	// Homes are the home regions, which may serve the requests. Empty means all.
	Homes []pimentoregister.RegionName
}

// Allows reports whether the region may serve the organisation's requests.
func (o *Organisation) Allows(region pimentoregister.RegionName) bool {
	return len(o.Homes) == 0 || slices.Contains(o.Homes, region)
}
