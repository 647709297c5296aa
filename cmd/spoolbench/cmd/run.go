package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/spoolbank/spoolbank/internal/experiment"
	"github.com/spoolbank/spoolbank/platform/bench"
	"github.com/spoolbank/spoolbank/settings"
)

// playing is what the run command was asked for.
type playing struct {
	stdout   io.Writer
	program  string
	tree     string
	work     string
	results  string
	sites    []string
	days     []string
	seeds    []string
	policies []string
	jobs     int
	store    *experiment.Store
	// mu guards store and played.
	mu     sync.Mutex
	played int
}

// runCommand plays the days that a file of results lacks.
func runCommand(stdout io.Writer) *ff.Command {
	p := &playing{stdout: stdout}
	flags := ff.NewFlagSet("run")
	flags.StringVar(&p.program, 0, "bench", "", "path of the users' bench")
	flags.StringVar(&p.tree, 0, "tree", ".", "repository to play")
	flags.StringVar(&p.work, 0, "work", "", "folder for a copy of the repository for each policy; it is kept")
	flags.StringVar(&p.results, 0, "results", "results.jsonl", "file of runs, which is gone on with")
	flags.StringListVar(&p.sites, 0, "site", "site file; may be repeated")
	flags.StringListVar(&p.days, 0, "day", "name of a day; may be repeated")
	flags.StringListVar(&p.seeds, 0, "seed", "seed of the days, 0 for their own; may be repeated")
	flags.StringListVar(&p.policies, 0, "policy", "policy to compare with the default, as NAME=off[,NAME=off]; may be repeated")
	flags.IntVar(&p.jobs, 0, "jobs", 1, "days that are played at the same time")
	return &ff.Command{
		Name:      "run",
		Usage:     "spoolbench run --bench PROGRAM --work FOLDER --site FILE --day NAME [--seed N] [--policy NAME=off] [--jobs N]",
		ShortHelp: "play days under policies",
		Flags:     flags,
		Exec:      func(ctx context.Context, _ []string) error { return p.run(ctx) },
	}
}

// check returns all that is wrong with the command line, and the seeds.
func (p *playing) check() ([]uint64, error) {
	var faults []error
	require := func(ok bool, text string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%w: %s", errUsage, text))
		}
	}
	require(p.program != "", "name the bench with --bench")
	require(p.work != "", "name a folder for copies with --work")
	require(len(p.sites) > 0 && len(p.days) > 0, "name at least one --site and one --day")
	require(p.jobs > 0, "--jobs is at least 1")
	for _, policy := range p.policies {
		_, err := settings.ParsePolicy(policy)
		require(err == nil, fmt.Sprint(err))
	}
	seeds := []uint64{0}
	if len(p.seeds) > 0 {
		seeds = nil
	}
	for _, text := range p.seeds {
		seed, err := strconv.ParseUint(text, 10, 64)
		require(err == nil, fmt.Sprintf("--seed %q is no number", text))
		seeds = append(seeds, seed)
	}
	return seeds, errors.Join(faults...)
}

func (p *playing) run(ctx context.Context) error {
	seeds, err := p.check()
	if err != nil {
		return err
	}
	tree, err := git(ctx, p.tree, "rev-parse", "HEAD")
	if err != nil {
		return err
	}
	if p.store, err = experiment.Open(p.results, tree); err != nil {
		return err
	}
	trials := experiment.Trials(p.policies, p.sites, p.days, seeds, p.store)
	fmt.Fprintf(p.stdout, "%d days to play, %d at a time\n", len(trials), p.jobs)
	queue := make(chan experiment.Trial, len(trials))
	for _, t := range trials {
		queue <- t
	}
	close(queue)
	return p.playAll(ctx, queue, len(trials))
}

// playAll plays what is queued with so many workers, until the first error.
func (p *playing) playAll(ctx context.Context, queue <-chan experiment.Trial, count int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	failed := make(chan error, p.jobs)
	for range p.jobs {
		go func() {
			for t := range queue {
				if err := p.play(ctx, t, began, count); err != nil {
					cancel()
					failed <- err
					return
				}
			}
			failed <- nil
		}()
	}
	var errs []error
	for range p.jobs {
		errs = append(errs, <-failed)
	}
	return errors.Join(errs...)
}

// play plays one day and keeps what came of it.
func (p *playing) play(ctx context.Context, t experiment.Trial, began time.Time, count int) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	b, err := p.variant(ctx, t.Policy)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("trial of %s, %s %s:%d", nameOf(t.Policy), filepath.Base(t.Site), t.Day, t.Seed)
	day, err := b.Run(ctx, t.Site, t.Day, t.Seed, note)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.played++
	left := time.Duration(float64(time.Since(began)) / float64(p.played) * float64(count-p.played))
	fmt.Fprintf(p.stdout, "%d of %d, %s left: %s worth %.3f, broken %v\n", p.played, count, left.Round(time.Second), note, day.Worth, day.Broken)
	return p.store.Add(experiment.Run{
		Policy: t.Policy, Site: t.Site, Day: t.Day, Seed: t.Seed, Journal: day.Journal,
		Worth: day.Worth, Refused: day.Refused, Failed: day.Failed, Prices: day.Prices, Broken: day.Broken,
	})
}

// nameOf names a policy, the base too.
func nameOf(policy string) string {
	if policy == experiment.Base {
		return "base"
	}
	return policy
}

// variant returns the bench with a copy of the tree whose processes run under a policy.
func (p *playing) variant(ctx context.Context, policy string) (bench.Bench, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	folder, err := filepath.Abs(filepath.Join(p.work, strings.NewReplacer("=", "-", ",", "-").Replace(nameOf(policy))))
	if err != nil {
		return bench.Bench{}, err
	}
	program, err := filepath.Abs(p.program)
	if err != nil {
		return bench.Bench{}, err
	}
	b := bench.Bench{Program: program, Tree: folder}
	if _, err := os.Stat(folder); err == nil {
		return b, nil
	}
	if _, err := git(ctx, ".", "clone", "--quiet", p.tree, folder); err != nil {
		return b, err
	}
	if err := setPolicy(filepath.Join(folder, "deploy", "system.toml"), policy); err != nil {
		return b, err
	}
	return b, b.Build(ctx)
}

// platformFlag is what the deploy file starts each process with.
const platformFlag = " --platform"

// setPolicy has the processes of a deploy file run under a policy.
func setPolicy(path, policy string) error {
	text, err := os.ReadFile(path)
	if err != nil || policy == experiment.Base {
		return err
	}
	return os.WriteFile(path, []byte(strings.ReplaceAll(string(text), platformFlag+`"`, platformFlag+" --policy "+policy+`"`)), 0o644)
}

func git(ctx context.Context, folder string, args ...string) (string, error) {
	command := exec.CommandContext(ctx, "git", args...)
	command.Dir = folder
	output, err := command.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("git %s: %w: %s", args[0], err, output)
	}
	return strings.TrimSpace(string(output)), nil
}
