package fleet

import "maps"

// SpendMeter adds up the tokens that several processes report as spent since their starts, by account. Processes may come and
// go: the total never falls because of that. It is not safe for concurrent use.
type SpendMeter struct {
	total map[string]float64
	// reported holds what each process run has reported last.
	reported map[string]map[string]float64
}

// NewSpendMeter returns a SpendMeter with a total of nothing.
func NewSpendMeter() *SpendMeter {
	return &SpendMeter{total: map[string]float64{}, reported: map[string]map[string]float64{}}
}

// SetBaseline records what a run had spent before it was first heard. It does not count.
func (m *SpendMeter) SetBaseline(run string, spent map[string]float64) { m.reported[run] = spent }

// Record adds what a run has spent since its last report, or since its start.
func (m *SpendMeter) Record(run string, spent map[string]float64) {
	before := m.reported[run]
	for account, tokens := range spent {
		m.total[account] += tokens - before[account]
	}
	for account, tokens := range before {
		if _, still := spent[account]; !still {
			m.total[account] -= tokens
		}
	}
	m.reported[run] = spent
}

// Forget drops a run that reports no more. What it has spent still counts.
func (m *SpendMeter) Forget(run string) { delete(m.reported, run) }

// Total returns the tokens spent by all runs, by account.
func (m *SpendMeter) Total() map[string]float64 { return maps.Clone(m.total) }
