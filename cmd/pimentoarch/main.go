// Command pimentoarch runs an entry of the load balancer, checks published documents,
// prints an entry's status, and analyses logs.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pimentoarch/pimentoentry"
	"pimentoarch/pimentolog"
)

type entryCmd struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings of this VM, as JSON (required)"`
	Name     string `arg:"--name" help:"overrides the name in the file"`
	Callers  string `arg:"--callers" placeholder:"IP:PORT" help:"overrides the file's address for callers"`
	Peers    string `arg:"--peers" placeholder:"IP:PORT" help:"overrides the file's address for peers"`
	Admin    string `arg:"--admin" placeholder:"IP:PORT" help:"overrides the file's address for operators"`
	Log      string `arg:"--log" placeholder:"LEVEL" help:"overrides the log level in the file"`
}

type checkCmd struct {
	File string `arg:"positional,required" help:"register (inventory and rules), as JSON"`
}

type statusCmd struct {
	Address string `arg:"positional,required" placeholder:"IP:PORT" help:"an entry's address for operators"`
	JSON    bool   `arg:"--json" help:"print JSON"`
}

type args struct {
	Entry   *entryCmd   `arg:"subcommand:entry" help:"run an entry"`
	Gate    *gateCmd    `arg:"subcommand:gate" help:"run an entry on a platform that can only be read"`
	Explain *explainCmd `arg:"subcommand:explain" help:"print the timeline of a request or a target from logs"`
	Report  *reportCmd  `arg:"subcommand:report" help:"write an HTML page with plots of logs"`
	Check   *checkCmd   `arg:"subcommand:check" help:"list the errors of a register file"`
	Status  *statusCmd  `arg:"subcommand:status" help:"print the status of an entry"`
}

// Description returns the text that --help prints first.
func (args) Description() string {
	return "pimentoarch is a load balancer for servers whose load shifts in milliseconds."
}

// Exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2 // The command line or the settings are invalid.
)

// gcPercent lets the heap grow further between collections than the default of 100. An
// entry's live heap is a few MB, so the default would cause tens of collections a second
// under load.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes a command line and returns the exit status.
func run(argv []string, stdout, stderr io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "pimentoarch"}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if err := p.Parse(argv); err != nil {
		if errors.Is(err, arg.ErrHelp) {
			_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
			return exitOK
		}
		fmt.Fprintf(stderr, "pimentoarch: %v\n", err)
		return exitSettings
	}
	switch {
	case a.Entry != nil:
		return runEntry(a.Entry, stderr)
	case a.Gate != nil:
		return runGate(a.Gate, stdout, stderr)
	case a.Explain != nil:
		return runExplain(a.Explain, stdout, stderr)
	case a.Report != nil:
		return runReport(a.Report, stdout, stderr)
	case a.Check != nil:
		return runCheck(a.Check, stdout, stderr)
	case a.Status != nil:
		return runStatus(a.Status, stdout, stderr)
	}
	fmt.Fprintln(stderr, "pimentoarch: a command is required: entry, gate, check, explain, report or status")
	return exitSettings
}

// runEntry runs an entry until it has stopped and returns the exit status.
func runEntry(cmd *entryCmd, stderr io.Writer) int {
	s, ok := loadSettings(cmd.Settings, cmd.load, stderr)
	if !ok {
		return exitSettings
	}
	logger, flush := newLogger(stderr, s.Log)
	defer flush()
	return runProcess("entry", string(s.Name), logger, func() (func() error, func(), error) {
		e, cleanup, err := pimentoentry.New(s, logger)
		return func() error { return e.Run(stopSignal(logger)) }, cleanup, err
	})
}

// load reads and parses the settings file. Flags override values of the file.
func (cmd *entryCmd) load() (pimentoentry.Settings, error) {
	data, err := os.ReadFile(cmd.Settings)
	if err != nil {
		return pimentoentry.Settings{}, err
	}
	return pimentoentry.ParseSettings(data, func(s *pimentoentry.Settings) {
		override(&s.Name, cmd.Name)
		override(&s.Callers, cmd.Callers)
		override(&s.Peers, cmd.Peers)
		override(&s.Admin, cmd.Admin)
		override(&s.Log, cmd.Log)
	})
}

// override sets *field to value unless value is empty.
func override[T ~string](field *T, value string) {
	if value != "" {
		*field = T(value)
	}
}

// stopSignal returns a channel that is closed at the first SIGTERM or SIGINT.
func stopSignal(logger log.Logger) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		s := <-signals
		_ = level.Info(logger).Log("msg", "signal received", "signal", s)
		close(stop)
	}()
	return stop
}

// flushTimeout bounds the time for which a process that ends waits until its log has been
// written.
const flushTimeout = 500 * time.Millisecond

// newLogger returns a logger that writes logfmt lines of the named level and above to w,
// and a function that waits until they have been written. An unknown name means info.
func newLogger(w io.Writer, name string) (logger log.Logger, flush func()) {
	lines, flush := pimentolog.New(w, flushTimeout)
	logger = level.NewFilter(lines.Logger(), level.Allow(level.ParseDefault(name, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC), flush
}
