package placement

const (
	// fullChoiceVMs is the number of VMs up to which each considers all engines.
	fullChoiceVMs = 8
	// minSampledEngines is the minimum number of engines that a VM considers.
	minSampledEngines = 4
)

// SetVMCount sets the number of VMs that choose among the same engines.
func (s *Scheduler) SetVMCount(n int) { s.vmCount = n }

// Crowded reports whether there are so many VMs that each considers only a sample of the engines.
func (s *Scheduler) Crowded() bool { return s.vmCount > fullChoiceVMs }

// sample returns a random sample of engines. The loads that other VMs report are old when they arrive. If all VMs of a
// large fleet chose the engine that looks best, they would choose the same one until they hear of each other's choices,
// and overfill it. So the more VMs there are, the fewer engines each of them considers.
func (s *Scheduler) sample(engines []*replica) []*replica {
	if !s.Crowded() {
		return engines
	}
	size := min(len(engines), max(minSampledEngines, len(engines)*fullChoiceVMs/s.vmCount))
	// Each step moves one random engine of the rest to the front.
	for i := range size {
		j := i + int(s.random()*float64(len(engines)-i))
		engines[i], engines[j] = engines[j], engines[i]
	}
	return engines[:size]
}

// filter returns the engines for which keep returns true, in a new slice.
func filter(engines []*replica, keep func(*replica) bool) []*replica {
	var kept []*replica
	for _, engine := range engines {
		if keep(engine) {
			kept = append(kept, engine)
		}
	}
	return kept
}
