// Command spoolfake runs fakes of the systems outside spoolbank, and a load
// generator, for trials and the demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/spoolbank/spoolbank/internal/fake"
	"github.com/spoolbank/spoolbank/internal/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	flags := ff.NewFlagSet("spoolfake")
	root := &ff.Command{
		Name:        "spoolfake",
		Usage:       "spoolfake engine|service|platform|load [FLAGS]",
		Flags:       flags,
		Subcommands: []*ff.Command{engineCommand(flags), serviceCommand(flags), platformCommand(flags), loadCommand(flags)},
		Exec:        func(context.Context, []string) error { return errors.New("say engine, service, platform or load") },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	if errors.Is(err, ff.ErrHelp) {
		fmt.Print(ffhelp.Command(root.GetSelected()))
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "spoolfake:", err)
		os.Exit(1)
	}
}

// serve serves HTTP until ctx is cancelled.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func engineCommand(parent *ff.FlagSet) *ff.Command {
	var o fake.EngineOptions
	var listen string
	flags := ff.NewFlagSet("engine").SetParent(parent)
	flags.StringVar(&listen, 0, "listen", "127.0.0.1:9000", "address")
	flags.StringVar(&o.Name, 0, "name", "", "name")
	flags.Float64Var(&o.Speed, 0, "speed", 0, "layers times tokens a second; 0 takes no time")
	flags.IntVar(&o.Batch, 0, "batch", 8, "positions run at a time")
	flags.IntVar(&o.Slots, 0, "slots", 24, "streams that its memory holds")
	flags.BoolVar(&o.Fence, 0, "fence", "check the fence of orders")
	flags.DurationVar(&o.LoadTime, 0, "load-time", 50*time.Millisecond, "time to load a range")
	flags.DurationVar(&o.ReportInterval, 0, "report-lag", 200*time.Millisecond, "age of load reports")
	flags.DurationVar(&o.LinkDelay, 0, "link-delay", 0, "delay of each hop")
	return &ff.Command{Name: "engine", ShortHelp: "a model engine", Flags: flags, Exec: func(ctx context.Context, _ []string) error {
		return serve(ctx, listen, fake.NewEngine(o).Handler())
	}}
}

func serviceCommand(parent *ff.FlagSet) *ff.Command {
	var o fake.ServiceOptions
	var listen string
	flags := ff.NewFlagSet("service").SetParent(parent)
	flags.StringVar(&listen, 0, "listen", "127.0.0.1:9100", "address")
	flags.StringVar(&o.Name, 0, "name", "", "name")
	flags.IntVar(&o.Slots, 0, "slots", 32, "calls at a time")
	flags.DurationVar(&o.Delay, 0, "delay", 5*time.Millisecond, "time of a call")
	flags.DurationVar(&o.Backoff, 0, "backoff", 0, "what it asks VMs to wait for where it has no room")
	flags.Float64Var(&o.Limit, 0, "limit", 0, "calls a second that it names with its answers; 0 names none. GET /calls tells the most in 4 s")
	flags.Float64Var(&o.Faults.Lose, 0, "lose", 0, "share of calls that run and whose connection is closed; they are rejected when they come again")
	flags.Float64Var(&o.Faults.Endless, 0, "endless", 0, "share of calls that get bytes without an end")
	flags.StringVar(&o.Faults.CrashPath, 0, "crash-path", "", "prefix of the paths of calls that crash the runner; empty for none")
	flags.DurationVar(&o.Faults.CrashAfter, 0, "crash-after", 0, "time from the start of such a call to the crash")
	flags.DurationVar(&o.Faults.Downtime, 0, "downtime", 3*time.Second, "how long a runner that has crashed is down")
	return &ff.Command{Name: "service", ShortHelp: "a runner of a plain service", Flags: flags, Exec: func(ctx context.Context, _ []string) error {
		return fake.NewService(o).Serve(ctx, listen)
	}}
}

func platformCommand(parent *ff.FlagSet) *ff.Command {
	var listen string
	flags := ff.NewFlagSet("platform").SetParent(parent)
	flags.StringVar(&listen, 0, "listen", "127.0.0.1:9200", "address")
	return &ff.Command{Name: "platform", ShortHelp: "the platform's list of VMs", Flags: flags, Exec: func(ctx context.Context, _ []string) error {
		return serve(ctx, listen, fake.NewPlatform().Handler())
	}}
}

// loadFlags are the flags of the load command.
type loadFlags struct {
	options       load.Options
	entries       string
	organisations int
	layers        int
}

func loadCommand(parent *ff.FlagSet) *ff.Command {
	var l loadFlags
	flags := ff.NewFlagSet("load").SetParent(parent)
	flags.StringVar(&l.entries, 0, "entries", "127.0.0.1:8001", "callers' addresses, with commas")
	flags.IntVar(&l.organisations, 0, "organisations", 10, "number of organisations, whose keys are key-0, key-1, ...")
	flags.StringVar(&l.options.Pipeline, 0, "pipeline", "digest", "pipeline")
	flags.IntVar(&l.options.Requests, 0, "requests", 500, "number of requests")
	flags.DurationVar(&l.options.Spread, 0, "spread", time.Second, "time over which they arrive")
	flags.IntVar(&l.options.MaxTokens, 0, "max-tokens", 32, "length of an answer")
	flags.DurationVar(&l.options.RetryTimeout, 0, "patience", 50*time.Second, "how long a caller goes on trying")
	flags.IntVar(&l.layers, 0, "layers", 24, "layers of the model")
	return &ff.Command{Name: "load", ShortHelp: "a burst of callers that check their answers", Flags: flags, Exec: func(ctx context.Context, _ []string) error {
		return runLoad(ctx, l)
	}}
}

func runLoad(ctx context.Context, l loadFlags) error {
	l.options.Entries = strings.Split(l.entries, ",")
	for i := range l.organisations {
		l.options.Keys = append(l.options.Keys, fmt.Sprintf("key-%d", i))
	}
	l.options.Expected = func(prompt string) string {
		text, _ := fake.Expected(prompt, l.layers, l.options.MaxTokens)
		return text
	}
	return printReport(load.Run(ctx, l.options))
}

func printReport(r load.Report) error {
	fmt.Printf("took %.2fs  tokens %d  tokens/s %.0f  resumed %d\n", r.Elapsed.Seconds(), r.Tokens, float64(r.Tokens)/r.Elapsed.Seconds(), r.Resumed)
	fmt.Printf("first token   p50 %6.1f ms  p95 %6.1f ms  max %6.1f ms\n", millis(r.FirstToken.ValueAtQuantile(50)), millis(r.FirstToken.ValueAtQuantile(95)), millis(r.FirstToken.Max()))
	fmt.Printf("between       p50 %6.1f ms  p95 %6.1f ms  max %6.1f ms\n", millis(r.TokenGap.ValueAtQuantile(50)), millis(r.TokenGap.ValueAtQuantile(95)), millis(r.TokenGap.Max()))
	for kind, count := range r.Refusals {
		fmt.Printf("refused %-24s %d\n", kind, count)
	}
	for _, f := range r.Faults {
		fmt.Println("fault:", f)
	}
	fmt.Printf("demo: asked=%d whole=%d refused=%d lost=%d doubled=%d wrong=%d\n", r.Asked, r.Completed, r.Refused, r.Lost, r.Duplicated, r.Wrong)
	if r.Lost+r.Duplicated+r.Wrong > 0 || r.Completed+r.Refused != r.Asked {
		return errors.New("answers were lost, doubled or wrong")
	}
	return nil
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
