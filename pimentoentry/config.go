package pimentoentry

import (
	"errors"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// offer takes a published document, from the platform or from a peer.
func (e *Entry) offer(rev pimentoregister.Revision, data []byte) error {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	changed, err := e.store.Offer(rev, data)
	var regErr *pimentoregister.Error
	if errors.As(err, &regErr) && regErr.Kind == pimentoregister.KindStale {
		return nil
	}
	if err != nil {
		e.counters.invalid.Inc()
		return err
	}
	if changed {
		e.apply(e.store.View())
		_ = level.Info(e.log).Log("msg", "configuration in force", "revision", rev)
		e.hurry()
	}
	return nil
}

// apply brings the tables in line with a new view. Services that are the same
// object as before have not changed. It is called with configMu held.
func (e *Entry) apply(v *pimentoregister.View) {
	old := e.services.Load()
	next := make(map[pimentoregister.ServiceName]*service)
	for _, info := range v.Services() {
		s := (*old)[info.Name]
		if s == nil {
			s = e.newService(info.Name)
		}
		next[info.Name] = s
		e.applyService(s, info)
	}
	e.services.Store(&next)
	for name, s := range *old {
		if next[name] == nil {
			e.retire(s)
		}
	}
}

// applyService updates one service's table.
func (e *Entry) applyService(s *service, info *pimentoregister.ServiceView) {
	now := e.now()
	entries, leaving := e.listed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == info {
		return
	}
	prev := s.view
	s.view = info
	s.table.SetEntries(now, entries)
	s.table.Update(now, info)
	s.table.SetLeaving(leaving)
	e.limitConnections(prev, info, len(entries))
	s.pump(now)
}

// limitConnections sets this entry's share of each target's connections.
func (e *Entry) limitConnections(prev, info *pimentoregister.ServiceView, entries int) {
	addresses := make(map[string]bool, len(info.Targets))
	share := max(1, info.MaxConnections/max(1, entries))
	for _, tg := range info.Targets {
		addresses[tg.Address] = true
		e.client.SetLimit(tg.Address, share)
	}
	if prev == nil {
		return
	}
	for _, tg := range prev.Targets {
		if !addresses[tg.Address] {
			e.client.Remove(tg.Address)
		}
	}
}

// retire ends new work for a service that the register no longer has.
func (e *Entry) retire(s *service) {
	now := e.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = nil
	s.table.Update(now, &pimentoregister.ServiceView{})
	s.pump(now)
}

// takeList takes the platform's list of VMs. No configuration is put in force
// meanwhile, so that its new services can't miss the list.
func (e *Entry) takeList(list pimentoplatform.VMList) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	e.listMu.Lock()
	e.leaving = list.Leaving
	e.listAt = e.now()
	e.listMu.Unlock()
	e.updateMembers(list.Entries)
	e.listSeen.Store(true)
	now := e.now()
	for _, s := range e.allServices() {
		s.mu.Lock()
		s.table.SetLeaving(list.Leaving)
		s.pump(now)
		s.mu.Unlock()
	}
}

// setEntries keeps the published entries of the own region for services that
// become known later.
func (e *Entry) setEntries(entries []pimentotarget.EntryName) {
	e.listMu.Lock()
	e.entries = entries
	e.listMu.Unlock()
}

// listed returns the published entries of the own region, and the targets that
// are leaving. Both are replaced, never changed, by a new list.
func (e *Entry) listed() ([]pimentotarget.EntryName, map[pimentoregister.VMName]bool) {
	e.listMu.Lock()
	defer e.listMu.Unlock()
	return e.entries, e.leaving
}

// fetch gets the configuration of a peer that has a newer one.
func (e *Entry) fetch(address string) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching.Store(false)
		rev, data, err := e.node.FetchConfig(address)
		if err == nil && rev > 0 {
			err = e.offer(rev, data)
		}
		if err != nil {
			_ = level.Warn(e.log).Log("msg", "fetch configuration from peer", "peer", address, "err", err)
		}
	}()
}

// service returns the state of a service, or nil.
func (e *Entry) service(name pimentoregister.ServiceName) *service {
	return (*e.services.Load())[name]
}

// allServices returns the states of all services.
func (e *Entry) allServices() map[pimentoregister.ServiceName]*service {
	return *e.services.Load()
}
