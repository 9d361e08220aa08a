package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"os/user"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/appliance"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/console"
	"larchrouter/internal/relay/demo"
	"larchrouter/internal/relay/platform"
)

// app is what the subcommands share.
type app struct {
	out, err     io.Writer
	stop, reload <-chan os.Signal
	json         bool
	config       string
	socket       string
}

const defaultFile = "larchrouter.hcl"

// command is the tree of subcommands.
func command(out, errs io.Writer, stop, reload <-chan os.Signal) *cobra.Command {
	a := &app{out: out, err: errs, stop: stop, reload: reload}
	root := &cobra.Command{
		Use:   "larchrouter",
		Short: "A relay that delivers outgoing messages to outside partners",
		Long: `A relay that delivers outgoing messages to outside partners.

Try it with "larchrouter demo". On a machine of your own: write a file (see deploy/appliance.hcl),
"larchrouter check FILE", "larchrouter run --config FILE", and look at it with "larchrouter console".

Exit codes: 0 well, 1 tried and failed, 2 wrong command line, 3 wrong file, 4 no relay runs there,
5 the relay says no.`,
		SilenceErrors: true, SilenceUsage: true,
	}
	root.SetOut(out)
	root.SetErr(errs)
	root.PersistentFlags().BoolVar(&a.json, "json", false, "print JSON")
	client := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVarP(&a.config, "config", "c", "", "the operator's file of the relay (default "+defaultFile+", if it is there)")
		c.Flags().StringVar(&a.socket, "socket", "", "the control socket, in place of the file's")
		c.GroupID = "ask"
		return c
	}
	root.AddGroup(&cobra.Group{ID: "relay", Title: "Running a relay:"}, &cobra.Group{ID: "ask", Title: "Asking a relay that runs:"})
	root.AddCommand(a.runCommand(), a.checkCommand(), a.demoCommand(), a.journalCommand(), a.trialCommand(), a.versionCommand(),
		client(a.consoleCommand()), client(a.statusCommand()), client(a.partnersCommand()), client(a.messagesCommand()),
		client(a.drainCommand()), client(a.undrainCommand()), client(a.stopCommand()), a.fleetCommand(client))
	return root
}

// version is that of the module, or of the commit that it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && (v == "" || v == "(devel)") {
			v = s.Value[:min(12, len(s.Value))]
		}
	}
	if v == "" {
		v = "(devel)"
	}
	return v
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		info, _ := debug.ReadBuildInfo()
		return a.print(map[string]string{"version": version(), "go": info.GoVersion}, func() {
			fmt.Fprintf(a.out, "larchrouter %s, %s\n", version(), info.GoVersion)
		})
	}}
}

// print prints a value as JSON, or as text does.
func (a *app) print(v any, text func()) error {
	if !a.json {
		text()
		return nil
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// read reads the operator's file.
func read(path string) (*config.File, error) {
	f, err := config.Read(path)
	if err != nil {
		return nil, coded{err, exitFile}
	}
	return f, nil
}

func (a *app) checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check an operator's file, and tell everything that is wrong with it", GroupID: "relay",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			type fault struct {
				File   string `json:"file"`
				Line   int    `json:"line"`
				Column int    `json:"column"`
				Text   string `json:"text"`
			}
			f, err := config.Read(args[0])
			var faults config.Faults
			if errors.As(err, &faults) && a.json {
				all := []fault{}
				for _, one := range faults {
					all = append(all, fault(one))
				}
				if err := a.print(map[string]any{"ok": false, "faults": all}, nil); err != nil {
					return err
				}
			}
			if err != nil {
				return coded{err, exitFile}
			}
			endpoints := 0
			for _, p := range f.Partners {
				endpoints += len(p.Endpoints)
			}
			return a.print(map[string]any{"ok": true, "partners": len(f.Partners), "endpoints": endpoints, "classes": len(f.Classes)}, func() {
				fmt.Fprintf(a.out, "%s is good: %s with %s, %s\n", args[0], count(len(f.Partners), "partner", "partners"),
					count(endpoints, "endpoint", "endpoints"), count(len(f.Classes), "class", "classes"))
			})
		}}
}

// count names a number of things.
func count(n int, one, more string) string {
	if n == 1 {
		return "1 " + one
	}
	return strconv.Itoa(n) + " " + more
}

