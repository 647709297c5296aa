package clock

import "time"

// minStep is the least step of the time of day that is noticed: the two clocks are read at once, and
// slewing moves both.
const minStep = 50 * time.Millisecond

// StepMeter notices that the time of day of this VM was set. Create it with NewStepMeter.
type StepMeter struct {
	began time.Time
	// offset is how far the time of day had been set when it was last checked.
	offset time.Duration
}

// NewStepMeter returns a StepMeter that measures from now, a time of the runtime's clock.
func NewStepMeter(now time.Time) *StepMeter { return &StepMeter{began: now} }

// Check returns by how much the time of day was set since the last check, 0 if it was not.
func (m *StepMeter) Check(now time.Time) time.Duration {
	offset := now.Round(0).Sub(m.began.Round(0)) - now.Sub(m.began)
	step := offset - m.offset
	if step.Abs() < minStep {
		return 0
	}
	m.offset = offset
	return step
}
