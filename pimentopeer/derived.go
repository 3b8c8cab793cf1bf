package pimentopeer

import (
	"cmp"
	"slices"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// derived holds lists that follow from the records. They are made when they are needed
// after a record has changed, so that what entries do at intervals and for each message
// doesn't take longer in a larger fleet. Lists aren't modified once they were returned.
type derived struct {
	all     []Member // Sorted by name, this entry included.
	others  []Member // Like all, without this entry.
	live    int      // Members that aren't down.
	domains map[pimentoregister.DomainName][]Member
	regions map[pimentoregister.RegionName][]Member
	runs    map[uint64]Member
	peers   []Member
	down    []*memberState

	neighboursSet bool // The lists below are complete.
	neighbours    []*memberState
}

// derive returns the lists that follow from the records.
func (g *GossipMembership) derive() *derived {
	if g.derived != nil {
		return g.derived
	}
	d := &derived{
		all:     make([]Member, 0, len(g.members)+1),
		others:  make([]Member, 0, len(g.members)),
		domains: make(map[pimentoregister.DomainName][]Member),
		regions: make(map[pimentoregister.RegionName][]Member),
		runs:    make(map[uint64]Member, len(g.members)+1),
	}
	g.derived = d
	for _, state := range g.members {
		d.others = append(d.others, state.Member)
		if state.Down {
			d.down = append(d.down, state)
		}
	}
	slices.SortFunc(d.others, compareNames)
	i, _ := Rank(d.others, g.self.Name)
	d.all = slices.Insert(append(d.all, d.others...), i, g.self)
	for _, m := range d.all {
		d.runs[m.RunID] = m
		if m.Down {
			continue
		}
		d.live++
		d.domains[m.Domain] = append(d.domains[m.Domain], m)
		if !m.Stopping {
			d.regions[m.Region] = append(d.regions[m.Region], m)
		}
	}
	d.peers = g.syncPeers(d)
	return d
}

func compareNames(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// Rank returns the index of a member in a list sorted by name, or where it would be.
func Rank(list []Member, name pimentotarget.EntryName) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(m Member, name pimentotarget.EntryName) int { return cmp.Compare(m.Name, name) })
}

// syncPeers returns what SyncPeers does.
func (g *GossipMembership) syncPeers(d *derived) []Member {
	list := g.ownSuccessors(d.domains[g.self.Domain])
	var withDown []Member
	for _, m := range d.all {
		if m.Domain == g.self.Domain {
			withDown = append(withDown, m)
		}
	}
	for _, m := range g.ownSuccessors(withDown) {
		if m.Down {
			list = append(list, m)
		}
	}
	return list
}

func (g *GossipMembership) ownSuccessors(ring []Member) []Member {
	i, ok := Rank(ring, g.self.Name)
	if !ok {
		return nil
	}
	return ringSuccessors(ring, i)
}

// SyncPeers returns the members of this entry's domain to which this entry sends sync
// messages. Down members are included, so that they are found when they return.
func (g *GossipMembership) SyncPeers() []Member { return g.derive().peers }

// DomainMembers returns the members of a domain that aren't down, sorted by name,
// including this entry if it is in that domain.
func (g *GossipMembership) DomainMembers(domain pimentoregister.DomainName) []Member {
	return g.derive().domains[domain]
}

// RegionMembers returns the members of a region that are neither down nor stopping,
// sorted by name, including this entry if it is in that region and isn't stopping.
func (g *GossipMembership) RegionMembers(region pimentoregister.RegionName) []Member {
	return g.derive().regions[region]
}

// OtherRecords returns all records but this entry's, sorted by name. Down members are
// included.
func (g *GossipMembership) OtherRecords() []Member { return g.derive().others }

// LiveCount returns the number of members that aren't down, this entry included.
func (g *GossipMembership) LiveCount() int { return g.derive().live }

// ByRun returns the member with a run ID, down members and this entry included.
func (g *GossipMembership) ByRun(run uint64) (Member, bool) {
	m, ok := g.derive().runs[run]
	return m, ok
}
