package main

import (
	"io"
	"os"
	"runtime/debug"

	"pimentoarch/pimentogate"
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentosignal"
	"pimentoarch/platform"
)

type gateCmd struct {
	Settings string `arg:"--settings,env:PIMENTOARCH_CONFIG" placeholder:"FILE" help:"settings of this VM, as JSON (required)"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// gateGCPercent is lower than gcPercent, because memory is expensive where gates run and
// their load is small.
const gateGCPercent = 100

// memoryLimitPercent is the soft memory limit in percent of the VM's memory. Garbage is
// collected more often near it.
const memoryLimitPercent = 50

// runGate runs a gate until it has stopped and returns the exit status.
func runGate(cmd *gateCmd, stdout, stderr io.Writer) int {
	s, ok := loadSettings(cmd.Settings, cmd.load, stderr)
	if !ok {
		return exitSettings
	}
	if cmd.Check {
		return exitOK
	}
	debug.SetGCPercent(gateGCPercent)
	debug.SetMemoryLimit(int64(s.MemoryMiB) << 20 * memoryLimitPercent / 100)
	logger, flush := newLogger(stdout, s.LogLevel)
	defer flush()
	client, closeClient := pimentoplatform.NewClient(s.PlatformAddrs)
	defer closeClient()
	adapter := pimentogate.PlatformAdapter{
		Dialect: platform.Dialect(),
		Source:  platform.Source(client),
		Decode:  platform.Decode,
		Newer:   platform.Newer,
		Reload:  cmd.load,
	}
	return runProcess("gate", string(s.Name), logger, func() (func() error, func(), error) {
		g, cleanup, err := pimentogate.New(s, adapter, logger)
		return func() error { return g.Run(stopSignal(logger), pimentosignal.Reload()) }, cleanup, err
	})
}

// load reads and parses the settings file.
func (cmd *gateCmd) load() (pimentogate.Settings, error) {
	data, err := os.ReadFile(cmd.Settings)
	if err != nil {
		return pimentogate.Settings{}, err
	}
	if len(data) == 0 {
		return pimentogate.Settings{}, errEmptySettings
	}
	return pimentogate.ParseSettings(data)
}
