package pimentoentry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoregister"
)

// The first list of VMs arrives while the first configuration is activated. Every
// service must apply the list, and so have its shares of the targets; a service that is
// added meanwhile could miss it.
func TestFirstListDuringFirstConfiguration(t *testing.T) {
	is := is.New(t)
	doc := pimentoregister.Document{
		Regions: []pimentoregister.Region{{Name: "west", Domains: []pimentoregister.DomainName{"west-a"}}},
	}
	for i := range 60 {
		name := pimentoregister.ServiceName(fmt.Sprint("charts", i))
		doc.Services = append(doc.Services, pimentoregister.Service{
			Name: name, Class: "read", Slots: 3, MaxConnections: 260, ColdLimit: 3, Timeout: 5000, RefusalStatuses: []int{503},
		})
		doc.VMs = append(doc.VMs, pimentoregister.VM{
			Name: pimentoregister.VMName(name), Service: name, Domain: "west-a", Address: fmt.Sprintf("127.0.0.1:%d", i+1),
		})
	}
	doc.Rules.Links.CapacityMbps = 1000
	data, err := json.Marshal(doc)
	is.NoErr(err)
	s := DefaultSettings()
	s.Name, s.Region, s.Domain = "entry-0", "west", "west-a"
	list := pimentoplatform.VMList{Revision: 1, Entries: []pimentopeer.PublishedEntry{
		{Name: s.Name, Address: "127.0.0.1:9", Region: "west", Domain: "west-a"},
	}}
	took := time.Duration(0)
	for n := range 300 {
		e, cleanup, err := New(s, log.NewNopLogger())
		is.NoErr(err)
		// Any moment during the activation.
		delay := rand.N(took + 1)
		var wg sync.WaitGroup
		wg.Go(func() {
			began := time.Now()
			is.NoErr(e.offerConfig(1, data))
			took = time.Since(began)
		})
		wg.Go(func() {
			time.Sleep(delay)
			e.applyVMList(list)
		})
		wg.Wait()
		for _, service := range e.Status().Services {
			if share := service.Targets[0].Share; share != 3 {
				t.Fatalf("start %d: service %s has share %d of its target's 3 slots", n, service.Name, share)
			}
		}
		cleanup()
	}
}
