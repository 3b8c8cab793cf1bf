package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A settings file that is being replaced delays the start and doesn't end the process. A
// running process keeps the settings that it has.
func TestSettingsBeingReplaced(t *testing.T) {
	forKinds(t, func(is *is.I, p *process) {
		data, err := os.ReadFile(p.settings)
		is.NoErr(err)
		for _, unfinished := range [][]byte{nil, data[:len(data)/2]} {
			p.write(unfinished)
			p.start()
			time.Sleep(heldTime)
			p.write(data)
			p.awaitText("callers=" + p.addresses[0])
			p.write(unfinished)
			if p.kind == "gate" {
				p.signal(syscall.SIGHUP)
				p.awaitText("changed settings ignored")
			}
			is.NoErr(os.Remove(p.settings))
			p.signal(syscall.SIGHUP)
			p.signal(syscall.SIGTERM)
			is.Equal(p.awaitEnd().ExitCode(), exitOK)
			is.NoErr(os.Remove(p.output))
		}
	})
}
