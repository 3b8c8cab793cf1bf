package pimentofake

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Of lists that are set one after the other, the last one is published in the
// end, also where their timers end at the same moment.
func TestLastListIsPublished(t *testing.T) {
	is := is.New(t)
	var wg sync.WaitGroup
	for range 8 { // Load, so that goroutines are scheduled in other orders.
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

// await waits until something is so, and reports false if it doesn't become so.
func await(so func() bool) bool {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if so() {
			return true
		}
	}
	return false
}
