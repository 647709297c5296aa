package experiment

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// Comparison is the effect of a policy at a site: the mean of the paired differences in
// worth, policy minus base.
type Comparison struct {
	Policy, Site string
	Days         int
	Difference   float64
	// StandardError is the standard error of Difference. Low and High are the bounds of its
	// 95 % bootstrap interval.
	StandardError, Low, High float64
	// Broken counts the days on which a rule was broken under the policy.
	Broken int
}

// WithinSpread reports whether the difference is smaller than twice its standard error,
// or its interval contains zero.
func (c Comparison) WithinSpread() bool {
	return math.Abs(c.Difference) < 2*c.StandardError || c.Low <= 0 && c.High >= 0
}

// minPairs is the fewest days that are compared. Fewer give no estimate of the spread.
const minPairs = 3

// Compare pairs the runs of each policy with those of the base.
func Compare(runs []Run) []Comparison {
	base := make(map[Key]Run)
	for _, r := range runs {
		if r.Policy == Base {
			base[r.Key()] = r
		}
	}
	differences := make(map[[2]string][]float64)
	broken := make(map[[2]string]int)
	for _, r := range runs {
		k := r.Key()
		k.Policy = Base
		b, ok := base[k]
		if r.Policy == Base || !ok {
			continue
		}
		group := [2]string{r.Policy, r.Site}
		differences[group] = append(differences[group], r.Worth-b.Worth)
		if len(r.Broken) > 0 {
			broken[group]++
		}
	}
	var out []Comparison
	for group, d := range differences {
		if len(d) >= minPairs {
			c := compare(d)
			c.Policy, c.Site, c.Broken = group[0], group[1], broken[group]
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Comparison) int {
		return cmp.Or(cmp.Compare(a.Policy, b.Policy), cmp.Compare(a.Site, b.Site))
	})
	return out
}

const (
	// resamples is the number of bootstrap samples, confidenceLevel the fraction of them that
	// the interval contains.
	resamples       = 4000
	confidenceLevel = 0.95
)

func compare(d []float64) Comparison {
	mean, deviation := stat.MeanStdDev(d, nil)
	c := Comparison{Days: len(d), Difference: mean, StandardError: stat.StdErr(deviation, float64(len(d)))}
	random := rand.New(rand.NewPCG(uint64(len(d)), 1))
	means := make([]float64, resamples)
	sample := make([]float64, len(d))
	for i := range means {
		for j := range sample {
			sample[j] = d[random.IntN(len(d))]
		}
		means[i] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	c.Low = stat.Quantile((1-confidenceLevel)/2, stat.Empirical, means, nil)
	c.High = stat.Quantile((1+confidenceLevel)/2, stat.Empirical, means, nil)
	return c
}

// WriteTable writes comparisons as a Markdown table.
func WriteTable(w io.Writer, comparisons []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| policy\t| site\t| days\t| difference\t| standard error\t| 95 % interval\t| broken days\t| verdict\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, c := range comparisons {
		fmt.Fprintf(t, "| %s\t| %s\t| %d\t| %+.3f\t| %.3f\t| %+.3f to %+.3f\t| %d\t| %s\t|\n", c.Policy, c.siteName(), c.Days, c.Difference, c.StandardError, c.Low, c.High, c.Broken, c.verdict())
	}
	return t.Flush()
}

// siteName returns the name of the site's file without folder and extension.
func (c Comparison) siteName() string {
	base := filepath.Base(c.Site)
	return strings.TrimSuffix(base, filepath.Ext(base))
}

func (c Comparison) verdict() string {
	switch {
	case c.WithinSpread():
		return "within the spread"
	case c.Difference < 0:
		return "the mechanism helps"
	}
	return "the mechanism harms"
}
