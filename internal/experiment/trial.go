package experiment

// Trial is one run that is to be made.
type Trial struct {
	Policy, Site, Day string
	Seed              uint64
}

// Key returns the Key of the run that a trial makes.
func (t Trial) Key() Key { return Key(t) }

// Base is the policy that all others are compared with: nothing is switched.
const Base = ""

// Trials returns the runs of all days of all sites under all policies that a store lacks,
// the base first: day by day, so that what has been played when the time is over can be
// compared.
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
