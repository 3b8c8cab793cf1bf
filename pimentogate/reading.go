package pimentogate

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoregister"
)

// decideReading decides whether this entry reads the platform.
func (g *Gate) decideReading() bool {
	now := g.now()
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	age, known := cs.age(now)
	if cs.reading {
		// This entry's reads keep the age low, so it doesn't show whether others read.
		age, known = 0, true
	}
	if cs.feed.AsOf() == 0 {
		return now > g.firstReadAt
	}
	if cs.staleRead {
		return true // Until an answer shows whether the items are current.
	}
	g.logStale(age, known)
	if now < joinWait {
		return false
	}
	at, precedingReads := g.position(now)
	cs.readPolicy.Overdue = max(cs.overdue(now), g.boundOverdue(now))
	wanted := cs.readPolicy.Decide(now, at, precedingReads, age, known)
	if wanted != cs.shouldRead {
		cs.shouldRead = wanted
		g.logChange("msg", "decision to read the platform changed", "reads", wanted, "rank", at.RegionRank, "domain_rank", at.DomainRank, "age", age, "overdue", cs.readPolicy.Overdue)
	}
	return wanted
}

// position returns this entry's place in its region and domain, and whether an entry of
// the region that precedes it reads the platform. It is called with clusterState.mu held.
func (g *Gate) position(now time.Duration) (at pimentofeed.Position, precedingReads bool) {
	cs := g.cluster
	region := cs.members.RegionMembers(g.region)
	rank, listed := pimentopeer.Rank(region, g.settings.Name)
	if !listed { // This entry stops.
		rank = len(region)
	}
	at.RegionRank = rank
	at.DomainRank = countInDomain(region[:at.RegionRank], g.settings.Domain)
	for run, r := range cs.readings {
		if now-r.at >= readingTTL {
			continue
		}
		reader, ok := cs.members.ByRun(run)
		if ok && reader.Region == g.region && !reader.Down && !reader.Stopping && (reader.Name < g.settings.Name || !listed) {
			precedingReads = true
		}
	}
	if now < membershipWait {
		at.RegionRank += startRankOffset
	}
	return at, precedingReads
}

// countInDomain returns how many of some members are in a domain.
func countInDomain(list []pimentopeer.Member, domain pimentoregister.DomainName) int {
	n := 0
	for i := range list {
		if list[i].Domain == domain {
			n++
		}
	}
	return n
}

// staleAge is the age of the feed above which it is logged as stale.
const staleAge = 1500 * time.Millisecond

// logStale logs when the feed becomes stale and when it is current again. It is called
// with clusterState.mu held.
func (g *Gate) logStale(age time.Duration, known bool) {
	cs := g.cluster
	stale := !known || age > staleAge
	if stale == cs.stale {
		return
	}
	cs.stale = stale
	if !stale {
		g.logChange("msg", "published items are current again", "age", age, "revision", cs.feed.AsOf(), "confirmed_by", cs.confirmedBy)
		return
	}
	g.metrics.count("pimento_state_stale_total")
	g.logLine(level.WarnValue(), "msg", "published items are stale", "age", age, "known", known, "revision", cs.feed.AsOf(),
		"confirmed_by", cs.confirmedBy, "domain_entries", len(cs.members.DomainMembers(g.settings.Domain)), "region_entries", len(cs.members.RegionMembers(g.region)))
}

const (
	// readingTTL is the time for which a reading counts as proof that an entry reads the
	// platform.
	readingTTL = 3 * time.Second
	// joinWait is the time after the start for which an entry that has received
	// items waits for the others before it reads the platform.
	joinWait = 900 * time.Millisecond
	// membershipWait is the time after the start for which an entry may not know
	// all others of its region. Until then it adds startRankOffset to its rank there.
	membershipWait  = 3 * time.Second
	startRankOffset = 5
	// firstReadWait plus a random part of firstReadJitter is the time after a first
	// start at which an entry that isn't a seed reads the platform if it has
	// received no items.
	firstReadWait   = 350 * time.Millisecond
	firstReadJitter = 350 * time.Millisecond
)

