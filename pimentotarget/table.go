package pimentotarget

import (
	"slices"
	"time"

	"pimentoarch/pimentoregister"
)

// Location is where an entry runs.
type Location struct {
	Region pimentoregister.RegionName
	Domain pimentoregister.DomainName
}

// Table selects among the targets of one service for one entry. Its exported
// fields must be set before the first call. It isn't safe for concurrent use.
// Times are durations since an origin that the caller chooses.
type Table struct {
	// Self is the entry's own name.
	Self EntryName
	// Location is where the entry runs.
	Location Location
	// MaxQueue is the maximum number of waiting requests. 0 means 256.
	MaxQueue int
	// OwnerWait is the time for which a new owner of a cold target sends nothing.
	// It must exceed the lag of the platform's list of VMs. 0 means 5 s.
	OwnerWait time.Duration

	service        pimentoregister.Service
	targets        []*Target // Sorted by name.
	byName         map[pimentoregister.VMName]*Target
	candidates     []*Target // The targets that choose considers.
	entries        []EntryName
	queue          queue
	latency        movingAverage // Average of all targets.
	scanStart      int           // Offset in candidates at which choose begins.
	changed        []*Target
	outstanding    int
	warmupRequests int     // Calls of WarmupOwner that found a cold target of another owner.
	refusalPenalty float64 // Added to overShareCost after refusals, see recordRefusal.
}

const (
	defaultMaxQueue  = 256
	defaultOwnerWait = 5 * time.Second
	// maxCandidates bounds the targets that choose considers for one request.
	maxCandidates = 32
	// maxQueueScan bounds the waiting requests that one call of Next considers.
	maxQueueScan = 8
)

// Update sets the service's settings and targets. Targets that aren't listed any
// more get no new requests; their outstanding requests still end with Done.
func (t *Table) Update(now time.Duration, s *pimentoregister.ServiceView) {
	if t.byName == nil {
		t.byName = make(map[pimentoregister.VMName]*Target)
		t.setDefaults()
	}
	t.service = s.Service
	for _, old := range t.targets {
		old.removed = true
	}
	t.targets = t.targets[:0]
	for _, view := range s.Targets {
		t.targets = append(t.targets, t.findOrAdd(now, view))
	}
	for name, tg := range t.byName {
		if tg.removed {
			delete(t.byName, name)
		}
	}
	t.assignShares(now)
}

func (t *Table) setDefaults() {
	if t.MaxQueue == 0 {
		t.MaxQueue = defaultMaxQueue
	}
	if t.OwnerWait == 0 {
		t.OwnerWait = defaultOwnerWait
	}
}

// findOrAdd returns the existing target of that name, or adds one. A target whose
// address has changed is another process, so it starts cold.
func (t *Table) findOrAdd(now time.Duration, view pimentoregister.TargetView) *Target {
	tg := t.byName[view.Name]
	if tg == nil || tg.Address != view.Address {
		tg = &Target{coldSince: now}
		t.byName[view.Name] = tg
	}
	if tg.OutOfService && !view.OutOfService {
		// The target may have restarted while it got no requests.
		t.setCold(now, tg)
	}
	tg.TargetView = view
	tg.removed = false
	return tg
}

// SetEntries sets the published entries of this entry's region, in any order.
func (t *Table) SetEntries(now time.Duration, entries []EntryName) {
	sorted := slices.Clone(entries)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if slices.Equal(sorted, t.entries) {
		return
	}
	t.entries = sorted
	t.assignShares(now)
}

// SetLeaving sets the targets that the platform lists as leaving.
func (t *Table) SetLeaving(leaving map[pimentoregister.VMName]bool) {
	for _, tg := range t.targets {
		tg.Leaving = leaving[tg.Name]
	}
}

// assignShares computes the shares, the owners and the candidates.
func (t *Table) assignShares(now time.Duration) {
	local := t.local()
	self := slices.Index(t.entries, t.Self)
	shares := SlotShares(len(local), t.service.Slots, len(t.entries), self)
	for _, tg := range t.targets {
		tg.Share = 0
		t.updateOwned(now, tg)
	}
	for i, tg := range local {
		tg.Share = shares[i]
	}
	t.candidates = t.selectCandidates(local)
}

// warmupEvery is the number of requests of which one is forwarded to the owner of
// a cold target, so that owners with little traffic of their own also warm it up.
const warmupEvery = 16

