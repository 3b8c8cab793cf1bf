package main

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A reader that closes its end of the output doesn't end the process.
func TestOutputClosed(t *testing.T) {
	bin := buildBinary(t)
	for _, kind := range []string{"gate", "entry"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			p := newProcess(t, bin, kind)
			r, w, err := os.Pipe()
			is.NoErr(err)
			cmd := p.command()
			cmd.Stdout, cmd.Stderr = w, w
			p.startCommand(cmd)
			_ = w.Close()
			_, err = io.ReadFull(r, make([]byte, 100))
			is.NoErr(err)
			_ = r.Close()
			// Both log that the platform can't be reached, within a few seconds.
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				if c, err := net.Dial("tcp", p.addresses[0]); err == nil {
					_ = c.Close()
				}
			}
			is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
			is.Equal(p.awaitEnd().String(), "exit status 0")
		})
	}
}
