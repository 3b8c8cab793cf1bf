package pimentoroute

import (
	"cmp"
	"maps"
	"slices"

	"pimentoarch/pimentoregister"
)

// Change is the replacement of the record of one target by another. Nil stands for no
// record.
type Change struct{ Old, New *Target }

// With returns a table with changed targets, which is otherwise the same as t. Its cost is
// that of copying the lists of the services concerned, but not their targets.
func (t *Table) With(changes []Change, regions map[pimentoregister.DomainName]pimentoregister.RegionName) *Table {
	next := *t
	next.Targets = maps.Clone(t.Targets)
	copied := make(map[pimentoregister.ServiceName]bool)
	list := func(name pimentoregister.ServiceName) []*Target {
		if !copied[name] {
			copied[name] = true
			next.Targets[name] = slices.Clone(t.Targets[name])
		}
		return next.Targets[name]
	}
	for _, c := range changes {
		if c.Old != nil {
			next.setList(c.Old.Service, without(list(c.Old.Service), c.Old.ID))
		}
		if c.New == nil {
			continue
		}
		if placed := next.place(c.New, regions); placed != nil {
			next.setList(c.New.Service, withTarget(list(c.New.Service), placed))
		}
	}
	next.domains = maps.Clone(t.domains)
	for name := range copied {
		delete(next.domains, name)
		if targets := next.Targets[name]; len(targets) > 0 {
			next.domains[name] = splitByDomain(targets)
		}
	}
	next.targetCount = 0
	for _, targets := range next.Targets {
		next.targetCount += len(targets)
	}
	return &next
}

// setList sets the targets of a service. A service without targets has no list.
func (t *Table) setList(name pimentoregister.ServiceName, list []*Target) {
	if len(list) == 0 {
		delete(t.Targets, name)
		return
	}
	t.Targets[name] = list
}

// search returns the index of a target in a list sorted by ID, or where it would be.
func search(list []*Target, id TargetID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(tg *Target, id TargetID) int { return cmp.Compare(tg.ID, id) })
}

func without(list []*Target, id TargetID) []*Target {
	if i, ok := search(list, id); ok {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func withTarget(list []*Target, tg *Target) []*Target {
	i, ok := search(list, tg.ID)
	if ok {
		list[i] = tg
		return list
	}
	return slices.Insert(list, i, tg)
}

// Has reports whether a target is in service, which may have changed otherwise.
func (t *Table) Has(tg *Target) bool { return t.Newest(tg) != nil }

// Newest returns the record of a target that is in service, which may have changed, or nil.
func (t *Table) Newest(tg *Target) *Target {
	list := t.Targets[tg.Service]
	if i, ok := search(list, tg.ID); ok {
		return list[i]
	}
	return nil
}

// HasAddress reports whether a target with an address is in service.
func (t *Table) HasAddress(address string) bool {
	for _, list := range t.Targets {
		for _, tg := range list {
			if tg.Address == address {
				return true
			}
		}
	}
	return false
}