// setReading records whether reading the platform succeeds.
func (g *Gate) setReading(works bool) {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.reading = works
	if works {
		cs.lastRead, cs.cutOffAt = g.now(), 0
		cs.feed.Confirm(cs.lastRead, 0)
		cs.confirmedBy = sourcePlatform
		cs.extendDue(cs.lastRead + cs.answerDue)
		cs.stateReading(cs.lastRead) // Also if it doesn't ask again.
		cs.expireFailure(cs.lastRead, cs.members.Self().RunID)
	}
}

// platformMargin is the time for the way to the platform and back, and maxAnswerDue the time
// after an answer within which the next one comes while watches wait for the usual time.
const (
	platformMargin = 150 * time.Millisecond
	maxAnswerDue   = pimentoplatform.WatchWait + platformMargin
)

// overdue returns the time since the last moment at which an answer to an entry that reads
// the platform was due, as far as this entry knows. It is 0 if it knows of none. It is
// called with mu held.
func (cs *clusterState) overdue(now time.Duration) time.Duration {
	if cs.due == 0 {
		return 0
	}
	return now - cs.due
}

// takeoverPercent is the part of the limit of the bounded age from which entries that don't read
// the platform begin to. The rest leaves the last of them the time for an answer.
const takeoverPercent = 70

// boundOverdue returns the time since the last moment at which the bounded age of the items was
// to be confirmed so that this entry needn't do it itself, at most 0 if no bound is in force or
// reading wouldn't help. It is called with clusterState.mu held.
func (g *Gate) boundOverdue(now time.Duration) time.Duration {
	b, cs := g.ageBound(), g.cluster
	if !b.InForce() || cs.undecoded || cs.configRemoved { // Then no answer confirms anything.
		return 0
	}
	age, known := cs.ageAtMost(bootTime())
	if !known {
		return now - joinWait
	}
	return age - b.Limit()*takeoverPercent/100
}

// extendDue records when an answer to an entry that reads the platform is due. If that is
// much later than known so far, the sync peers are informed at once. It is called with mu
// held.
func (cs *clusterState) extendDue(due time.Duration) {
	if due-cs.due > dueGain {
		cs.signalConfirmed()
	}
	cs.due = max(cs.due, due)
}

// dueGain is the time by which an answer must be due later for the sync peers to be informed
// at once.
const dueGain = time.Second

// reading is an entry's statement that the platform confirmed its items just now. It is
// forwarded between entries. Each statement has a number of its own, so that an entry
// that receives one again doesn't take it for a new one: with the time that messages
// take, the items would seem younger with each exchange.
type reading struct {
	run    uint64 // The run ID of the entry that reads the platform.
	number uint64
	at     time.Duration // When it was made, by the receiver's clock.
	due    time.Duration // When the platform's next answer to that entry is due, likewise.
}

// maxReadings bounds the readings in a sync message.
const maxReadings = 8

// currentReadings returns the readings that are forwarded, newest first. While this entry
// reads the platform, they include a new one of its own. It is called with mu held.
func (cs *clusterState) currentReadings(now time.Duration) []reading {
	if cs.readsNow(now) {
		cs.stateReading(now)
	}
	var list []reading
	for run, r := range cs.readings {
		if now-r.at < readingTTL {
			list = append(list, r)
		} else if now-r.at > readingRetention {
			delete(cs.readings, run)
		}
	}
	slices.SortFunc(list, func(a, b reading) int { return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.run, b.run)) })
	return list[:min(len(list), maxReadings)]
}

// stateReading makes a new reading of this entry, unless its items may be old. It is called with
// mu held.
func (cs *clusterState) stateReading(now time.Duration) {
	if cs.staleRead {
		return
	}
	run := cs.members.Self().RunID
	cs.readings[run] = reading{run: run, number: cs.readings[run].number + 1, at: now, due: cs.lastRead + cs.answerDue}
}

// readingRetention is the time for which the number of an entry's last reading is kept.
const readingRetention = time.Minute

// mergeReadings stores the readings that are new, and reports whether there were any. It
// is called with mu held.
func (cs *clusterState) mergeReadings(list []reading) (isNew bool) {
	for _, r := range list {
		if known, ok := cs.readings[r.run]; !ok || r.number > known.number {
			cs.readings[r.run] = r
			cs.extendDue(r.due)
			isNew = true
		}
	}
	return isNew
}
