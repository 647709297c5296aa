package experiment

// Trial is a run that has yet to be made.
type Trial struct {
	Policy, Site, Day string
	Seed              uint64
}

// Key returns the Key of the run that the trial produces.
func (t Trial) Key() Key { return Key(t) }

// Base is the policy that all others are compared with. It switches nothing.
const Base = ""

// Trials returns the runs of all days at all sites under all policies that a store lacks.
// Those of the base come first and each policy goes day by day, so that the runs completed
// before an interruption can be compared.
func Trials(policies, sites, days []string, seeds []uint64, s *Store) []Trial {
	var trials []Trial
	for _, policy := range append([]string{Base}, policies...) {
		for _, site := range sites {
			for _, day := range days {
				for _, seed := range seeds {
					t := Trial{Policy: policy, Site: site, Day: day, Seed: seed}
					if !s.Has(t.Key()) {
						trials = append(trials, t)
					}
				}
			}
		}
	}
	return trials
}
