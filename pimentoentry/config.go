package pimentoentry

import (
	"errors"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// offerConfig activates a configuration document from the platform or a peer if
// it is valid and newer than the active one. A stale revision is not an error.
func (e *Entry) offerConfig(rev pimentoregister.Revision, data []byte) error {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	changed, err := e.store.Offer(rev, data)
	var regErr *pimentoregister.Error
	if errors.As(err, &regErr) && regErr.Kind == pimentoregister.KindStale {
		return nil
	}
	if err != nil {
		e.counters.configsRefused.Inc()
		return err
	}
	if changed {
		e.applyView(e.store.View())
		_ = level.Info(e.log).Log("msg", "configuration in force", "revision", rev)
		e.wakeHeartbeats()
	}
	return nil
}

// applyView updates the services to a new view of the configuration. A service
// whose ServiceView is the same object as before has not changed. The caller
// holds e.configMu.
func (e *Entry) applyView(v *pimentoregister.View) {
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
			e.retireService(s)
		}
	}
}

// applyService updates the state of one service to its new view.
func (e *Entry) applyService(s *service, info *pimentoregister.ServiceView) {
	now := e.now()
	entries, leaving := e.publishedVMs()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.info == info {
		return
	}
	prev := s.info
	s.info = info
	s.table.SetEntries(now, entries)
	s.table.Update(now, info)
	s.table.SetLeaving(leaving)
	e.limitConnections(prev, info, len(entries))
	s.assignTargets(now)
}

// limitConnections limits the connections to each target to this entry's share,
// an equal part for each of the region's entries, and removes the limits of
// targets that the service no longer has.
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

// retireService stops new requests to a service that the register no longer has.
func (e *Entry) retireService(s *service) {
	now := e.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info = nil
	s.table.Update(now, &pimentoregister.ServiceView{})
	s.assignTargets(now)
}

// applyVMList applies the platform's list of VMs. It holds e.configMu, because a
// service of a configuration that is activated meanwhile could miss the list.
func (e *Entry) applyVMList(list pimentoplatform.VMList) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	e.listMu.Lock()
	e.leavingVMs = list.Leaving
	e.listReceivedAt = e.now()
	e.listMu.Unlock()
	e.updateMembers(list.Entries)
	e.listReceived.Store(true)
	now := e.now()
	for _, s := range e.allServices() {
		s.mu.Lock()
		s.table.SetLeaving(list.Leaving)
		s.assignTargets(now)
		s.mu.Unlock()
	}
}

// setRegionEntries stores the published entries of the own region, for services
// that are added later.
func (e *Entry) setRegionEntries(regionEntries []pimentotarget.EntryName) {
	e.listMu.Lock()
	e.regionEntries = regionEntries
	e.listMu.Unlock()
}

// publishedVMs returns the published entries of the own region and the targets
// that are leaving. A new list replaces both and doesn't modify them.
func (e *Entry) publishedVMs() ([]pimentotarget.EntryName, map[pimentoregister.VMName]bool) {
	e.listMu.Lock()
	defer e.listMu.Unlock()
	return e.regionEntries, e.leavingVMs
}

// fetchConfig fetches the configuration from a peer with a newer revision, in the
// background. It does nothing while another fetch runs.
func (e *Entry) fetchConfig(address string) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching.Store(false)
		rev, data, err := e.node.FetchConfig(address)
		if err == nil && rev > 0 {
			err = e.offerConfig(rev, data)
		}
		if err != nil {
			_ = level.Warn(e.log).Log("msg", "configuration not fetched from peer", "peer", address, "err", err)
		}
	}()
}

// service returns the state of a service, or nil if the register has none.
func (e *Entry) service(name pimentoregister.ServiceName) *service {
	return (*e.services.Load())[name]
}

// allServices returns the states of all services.
func (e *Entry) allServices() map[pimentoregister.ServiceName]*service {
	return *e.services.Load()
}
