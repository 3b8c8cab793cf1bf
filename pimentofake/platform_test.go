package pimentofake

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The last of several lists set in a row stays published, even if their timers expire at
// the same moment and so run in any order.
func TestLastListIsPublished(t *testing.T) {
	is := is.New(t)
	var wg sync.WaitGroup
	for range 8 { // CPU load varies the order in which goroutines run.
		wg.Go(func() {
			for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
				_ = fmt.Sprint(end)
			}
		})
	}
	for range 100 {
		p := new(Platform)
		for i := range 8 {
			p.SetVMs([]VM{{Name: fmt.Sprint("vm-", i)}})
		}
		is.True(await(func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return strings.Contains(string(p.vmList.data), "vm-7")
		}))
	}
	wg.Wait()
}

// await waits until cond returns true. It returns false if that takes more than 2 s.
func await(cond func() bool) bool {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return true
		}
	}
	return false
}
