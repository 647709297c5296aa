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

// trialRunner holds the flags of the run command and the progress of its trials.
type trialRunner struct {
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
	// mu guards store and finished, and the creation of copies.
	mu       sync.Mutex
	finished int
}

// runCommand runs the trials that the results file does not have yet.
func runCommand(stdout io.Writer) *ff.Command {
	r := &trialRunner{stdout: stdout}
	flags := ff.NewFlagSet("run")
	flags.StringVar(&r.program, 0, "bench", "", "path of the users' bench")
	flags.StringVar(&r.tree, 0, "tree", ".", "repository to play")
	flags.StringVar(&r.work, 0, "work", "", "folder for a copy of the repository for each policy; it is kept")
	flags.StringVar(&r.results, 0, "results", "results.jsonl", "file of runs, which is gone on with")
	flags.StringListVar(&r.sites, 0, "site", "site file; may be repeated")
	flags.StringListVar(&r.days, 0, "day", "name of a day; may be repeated")
	flags.StringListVar(&r.seeds, 0, "seed", "seed of the days, 0 for their own; may be repeated")
	flags.StringListVar(&r.policies, 0, "policy", "policy to compare with the default, as NAME=off[,NAME=off]; may be repeated")
	flags.IntVar(&r.jobs, 0, "jobs", 1, "days that are played at the same time")
	return &ff.Command{
		Name:      "run",
		Usage:     "spoolbench run --bench PROGRAM --work FOLDER --site FILE --day NAME [--seed N] [--policy NAME=off] [--jobs N]",
		ShortHelp: "play days under policies",
		Flags:     flags,
		Exec:      func(ctx context.Context, _ []string) error { return r.run(ctx) },
	}
}

// check validates the flags and returns the seeds. Its error joins all faults.
func (r *trialRunner) check() ([]uint64, error) {
	var faults []error
	require := func(ok bool, text string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%w: %s", errUsage, text))
		}
	}
	require(r.program != "", "name the bench with --bench")
	require(r.work != "", "name a folder for copies with --work")
	require(len(r.sites) > 0 && len(r.days) > 0, "name at least one --site and one --day")
	require(r.jobs > 0, "--jobs is at least 1")
	for _, policy := range r.policies {
		_, err := settings.ParsePolicy(policy)
		require(err == nil, fmt.Sprint(err))
	}
	seeds := []uint64{0}
	if len(r.seeds) > 0 {
		seeds = nil
	}
	for _, text := range r.seeds {
		seed, err := strconv.ParseUint(text, 10, 64)
		require(err == nil, fmt.Sprintf("--seed %q is no number", text))
		seeds = append(seeds, seed)
	}
	return seeds, errors.Join(faults...)
}

func (r *trialRunner) run(ctx context.Context) error {
	seeds, err := r.check()
	if err != nil {
		return err
	}
	tree, err := git(ctx, r.tree, "rev-parse", "HEAD")
	if err != nil {
		return err
	}
	if r.store, err = experiment.Open(r.results, tree); err != nil {
		return err
	}
	trials := experiment.Trials(r.policies, r.sites, r.days, seeds, r.store)
	fmt.Fprintf(r.stdout, "%d days to play, %d at a time\n", len(trials), r.jobs)
	queue := make(chan experiment.Trial, len(trials))
	for _, t := range trials {
		queue <- t
	}
	close(queue)
	return r.runAll(ctx, queue, len(trials))
}

// runAll runs the queued trials with r.jobs workers, until the first error.
func (r *trialRunner) runAll(ctx context.Context, queue <-chan experiment.Trial, count int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	failed := make(chan error, r.jobs)
	for range r.jobs {
		go func() {
			for t := range queue {
				if err := r.runTrial(ctx, t, began, count); err != nil {
					cancel()
					failed <- err
					return
				}
			}
			failed <- nil
		}()
	}
	var errs []error
	for range r.jobs {
		errs = append(errs, <-failed)
	}
	return errors.Join(errs...)
}

// runTrial runs one trial and adds its result to the store.
func (r *trialRunner) runTrial(ctx context.Context, t experiment.Trial, began time.Time, count int) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	b, err := r.benchFor(ctx, t.Policy)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("trial of %s, %s %s:%d", policyName(t.Policy), filepath.Base(t.Site), t.Day, t.Seed)
	day, err := b.Run(ctx, t.Site, t.Day, t.Seed, note)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished++
	left := time.Duration(float64(time.Since(began)) / float64(r.finished) * float64(count-r.finished))
	fmt.Fprintf(r.stdout, "%d of %d, %s left: %s worth %.3f, broken %v\n", r.finished, count, left.Round(time.Second), note, day.Worth, day.Broken)
	return r.store.Add(experiment.Run{
		Policy: t.Policy, Site: t.Site, Day: t.Day, Seed: t.Seed, Journal: day.Journal,
		Worth: day.Worth, Refused: day.Refused, Failed: day.Failed, Prices: day.Prices, Broken: day.Broken,
	})
}

// policyName returns the name of a policy, "base" for the empty one.
func policyName(policy string) string {
	if policy == experiment.Base {
		return "base"
	}
	return policy
}

// benchFor returns a bench for a copy of the tree whose processes run under the policy. The
// copy is made and built once per policy.
func (r *trialRunner) benchFor(ctx context.Context, policy string) (bench.Bench, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	folder, err := filepath.Abs(filepath.Join(r.work, strings.NewReplacer("=", "-", ",", "-").Replace(policyName(policy))))
	if err != nil {
		return bench.Bench{}, err
	}
	program, err := filepath.Abs(r.program)
	if err != nil {
		return bench.Bench{}, err
	}
	b := bench.Bench{Program: program, Tree: folder}
	if _, err := os.Stat(folder); err == nil {
		return b, nil
	}
	if _, err := git(ctx, ".", "clone", "--quiet", r.tree, folder); err != nil {
		return b, err
	}
	if err := setPolicy(filepath.Join(folder, "deploy", "system.toml"), policy); err != nil {
		return b, err
	}
	return b, b.Build(ctx)
}

// platformFlag ends the command of each process in the deploy file.
const platformFlag = " --platform"

// setPolicy adds the policy flag to each process command in a deploy file.
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
