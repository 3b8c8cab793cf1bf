package pimentoentry

import (
	"testing"
	"time"
)

// A planned stop must not wait for the platform's watch, which returns after
// 20 s only.
func TestStopDoesNotWaitForWatch(t *testing.T) {
	f := newFleet(t, 4)
	m := f.start("west-a")
	f.awaitReady()
	close(m.stop)
	select {
	case err := <-m.done:
		f.is.NoErr(err)
	case <-time.After(10 * time.Second):
		t.Fatal("the stop waits for something that doesn't end")
	}
}
