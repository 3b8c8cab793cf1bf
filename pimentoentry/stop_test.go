package pimentoentry

import (
	"testing"
	"time"
)

// A planned stop must not wait for the pending watch call to the platform, which the
// fake platform ends only after 20 s.
func TestStopDoesNotWaitForWatch(t *testing.T) {
	f := newCluster(t, 4)
	m := f.start("west-a")
	f.awaitReady()
	close(m.stop)
	select {
	case err := <-m.done:
		f.is.NoErr(err)
	case <-time.After(10 * time.Second):
		t.Fatal("the planned stop took more than 10 s")
	}
}

// An entry that has not received the list of VMs has neither peers nor owners of cold
// targets, so its health check must fail.
func TestNotReadyWithoutList(t *testing.T) {
	f := newCluster(t, 4)
	f.platform.Lag = time.Second
	m := f.start("west-a")
	f.await("revision 1", f.revisionEverywhere(1))
	time.Sleep(100 * time.Millisecond)
	f.is.Equal(httpStatus(m.settings.Admin, "/health"), 503)
	f.awaitReady()
	f.is.True(m.listReceived.Load())
}
