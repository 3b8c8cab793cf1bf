package pimentospread

import (
	"cmp"
	"slices"
	"time"

	"pimentoarch/pimentoregister"
)

// Distance says how far away a domain is.
type Distance uint8

const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Domain is a failure domain, as seen from an entry.
type Domain struct {
	Name     pimentoregister.DomainName
	Region   pimentoregister.RegionName
	Distance Distance
}

// shareKey names the requests to one service that the same domains may serve. There are as many
// for a service as the configuration has different sets of home regions.
type shareKey struct {
	service pimentoregister.ServiceName
	allowed uint64
}

// MaxDomains is the number of domains up to which a view chooses among them.
const MaxDomains = 64

// View is what an entry knows about room and shortages, and the shares of its requests that
// go to other domains because of that. It isn't safe for concurrent use. Its memory grows with
// services and domains only. The zero value knows no domains, and chooses the nearest one.
type View struct {
	origin    uint32
	number    uint32
	domains   []Domain
	windows   map[RoomKey]*window
	rooms     map[RoomKey]Room
	shortages map[RegionKey]Shortage
	services  map[shareKey]*shares
}

// NewView returns the view of an entry's run. domains are all failure domains; of more than
// MaxDomains none is chosen.
func NewView(origin uint32, domains []Domain) *View {
	domains = slices.Clone(domains)
	slices.SortFunc(domains, func(a, b Domain) int { return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Name, b.Name)) })
	return &View{origin: origin, domains: domains}
}

// Domains returns the domains, sorted by region. The bits of Query.Allowed and the indices of Step refer to them.
func (v *View) Domains() []Domain { return v.domains }

// Observe adds the report of a target.
func (v *View) Observe(now time.Duration, key RoomKey, r Report) {
	if r.Slots <= 0 {
		return
	}
	w := v.windows[key]
	if w == nil {
		w = new(window)
		put(&v.windows, key, w)
	}
	w.add(now, r)
	if now-w.since < stateInterval {
		return
	}
	if room, ok := w.room(); ok {
		room.Stamp = v.stamp(now)
		v.MergeRoom(key, room)
		w.reports = 0
	}
}

// put sets a key of a map, and makes the map if it is nil.
func put[K comparable, V any](m *map[K]V, key K, value V) {
	if *m == nil {
		*m = make(map[K]V)
	}
	(*m)[key] = value
}

// stamp returns the stamp of a new figure of this run.
func (v *View) stamp(now time.Duration) Stamp {
	v.number++
	return Stamp{Origin: v.origin, Number: v.number, At: now}
}

// StateShortage states the fraction of bound requests that this entry refused lately.
func (v *View) StateShortage(now time.Duration, key RegionKey, refused Permille) {
	if old, ok := v.shortages[key]; ok && old.Origin == v.origin && now-old.At < stateInterval {
		return
	}
	v.MergeShortage(key, Shortage{Stamp: v.stamp(now), Refused: refused})
}

// MergeRoom adds a figure that this entry or another one has stated. Of two for the same
// targets the newer one is kept, so that nothing counts double, in whichever order and however
// often they come.
func (v *View) MergeRoom(key RoomKey, r Room) {
	if old, ok := v.rooms[key]; !ok || r.replaces(old.Stamp) {
		put(&v.rooms, key, r)
	}
}

// MergeShortage does the same as MergeRoom with a shortage.
func (v *View) MergeShortage(key RegionKey, s Shortage) {
	if old, ok := v.shortages[key]; !ok || s.replaces(old.Stamp) {
		put(&v.shortages, key, s)
	}
}

// Room returns the figure of a service's targets in a domain, and false if there is none that
// is fresh.
func (v *View) Room(now time.Duration, key RoomKey) (Room, bool) {
	r, ok := v.rooms[key]
	return r, ok && now-r.At <= FreshLimit
}

// EachRoom calls f with each fresh figure of a room, at most limit of them, or all if it
// is negative.
func (v *View) EachRoom(now time.Duration, limit int, f func(RoomKey, Room)) {
	for key, r := range v.rooms {
		if limit == 0 {
			return
		}
		if now-r.At <= FreshLimit {
			f(key, r)
			limit--
		}
	}
}

// EachShortage does the same as EachRoom with shortages.
func (v *View) EachShortage(now time.Duration, limit int, f func(RegionKey, Shortage)) {
	for key, s := range v.shortages {
		if limit == 0 {
			return
		}
		if now-s.At <= FreshLimit {
			f(key, s)
			limit--
		}
	}
}

// Prune drops what is old, and services that known denies.
func (v *View) Prune(now time.Duration, known func(pimentoregister.ServiceName) bool) {
	for key, r := range v.rooms {
		if now-r.At > FreshLimit || !known(key.Service) {
			delete(v.rooms, key)
		}
	}
	for key, w := range v.windows {
		if now-w.since > FreshLimit || !known(key.Service) {
			delete(v.windows, key)
		}
	}
	for key, s := range v.shortages {
		if now-s.At > FreshLimit || !known(key.Service) {
			delete(v.shortages, key)
		}
	}
	for key, s := range v.services {
		if !known(key.service) || now-s.steppedAt > FreshLimit {
			delete(v.services, key)
		}
	}
}
