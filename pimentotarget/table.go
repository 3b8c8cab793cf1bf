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

// Table chooses among the targets of one service for one entry. Its exported
// fields are set before the first call. It isn't safe for concurrent use.
// Times are durations since an origin that the caller chooses.
type Table struct {
	// Self is the entry's own name.
	Self EntryName
	// Location is where the entry runs.
	Location Location
	// MaxQueue bounds the waiting requests. 0 means 256.
	MaxQueue int
	// OwnerWait is the time that a new owner of a cold target waits before it
	// sends. It exceeds the lag of the platform's list of VMs. 0 means 5 s.
	OwnerWait time.Duration

	service   pimentoregister.Service
	targets   []*Target // In the order of names.
	byName    map[pimentoregister.VMName]*Target
	working   []*Target // The targets that choices look at.
	entries   []EntryName
	queue     queue
	latency   average // Of all targets.
	rotation  int     // Where the next scan begins.
	changed   []*Target
	running   int
	donations int     // Requests that met a cold target of another owner.
	price     float64 // Rises with refusals, see refuse.
}

const (
	defaultMaxQueue  = 256
	defaultOwnerWait = 5 * time.Second
	// maxWorking bounds the targets that one choice looks at.
	maxWorking = 32
	// maxScan bounds the waiting requests that one call of Next looks at.
	maxScan = 8
)

// Update takes the service's current settings and targets. Targets that are
// gone get no new work; their outstanding requests end by themselves.
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
		t.targets = append(t.targets, t.keep(now, view))
	}
	for name, tg := range t.byName {
		if tg.removed {
			delete(t.byName, name)
		}
	}
	t.deal(now)
}

func (t *Table) setDefaults() {
	if t.MaxQueue == 0 {
		t.MaxQueue = defaultMaxQueue
	}
	if t.OwnerWait == 0 {
		t.OwnerWait = defaultOwnerWait
	}
}

// keep returns the known target, or a new one. A target whose address has
// changed is another process, so it starts cold.
func (t *Table) keep(now time.Duration, view pimentoregister.TargetView) *Target {
	tg := t.byName[view.Name]
	if tg == nil || tg.Address != view.Address {
		tg = &Target{coldSince: now}
		t.byName[view.Name] = tg
	}
	if tg.OutOfService && !view.OutOfService {
		// It may have restarted while no work went there.
		t.turnCold(now, tg)
	}
	tg.TargetView = view
	tg.removed = false
	return tg
}

// SetEntries takes the published entries of the entry's region, in any order.
func (t *Table) SetEntries(now time.Duration, entries []EntryName) {
	sorted := slices.Clone(entries)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if slices.Equal(sorted, t.entries) {
		return
	}
	t.entries = sorted
	t.deal(now)
}

// SetLeaving takes the names of the targets that the platform lists as leaving.
func (t *Table) SetLeaving(leaving map[pimentoregister.VMName]bool) {
	for _, tg := range t.targets {
		tg.Leaving = leaving[tg.Name]
	}
}

// deal computes shares, owners and the working set.
func (t *Table) deal(now time.Duration) {
	local := t.local()
	self := slices.Index(t.entries, t.Self)
	shares := SlotShares(len(local), t.service.Slots, len(t.entries), self)
	for _, tg := range t.targets {
		tg.Share = 0
		t.setOwned(now, tg)
	}
	for i, tg := range local {
		tg.Share = shares[i]
	}
	t.working = t.pick(local)
}

// donateEvery is the number of requests of which one is handed to the owner of
// a cold target, so that owners with little traffic of their own warm it too.
const donateEvery = 16

// WarmupOwner returns the owner of a cold target of the own region to which a
// request that is allowed in some regions (none mean any) should be handed:
// every request if this entry may send to no target at all, and otherwise one
// in donateEvery. It reports whether there is one.
func (t *Table) WarmupOwner(now time.Duration, regions []pimentoregister.RegionName) (owner EntryName, must, ok bool) {
	must = true
	var cold *Target
	n := len(t.targets)
	for i := range n {
		tg := t.targets[(t.donations+i)%n]
		switch {
		case !tg.usable() || len(regions) > 0 && !slices.Contains(regions, tg.Region):
		case t.limit(now, tg) > 0:
			must = false
		case cold == nil && tg.Region == t.Location.Region && !tg.owned && tg.Phase.Value == PhaseCold:
			cold = tg
		}
	}
	if cold == nil {
		return "", must, false
	}
	t.donations++
	if !must && t.donations%donateEvery != 0 {
		return "", false, false
	}
	owner = Owner(cold.Name, t.entries)
	return owner, must, owner != ""
}

// HasUsable reports whether the service has a usable target in one of the regions.
// No regions mean any.
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

func (t *Table) setOwned(now time.Duration, tg *Target) {
	owned := tg.Region == t.Location.Region && Owner(tg.Name, t.entries) == t.Self
	if owned && !tg.owned {
		tg.ownedAt = now
	}
	tg.owned = owned
}

// pick returns at most maxWorking targets: those with the greatest shares of
// the own region, and one in eight from the others.
func (t *Table) pick(local []*Target) []*Target {
	const remotePart = maxWorking / 8
	working := slices.Clone(local)
	slices.SortStableFunc(working, func(a, b *Target) int { return t.worth(b) - t.worth(a) })
	var remote []*Target
	for _, tg := range t.targets {
		if tg.Region != t.Location.Region {
			remote = append(remote, tg)
		}
	}
	slices.SortStableFunc(remote, func(a, b *Target) int {
		wa, wb := weight(t.Self, a.Name), weight(t.Self, b.Name)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	if len(working) > maxWorking-remotePart {
		working = working[:maxWorking-remotePart]
	}
	return append(working, remote[:min(len(remote), maxWorking-len(working))]...)
}

// worth orders targets for the working set: owned targets, then those with a
// share.
func (t *Table) worth(tg *Target) int {
	if tg.owned {
		return tg.Share + t.service.Slots
	}
	return tg.Share
}

// Targets returns all targets in the order of their names. The caller must
// not change them.
func (t *Table) Targets() []*Target { return t.targets }

// Target returns the named target, or nil.
func (t *Table) Target(name pimentoregister.VMName) *Target { return t.byName[name] }

// Waiting returns the number of waiting requests.
func (t *Table) Waiting() int { return len(t.queue.items) }

// Outstanding returns the number of outstanding requests.
func (t *Table) Outstanding() int { return t.running }

// Latency returns the moving average of the time that targets take.
func (t *Table) Latency() time.Duration { return t.latency.value }

// Offer puts a request into the queue. It reports false when the queue is full.
func (t *Table) Offer(r *Request) bool {
	if len(t.queue.items) >= t.MaxQueue {
		return false
	}
	r.Target = nil
	t.queue.push(r)
	return true
}

// Cancel takes a waiting request out of the queue. It reports false when the
// request doesn't wait, because Next has returned it.
func (t *Table) Cancel(r *Request) bool {
	if !r.queued {
		return false
	}
	t.queue.remove(t.queue.index(r))
	return true
}

// Next binds a waiting request to a target and returns it, or nil if none of
// them is better sent now than later. A request past its deadline is returned
// without a target.
func (t *Table) Next(now time.Duration) *Request {
	for i, r := range t.queue.items {
		if i >= maxScan {
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

// BindNow binds a request to a second target at once, for a retry or a hedge,
// or returns nil if no target is free.
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
	t.running++
}
