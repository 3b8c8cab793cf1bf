// Command pimentofake runs the fakes of package pimentofake.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentofake"
	"pimentoarch/pimentoregister"
)

type platformCmd struct {
	Listen string `arg:"--listen,required" placeholder:"IP:PORT"`
	Config string `arg:"--config" placeholder:"FILE" help:"published as value \"config\""`
	VMs    string `arg:"--vms" placeholder:"FILE" help:"published as the list of VMs"`
	Lag    int    `arg:"--lag" default:"500" help:"delay in ms before a list of VMs is published"`
}

type targetCmd struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"register that has the VM"`
	Name   string `arg:"--name,required" help:"name of the VM"`
	Work   int    `arg:"--work" default:"5" help:"mean execution time of a request in ms"`
	Queue  int    `arg:"--queue" default:"20" help:"waiting requests above which load is shed"`
	Log    string `arg:"--log" placeholder:"FILE" help:"log with a line for each execution"`
	Exit   bool   `arg:"--exit" help:"exit with status 3 at a request with header X-Crash"`
}

type callerCmd struct {
	Entries []string `arg:"--entries,required" placeholder:"IP:PORT" help:"entries' addresses for callers"`
	Health  []string `arg:"--health" placeholder:"IP:PORT" help:"entries' addresses for operators, in the same order"`
	Routes  string   `arg:"--routes,required" placeholder:"FILE" help:"routes of the load, as JSON"`
	Seconds float64  `arg:"--seconds" default:"10"`
	Scale   float64  `arg:"--scale" default:"1" help:"multiplier of all rates"`
	Log     string   `arg:"--log" placeholder:"FILE" help:"log with a line for each non-idempotent request"`
	Runs    []string `arg:"--runs" placeholder:"GLOB" help:"targets' logs to compare with the caller's at the end"`
	Config  string   `arg:"--config" placeholder:"FILE" help:"register with the home regions to check at the end"`
}

type args struct {
	Platform *platformCmd `arg:"subcommand:platform" help:"run a fake of the platform's service"`
	Target   *targetCmd   `arg:"subcommand:target" help:"run a fake of one target"`
	Caller   *callerCmd   `arg:"subcommand:caller" help:"send requests for a limited time and compare the logs"`
	Measure  *measureCmd  `arg:"subcommand:measure" help:"measure the latency, CPU time and memory that an entry adds"`
}

func main() {
	var a args
	arg.MustParse(&a)
	var err error
	switch {
	case a.Platform != nil:
		err = runPlatform(a.Platform)
	case a.Target != nil:
		err = runTarget(a.Target)
	case a.Caller != nil:
		err = runCaller(a.Caller)
	case a.Measure != nil:
		err = runMeasure(a.Measure)
	default:
		err = fmt.Errorf("a command is required: platform, target, caller or measure")
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "pimentofake: %v\n", err)
		os.Exit(1)
	}
}

// runPlatform serves a fake platform until the process ends.
func runPlatform(cmd *platformCmd) error {
	p := &pimentofake.Platform{}
	if cmd.Config != "" {
		data, err := os.ReadFile(cmd.Config)
		if err != nil {
			return err
		}
		p.Set("config", data)
	}
	if cmd.VMs != "" {
		var vms []pimentofake.VM
		if err := readJSON(cmd.VMs, &vms); err != nil {
			return err
		}
		p.SetVMs(vms)
	}
	p.Lag = time.Duration(cmd.Lag) * time.Millisecond
	server := &fasthttp.Server{Handler: p.Handler, MaxRequestBodySize: 8 << 20}
	return server.ListenAndServe(cmd.Listen)
}

// readJSON decodes a JSON file into the value that into points to.
func readJSON(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// runTarget serves a fake target until the process ends.
func runTarget(cmd *targetCmd) error {
	data, err := os.ReadFile(cmd.Config)
	if err != nil {
		return err
	}
	d, err := pimentoregister.Parse(data)
	if err != nil {
		return err
	}
	t, address, err := newTarget(cmd, pimentoregister.NewView(d, 1, nil))
	if err != nil {
		return err
	}
	if cmd.Exit {
		t.OnCrash = func() { os.Exit(3) }
	}
	if cmd.Log != "" {
		f, err := os.OpenFile(cmd.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		t.Log = f
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return t.Serve(ln)
}

// newTarget returns a fake of the named VM of the register, and its address.
func newTarget(cmd *targetCmd, view *pimentoregister.View) (*pimentofake.Target, string, error) {
	for _, s := range view.Services() {
		for _, vm := range s.Targets {
			if string(vm.Name) != cmd.Name {
				continue
			}
			return &pimentofake.Target{
				Name: cmd.Name, Domain: string(vm.Domain), Region: string(vm.Region),
				Slots: s.Slots, QueueLimit: cmd.Queue, ColdLimit: s.ColdLimit,
				Warmup:   time.Duration(s.Warmup) * time.Millisecond * 3 / 4,
				WorkTime: time.Duration(cmd.Work) * time.Millisecond,
			}, vm.Address, nil
		}
	}
	return nil, "", fmt.Errorf("%s: the register has no VM %q", cmd.Config, cmd.Name)
}

// runCaller sends a load, prints its summary, and compares the logs if targets' logs are
// given.
func runCaller(cmd *callerCmd) error {
	load := &pimentofake.Load{Duration: time.Duration(cmd.Seconds * float64(time.Second))}
	if err := readJSON(cmd.Routes, &load.Routes); err != nil {
		return err
	}
	for i := range load.Routes {
		load.Routes[i].Rate *= cmd.Scale
	}
	if cmd.Log != "" {
		f, err := os.Create(cmd.Log)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		load.Log = f
	}
	balancer := &pimentofake.EntryBalancer{CallerAddrs: cmd.Entries, AdminAddrs: cmd.Health}
	stop := make(chan struct{})
	defer close(stop)
	if len(cmd.Health) > 0 {
		go balancer.Run(stop)
		time.Sleep(500 * time.Millisecond)
	}
	load.NextEntry = balancer.Next
	summary := load.Run()
	invalid := printSummary(summary)
	if len(cmd.Runs) == 0 {
		return invalid
	}
	if err := compareLogs(cmd); err != nil {
		return err
	}
	return invalid
}

// printSummary prints a table of the summaries. It returns an error if a response was
// invalid.
func printSummary(summary map[string]*pimentofake.RouteSummary) error {
	names := make([]string, 0, len(summary))
	for name := range summary {
		names = append(names, name)
	}
	slices.Sort(names)
	invalid := 0
	fmt.Printf("%-16s %8s %8s %6s %9s %9s %9s  %s\n", "route", "sent", "answered", "wrong", "p50", "p99", "p99.9", "refused")
	for _, name := range names {
		s := summary[name]
		invalid += s.Invalid
		fmt.Printf("%-16s %8d %8d %6d %9s %9s %9s  %s\n", name, s.Sent, s.Succeeded, s.Invalid,
			round(s.Quantile(50)), round(s.Quantile(99)), round(s.Quantile(99.9)), refusedText(s.Refused))
	}
	if invalid > 0 {
		return fmt.Errorf("%d answers were wrong", invalid)
	}
	return nil
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// refusedText formats the counts of refusals by reason.
func refusedText(refused map[string]int) string {
	if len(refused) == 0 {
		return "none"
	}
	var list []string
	for reason, n := range refused {
		list = append(list, fmt.Sprintf("%s: %d", reason, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// compareLogs compares the logs of the targets with the caller's and prints the findings.
// It returns an error if there are violations.
func compareLogs(cmd *callerCmd) error {
	home := make(map[string][]string)
	if cmd.Config != "" {
		var d pimentoregister.Document
		if err := readJSON(cmd.Config, &d); err != nil {
			return err
		}
		for _, o := range d.Organisations {
			for _, r := range o.HomeRegions {
				home[string(o.Name)] = append(home[string(o.Name)], string(r))
			}
		}
	}
	checker := pimentofake.NewRunChecker(home)
	for _, glob := range cmd.Runs {
		files, err := filepath.Glob(glob)
		if err != nil {
			return err
		}
		for _, file := range files {
			if err := addFile(file, checker.AddRuns); err != nil {
				return err
			}
		}
	}
	if err := addFile(cmd.Log, checker.AddCalls); err != nil {
		return err
	}
	f := checker.Findings()
	fmt.Println(f)
	if f.HasViolations() {
		return fmt.Errorf("a promise was broken: %s", f)
	}
	return nil
}