// WarmupOwner returns the owner of a cold target of this entry's region to which a
// request should be forwarded. regions are the regions that the request is allowed
// in; empty means any. must is true if this entry itself may send to no target of
// these regions; every request must then be forwarded, and otherwise one in
// warmupEvery. ok is false if the request shouldn't be forwarded, or if there is no
// such owner.
func (t *Table) WarmupOwner(now time.Duration, regions []pimentoregister.RegionName) (owner EntryName, must, ok bool) {
	must = true
	var cold *Target
	n := len(t.targets)
	for i := range n {
		tg := t.targets[(t.warmupRequests+i)%n]
		switch {
		case !tg.usable() || len(regions) > 0 && !slices.Contains(regions, tg.Region):
		case t.sendLimit(now, tg) > 0:
			must = false
		case cold == nil && tg.Region == t.Location.Region && !tg.owned && tg.Phase.Value == PhaseCold:
			cold = tg
		}
	}
	if cold == nil {
		return "", must, false
	}
	t.warmupRequests++
	if !must && t.warmupRequests%warmupEvery != 0 {
		return "", false, false
	}
	owner = Owner(cold.Name, t.entries)
	return owner, must, owner != ""
}

// HasUsable reports whether the service has a usable target in one of the regions.
// Empty regions mean any.
func (t *Table) HasUsable(regions []pimentoregister.RegionName) bool {
	for _, tg := range t.targets {
		if tg.usable() && (len(regions) == 0 || slices.Contains(regions, tg.Region)) {
			return true
		}
	}
	return false
}

func (t *Table) local() []*Target {
	var local []*Target
	for _, tg := range t.targets {
		if tg.Region == t.Location.Region {
			local = append(local, tg)
		}
	}
	return local
}

func (t *Table) updateOwned(now time.Duration, tg *Target) {
	owned := tg.Region == t.Location.Region && Owner(tg.Name, t.entries) == t.Self
	if owned && !tg.owned {
		tg.ownedSince = now
	}
	tg.owned = owned
}

// selectCandidates returns at most maxCandidates targets: those of this entry's region
// that come first by preference, and at least one in eight from other regions if these
// have enough. Remote targets are taken in rendezvous order, which differs between
// entries.
func (t *Table) selectCandidates(local []*Target) []*Target {
	const remoteReserve = maxCandidates / 8
	selected := slices.Clone(local)
	slices.SortStableFunc(selected, func(a, b *Target) int { return t.preference(b) - t.preference(a) })
	var remote []*Target
	for _, tg := range t.targets {
		if tg.Region != t.Location.Region {
			remote = append(remote, tg)
		}
	}
	slices.SortStableFunc(remote, func(a, b *Target) int {
		wa, wb := rendezvousWeight(t.Self, a.Name), rendezvousWeight(t.Self, b.Name)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	if len(selected) > maxCandidates-remoteReserve {
		selected = selected[:maxCandidates-remoteReserve]
	}
	return append(selected, remote[:min(len(remote), maxCandidates-len(selected))]...)
}

// preference orders the targets of this entry's region in selectCandidates: owned
// targets come first, then those with greater shares.
func (t *Table) preference(tg *Target) int {
	if tg.owned {
		return tg.Share + t.service.Slots
	}
	return tg.Share
}

// Targets returns all targets, sorted by name. The caller must not change them.
func (t *Table) Targets() []*Target { return t.targets }

// Target returns the target of that name, or nil.
func (t *Table) Target(name pimentoregister.VMName) *Target { return t.byName[name] }

// Waiting returns the number of waiting requests.
func (t *Table) Waiting() int { return len(t.queue.items) }

// Outstanding returns the number of outstanding requests at all targets.
func (t *Table) Outstanding() int { return t.outstanding }

// Latency returns the moving average of the latency of all targets.
func (t *Table) Latency() time.Duration { return t.latency.value }

// Offer adds a request to the queue. It returns false if the queue is full.
func (t *Table) Offer(r *Request) bool {
	if len(t.queue.items) >= t.MaxQueue {
		return false
	}
	r.Target = nil
	t.queue.push(r)
	return true
}

// Cancel removes a waiting request from the queue. It returns false if the request
// isn't in the queue, because Next has returned it.
func (t *Table) Cancel(r *Request) bool {
	if !r.queued {
		return false
	}
	t.queue.remove(t.queue.index(r))
	return true
}

// Next binds a waiting request to a target and returns it. It returns nil if none of
// the requests that it considers can be sent, or waiting is better for all of them. A
// request whose deadline has passed is returned without a target.
func (t *Table) Next(now time.Duration) *Request {
	for i, r := range t.queue.items {
		if i >= maxQueueScan {
			return nil
		}
		if now >= r.Deadline {
			return t.queue.remove(i)
		}
		if tg := t.choose(now, r); tg != nil {
			t.queue.remove(i)
			t.bind(now, r, tg)
			return r
		}
	}
	return nil
}

// BindNow binds a request to a target without queueing it, for a retry or a hedge,
// or returns nil if no target is available.
func (t *Table) BindNow(now time.Duration, r *Request) *Target {
	tg := t.choose(now, r)
	if tg != nil {
		t.bind(now, r, tg)
	}
	return tg
}

func (t *Table) bind(now time.Duration, r *Request, tg *Target) {
	r.Target = tg
	r.Sent = now
	tg.begin(now)
	t.outstanding++
}
