// Command waxwingcart is the single binary of the system. It runs the processes of
// a deployment, the operators' command line, a load generator, and stand-ins of
// other services for tests.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/fx"

	"waxwingcart/internal/load"
	"waxwingcart/internal/process"
	"waxwingcart/internal/settings"
	"waxwingcart/internal/standin"
	"waxwingcart/platform"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailed means that the command failed.
	exitFailed = 1
	// exitRefused means that the input is invalid, or that a configuration change
	// lost against another one.
	exitRefused = 2
)

// errRefused marks errors that are reported with exitRefused.
var errRefused = errors.New("refused")

type commands struct {
	Run     runCommand     `cmd:"" help:"Run the roles that the settings name."`
	Ctl     ctlCommand     `cmd:"" help:"Operate a running deployment."`
	Check   checkCommand   `cmd:"" help:"Check process settings, fleet configurations and routing documents."`
	Dump    dumpCommand    `cmd:"" help:"Print the state of a process as JSON."`
	Load    loadCommand    `cmd:"" help:"Send open-loop traffic and print what callers saw."`
	Standin standinCommand `cmd:"" help:"Run a small model engine, app service or platform for tests."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	var cli commands
	parser, err := kong.New(&cli,
		kong.Name("waxwingcart"),
		kong.Description("Serves model and application traffic on reclaimable VMs."),
		kong.Writers(stdout, stderr),
		kong.BindTo(stdout, (*io.Writer)(nil)),
	)
	if err != nil {
		fmt.Fprintln(stderr, "waxwingcart:", err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "waxwingcart:", err)
		return exitRefused
	}
	return exitCode(parsed.Run(), stderr)
}

// exitCode prints an error, if any, and returns the exit code for it.
func exitCode(err error, stderr io.Writer) int {
	var problems settings.Problems
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &problems):
		fmt.Fprintln(stderr, problems.Error())
		return exitRefused
	case errors.Is(err, errRefused):
		fmt.Fprintln(stderr, "waxwingcart:", err)
		return exitRefused
	default:
		fmt.Fprintln(stderr, "waxwingcart:", err)
		return exitFailed
	}
}

type runCommand struct {
	Config string `required:"" help:"Process settings." placeholder:"FILE"`
}

// Run runs the process until SIGTERM or SIGINT, and then drains it. SIGHUP reloads
// the settings.
func (c *runCommand) Run() error {
	loaded, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	app := fx.New(process.Options(loaded), fx.Supply(process.Reload{Path: c.Config, Signals: reload}))
	if err := app.Err(); err != nil {
		return fmt.Errorf("set up: %w", err)
	}
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	shutdown := <-app.Wait()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	if shutdown.ExitCode != exitOK {
		return fmt.Errorf("process failed; see its log")
	}
	return nil
}

type checkCommand struct {
	Files   []string `arg:"" help:"Files to check." placeholder:"FILE"`
	Against string   `help:"An earlier routing document; lists what differs from it." placeholder:"FILE"`
}

// Run checks all files and reports every problem. Routing documents of the hosting platform are recognized by their
// members.
func (c *checkCommand) Run(stdout io.Writer) error {
	var all settings.Problems
	for _, file := range c.Files {
		kind, problems, err := c.check(file, stdout)
		if err != nil {
			return err
		}
		if len(problems) == 0 {
			fmt.Fprintf(stdout, "%s: %s, ok\n", file, kind)
		}
		all = append(all, problems...)
	}
	if len(all) > 0 {
		return all
	}
	return nil
}

func (c *checkCommand) check(file string, stdout io.Writer) (settings.Kind, settings.Problems, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return "", nil, fmt.Errorf("check: %w", err)
	}
	if !platform.IsDocument(content) {
		kind, problems := settings.CheckData(file, content)
		return kind, problems, nil
	}
	var problems settings.Problems
	for _, f := range platform.CheckDocument(content) {
		before := content[:f.Offset]
		problems = append(problems, settings.Problem{
			File: file, Line: 1 + bytes.Count(before, []byte("\n")), Column: len(before) - bytes.LastIndexByte(before, '\n'), Path: f.Path, Message: f.Message,
		})
	}
	if c.Against == "" {
		return "routing document", problems, nil
	}
	earlier, err := os.ReadFile(c.Against)
	if err != nil {
		return "", nil, fmt.Errorf("check: %w", err)
	}
	lines, err := platform.DiffDocuments(earlier, content)
	if err != nil {
		return "", nil, fmt.Errorf("check: %w", err)
	}
	for _, line := range lines {
		fmt.Fprintf(stdout, "%s: differs from %s: %s\n", file, c.Against, line)
	}
	return "routing document", problems, nil
}

type standinCommand struct {
	standin.Options
}

// Run serves the stand-in until SIGTERM or SIGINT.
func (c *standinCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return standin.Run(ctx, c.Options)
}

type loadCommand struct {
	load.Options
}

// Run sends the traffic and prints the result. It fails if a response was wrong, a
// booking was executed twice, or a request that was reported as not executed was
// executed.
func (c *loadCommand) Run(stdout io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return load.Run(ctx, c.Options, stdout)
}

type versionCommand struct{}

// Run prints the module's version and the Go version that built it.
func (c *versionCommand) Run(stdout io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary carries no build information")
	}
	fmt.Fprintf(stdout, "waxwingcart %s %s\n", info.Main.Version, info.GoVersion)
	return nil
}