func (a *app) runCommand() *cobra.Command {
	var path string
	c := &cobra.Command{Use: "run --config FILE", Short: "Run a relay as an operator's file says, without a platform", GroupID: "relay",
		Long: `Run a relay as an operator's file says, without a platform. It stays in the foreground and logs to
standard error. SIGTERM and SIGINT stop it in order; SIGHUP reads the file again and takes in its partners.`,
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			f, err := read(path)
			if err != nil {
				return err
			}
			tail := adminapi.NewTail(slog.NewTextHandler(a.err, nil))
			slog.SetDefault(slog.New(tail))
			platform.Limit(float64(f.Limits.Cores), f.Limits.MemoryMB)
			relay, err := appliance.Start(f, version(), tail)
			if err != nil {
				return coded{fmt.Errorf("cannot start: %w", err), exitFailed}
			}
			slog.Info("serving", "addr", relay.Addr(), "state", f.State, "control", relay.Socket())
			for {
				select {
				case <-relay.Done():
					slog.Info("stopped")
					return nil
				case s := <-a.stop:
					go relay.Stop(s.String())
				case <-a.reload:
					again, err := config.Read(path)
					if err != nil {
						slog.Error("file not taken in, what runs stays", "err", err)
						continue
					}
					restart := relay.Reload(again)
					slog.Info("file read again", "partners", len(again.Partners), "needs_restart", restart)
				}
			}
		}}
	c.Flags().StringVarP(&path, "config", "c", defaultFile, "the operator's file")
	return c
}

func (a *app) demoCommand() *cobra.Command {
	var o demo.Options
	var noConsole bool
	c := &cobra.Command{Use: "demo", Short: "Run a relay among stand-in partners on loopback, with nothing to configure", GroupID: "relay",
		Long: `Run a relay among stand-in partners on loopback, with nothing to configure. Some 50 messages a second of
three classes pass, while partners refuse, stall, go down and come back in turn. The console shows it.

With --no-console a line a second tells the progress, and the last line the result. It ends with 1 if a
payment took effect twice, or what the relay says contradicts what the partners saw.`,
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithCancel(cmd.Context())
			defer cancel()
			go a.endOnSignal(ctx, cancel)
			o.Out, o.JSON = a.out, a.json
			if !noConsole {
				if err := onTerminal("add --no-console"); err != nil {
					return err
				}
				o.Console = func(ctx context.Context, c *adminapi.Client) error { return console.Run(ctx, c, console.Options{}) }
			}
			if err := demo.Run(ctx, o); err != nil {
				return coded{err, exitFailed}
			}
			return nil
		}}
	c.Flags().BoolVar(&noConsole, "no-console", false, "print a line of progress a second in place of the console")
	c.Flags().DurationVar(&o.For, "for", 0, "end after so long (default 30s with --no-console, else with the console)")
	c.Flags().Float64Var(&o.Rate, "rate", 50, "messages a second, from 1 to 5000")
	c.Flags().Uint64Var(&o.Seed, "seed", 0, "for what is drawn; 0 draws one")
	return c
}

// trialCommand hands over to larchrouter-trial, which stands beside this program: what draws the plots of a trial has no
// place in a relay's process.
func (a *app) trialCommand() *cobra.Command {
	return &cobra.Command{Use: "trial list|show|check|run ...", Short: "Play scenarios of load and faults with several real relays", GroupID: "relay",
		DisableFlagParsing: true, RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return coded{err, exitFailed}
			}
			path := filepath.Join(filepath.Dir(self), "larchrouter-trial")
			if err := syscall.Exec(path, append([]string{"larchrouter trial"}, args...), os.Environ()); errors.Is(err, fs.ErrNotExist) {
				return coded{fmt.Errorf("%s is not there: build it with go build -o %s ./cmd/larchrouter-trial", path, filepath.Dir(self)), exitFailed}
			} else {
				return coded{fmt.Errorf("%s: %w", path, err), exitFailed}
			}
		}}
}

// endOnSignal ends what runs on a terminal: by a signal, or when the terminal goes away, which is SIGHUP.
func (a *app) endOnSignal(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-a.stop:
	case <-a.reload:
	case <-ctx.Done():
	}
	cancel()
}

// dial finds the relay that a client command is about.
func (a *app) dial() (*adminapi.Client, error) {
	if a.socket != "" {
		return adminapi.Dial(a.socket), nil
	}
	path := a.config
	if path == "" {
		if _, err := os.Stat(defaultFile); err != nil {
			return nil, coded{fmt.Errorf("which relay? Give --config FILE or --socket PATH (there is no %s here)", defaultFile), exitUsage}
		}
		path = defaultFile
	}
	f, err := read(path)
	if err != nil {
		return nil, err
	}
	if !f.Control.Enabled {
		return nil, coded{fmt.Errorf("%s: the control socket is off", path), exitNoRelay}
	}
	return adminapi.Dial(f.Control.Socket), nil
}

const patience = 10 * time.Second // for an answer of the relay

// with calls the relay, and codes its errors.
func (a *app) with(ctx context.Context, f func(context.Context, *adminapi.Client) error) error {
	c, err := a.dial()
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return code(f(ctx, c))
}

func code(err error) error {
	var e *adminapi.Error
	var done coded
	switch {
	case err == nil || errors.As(err, &done):
		return err
	case errors.Is(err, adminapi.ErrNoRelay):
		return coded{err, exitNoRelay}
	case errors.As(err, &e) && (e.Code == adminapi.NotFound || e.Code == adminapi.Conflict || e.Code == adminapi.Invalid):
		return coded{err, exitRefused}
	}
	return coded{err, exitFailed}
}

// who names the operator in records.
func who() string {
	name := "someone"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	return name + " with " + filepath.Base(os.Args[0])
}
