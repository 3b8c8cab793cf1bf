package pimentospread

import (
	"time"

	"pimentoarch/pimentoregister"
)

// RoomKey names the targets of one service in one failure domain.
type RoomKey struct {
	Service pimentoregister.ServiceName
	Domain  pimentoregister.DomainName
}

// RegionKey names the requests to one service that are bound to home regions, in one of them.
type RegionKey struct {
	Service pimentoregister.ServiceName
	Region  pimentoregister.RegionName
}

// Stamp says who stated a figure and when.
type Stamp struct {
	// Origin identifies the run of the entry that stated the figure, and Number the figure
	// among those of that run.
	Origin, Number uint32
	At             time.Duration // In the time of the entry that holds the figure.
}

// replaces reports whether a figure takes the place of another one for the same key. Figures
// of one run are ordered by their numbers, others by their age. The copy of a figure that is
// held already never makes it younger.
func (s Stamp) replaces(old Stamp) bool {
	switch {
	case s.Origin == old.Origin && s.Number == old.Number:
		return s.At < old.At
	case s.Origin == old.Origin:
		return s.Number > old.Number
	case s.At != old.At:
		return s.At > old.At
	}
	return s.Origin > old.Origin
}

// Permille is a fraction in thousandths.
type Permille uint16

// Percent is a ratio in hundredths.
type Percent uint16

// Room is how much the targets of a service in one domain have to do. Both figures are means
// over slots and not sums of what entries send: a target reports all that it runs, whoever
// sent it, so that two entries' figures for a domain state the same thing and one of them
// replaces the other.
type Room struct {
	Stamp
	Busy     Permille // Running and waiting requests, of the slots. Above 1000, some wait.
	Slowdown Percent  // Of the usual work time.
}

// Shortage is the fraction of the requests bound to a region that an entry refused lately.
type Shortage struct {
	Stamp
	Refused Permille
}

const (
	// MaxPermille and MaxSlowdown bound figures, so that sums of them can't overflow.
	MaxPermille Permille = 20_000
	MaxSlowdown Percent  = 20_000
	// usualSlowdown is the slowdown of a target that works as fast as usual.
	usualSlowdown Percent = 100
)

// Report is what one target reported.
type Report struct{ Running, Waiting, Slots, Slowdown int }

// window sums up reports until they are stated as one figure.
type window struct {
	since                          time.Duration
	reports, requests, slots, slow int
}

const (
	// stateInterval is the time between two figures of an entry for the same targets. It is
	// that between two messages to the entries of a region.
	stateInterval = 500 * time.Millisecond
	// minReports is the number of reports from which a figure is made.
	minReports = 4
	// FreshLimit is the age up to which a figure is used: two periods of the messages to
	// other regions, one more for one that is lost, and the way over three entries.
	FreshLimit = 4 * time.Second
)

// add adds a report.
func (w *window) add(now time.Duration, r Report) {
	if w.reports == 0 || now-w.since > FreshLimit {
		*w = window{since: now}
	}
	w.reports++
	w.requests += r.Running + r.Waiting
	w.slots += r.Slots
	w.slow += r.Slots * max(1, r.Slowdown)
}

// room returns the figure of the reports, and false if there are too few.
func (w *window) room() (Room, bool) {
	if w.reports < minReports || w.slots == 0 {
		return Room{}, false
	}
	return Room{
		Busy:     Permille(min(int(MaxPermille), 1000*w.requests/w.slots)),
		Slowdown: Percent(min(int(MaxSlowdown), w.slow/w.slots)),
	}, true
}
