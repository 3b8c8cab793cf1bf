package main

import (
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/samber/oops"
)

// runProcess creates an entry or a gate (kind), runs it until it has stopped, and returns
// the exit status. create returns the function that runs it and its cleanup function. The
// first line that is logged identifies the process, and the last one says why it ended.
func runProcess(kind, name string, logger log.Logger, create func() (run func() error, cleanup func(), err error)) int {
	start := time.Now()
	_ = level.Info(logger).Log("msg", "process started", "kind", kind, "name", name, "pid", os.Getpid(),
		"version", buildVersion(), "go", runtime.Version(), "arch", runtime.GOARCH)
	ended := func(severity func(log.Logger) log.Logger, reason string, status int) int {
		_ = severity(logger).Log("msg", "process ended", "kind", kind, "reason", reason, "status", status,
			"ran", time.Since(start).Round(time.Millisecond), "peak_kib", peakKiB())
		return status
	}
	run, cleanup, err := create()
	if err != nil {
		_ = level.Error(logger).Log("msg", "start failed", "err", oops.In(kind).Wrap(err))
		return ended(level.Error, "start failed", exitFailed)
	}
	defer cleanup()
	if err := run(); err != nil {
		_ = level.Error(logger).Log("msg", kind+" failed", "err", oops.In(kind).With("name", name).Wrap(err))
		return ended(level.Error, kind+" failed", exitFailed)
	}
	return ended(level.Info, "planned stop", exitOK)
}

// buildVersion returns the version of this binary, with the revision that it was built
// from if that is known.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + "+" + s.Value
		}
	}
	return info.Main.Version
}

// peakKiB returns the largest resident set of this process in KiB, or 0 if it is unknown.
func peakKiB() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return u.Maxrss
}
