package soak

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	// Network splits, delays, resets, ends and silences connections between VMs and replicas.
	Network Kind = "network"
	// VMs stops, kills and pauses VMs.
	VMs Kind = "vms"
	// Replicas kills, pauses and replaces replicas; a new one has the address of the old one and a new ID.
	Replicas Kind = "replicas"
	// Versions has replicas of two software versions serve at once, and replaces replicas by those of the other version.
	Versions Kind = "versions"
	// Restarts starts a replica of the other software version under the same ID, and updates its entry a little later.
	Restarts Kind = "restarts"
	// Reborn starts a killed replica again under its ID, with the same software.
	Reborn Kind = "reborn"
	// Gone kills a share of the replicas, which do not come back.
	Gone Kind = "gone"
	// Dark has replicas fall silent, and kills them later.
	Dark Kind = "dark"
	// Resets has replicas reset all their connections and serve on.
	Resets Kind = "resets"
	// StoreFaults has the store answer late, not at all or with closed connections.
	StoreFaults Kind = "store"
	// Joints has replicas that are told Last-Event-Id begin anew, with the last event again or with one left out.
	Joints Kind = "joints"
	// Empty has replicas that are told Last-Event-Id send no event though some are left.
	Empty Kind = "empty"
	// Repeats has replicas send an event twice in one answer.
	Repeats Kind = "repeats"
	// Ends has replicas end an answer inside an event in an orderly way, but for answers whose length was announced.
	Ends Kind = "ends"
	// Lengths has replicas announce a length that ends inside an event.
	Lengths Kind = "lengths"
	// Copies has replicas send an answer again on its connection, at once or before the next answer.
	Copies Kind = "copies"
	// Breaks has replicas break answers off at any byte, in an orderly way or with a reset, but for orderly ends of unframed ones.
	Breaks Kind = "breaks"
	// Truncates has replicas end unframed answers in an orderly way between two events, and serve on.
	Truncates Kind = "truncates"
	// Releases replaces a replica by one at another address, which starts first.
	Releases Kind = "releases"
	// Reuse kills a replica and gives its address to one of another service.
	Reuse Kind = "reuse"
	// Herds kills most VMs at once.
	Herds Kind = "herds"
	// Unframed has some answers end with their connection.
	Unframed Kind = "unframed"
)

// Kinds is a set of kinds of faults.
type Kinds []Kind

// AllKinds holds all kinds of faults.
var AllKinds = Kinds{Network, VMs, Replicas, Versions, Restarts, Reborn, Gone, Dark, Resets, StoreFaults, Joints, Empty, Repeats, Ends, Lengths, Copies, Breaks, Truncates, Releases, Reuse, Herds, Unframed}

// Has reports whether k is in the set.
func (k Kinds) Has(kind Kind) bool { return slices.Contains(k, kind) }

// String returns the kinds separated by commas.
func (k Kinds) String() string {
	var names []string
	for _, kind := range k {
		names = append(names, string(kind))
	}
	return strings.Join(names, ",")
}

// ParseKinds parses the text that Kinds.String returns.
func ParseKinds(text string) (Kinds, error) {
	var kinds Kinds
	for name := range strings.SplitSeq(text, ",") {
		if name == "" {
			continue
		}
		if !AllKinds.Has(Kind(name)) {
			return nil, &Error{"parse kinds", fmt.Errorf("unknown kind %q, want some of %s", name, AllKinds)}
		}
		kinds = append(kinds, Kind(name))
	}
	return kinds, nil
}

// action is what a step does to its target.
type action string

const (
	actionStop    action = "stop"    // VM: SIGTERM, and a new start after the process has ended
	actionKill    action = "kill"    // SIGKILL, and a new start after the step's duration; a replica gets a new ID
	actionPause   action = "pause"   // SIGSTOP, and SIGCONT after the step's duration
	actionReplace action = "replace" // replica: drain, SIGKILL, and a new start with a new ID
	actionUpgrade action = "upgrade" // replica: as kill, and the new process has the other software version
	actionRestart action = "restart" // replica: as upgrade, with the same ID and an entry that changes later
	actionReborn  action = "reborn"  // replica: as kill, with the same ID; the entry's sequence starts anew
	actionGone    action = "gone"    // replica: SIGKILL; the entry goes a little later
	actionDark    action = "dark"    // replica: SIGSTOP, and as kill after the step's duration
	actionResets  action = "resets"  // replica: resets all its connections
	actionRelease action = "release" // replica: a new one starts at another address, then this one drains and ends
	actionReuse   action = "reuse"   // replica: SIGKILL; one of another service starts at the address later
	actionHerd    action = "herd"    // VMs: most get SIGKILL at once, and start again after the step's duration
	actionDelay   action = "delay"   // store: late answers
	actionSilence action = "silence" // store: no answers
	actionDown    action = "down"    // store: closed connections
)

// step is one fault of a plan.
type step struct {
	at       time.Duration
	target   string
	action   action
	duration time.Duration
}

const (
	// meanPause is the mean time between two faults of one target.
	meanPause = 4 * time.Second
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 50 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// storeTarget is the target of faults of the store.
	storeTarget = "store"
	// herdTarget is the target of faults of many VMs.
	herdTarget = "herd"
)

// Plan holds the faults of a run.
type Plan struct {
	opts Options
	// unframed is whether some answers of replicas have neither a length nor chunks.
	unframed bool
	steps    []step
}

// unframedSeeds is one in how many seeds has unframed answers.
const unframedSeeds = 4

// NewPlan returns the plan that the seed and the other options determine.
func NewPlan(opts Options) Plan {
	p := Plan{opts: opts, unframed: opts.Faults.Has(Unframed) && opts.Seed%unframedSeeds == 0}
	for n := range opts.VMs {
		p.add(vmName(n), vmActions(opts.Faults))
	}
	for n := range opts.Replicas {
		p.add(replicaName(n), replicaActions(opts.Faults))
		if opts.Faults.Has(Gone) {
			p.addEnd(replicaName(n))
		}
	}
	if opts.Faults.Has(StoreFaults) {
		p.add(storeTarget, []action{actionDelay, actionDelay, actionSilence, actionDown})
	}
	if opts.Faults.Has(Herds) {
		p.add(herdTarget, []action{actionHerd})
	}
	slices.SortStableFunc(p.steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return p
}

func vmActions(faults Kinds) []action {
	if !faults.Has(VMs) {
		return nil
	}
	return []action{actionStop, actionKill, actionPause, actionPause}
}

func replicaActions(faults Kinds) []action {
	var actions []action
	if faults.Has(Replicas) {
		actions = append(actions, actionKill, actionKill, actionPause, actionPause, actionReplace)
	}
	if faults.Has(Versions) {
		actions = append(actions, actionUpgrade)
	}
	if faults.Has(Restarts) {
		actions = append(actions, actionRestart)
	}
	if faults.Has(Reborn) {
		actions = append(actions, actionReborn, actionReborn)
	}
	if faults.Has(Resets) {
		actions = append(actions, actionResets)
	}
	if faults.Has(Dark) {
		actions = append(actions, actionDark)
	}
	if faults.Has(Releases) {
		actions = append(actions, actionRelease)
	}
	if faults.Has(Reuse) {
		actions = append(actions, actionReuse)
	}
	return actions
}

// add adds faults of one target, one after the other.
func (p *Plan) add(target string, actions []action) {
	if len(actions) == 0 {
		return
	}
	rng := newRand(p.opts.Seed, target)
	pause := func() time.Duration { return time.Duration(rng.Int64N(int64(2 * meanPause))) }
	for at := pause(); at < p.opts.Duration; at += pause() {
		s := step{at: at, target: target, action: actions[rng.IntN(len(actions))], duration: randomDuration(rng, minFaultDuration, maxFaultDuration)}
		p.steps = append(p.steps, s)
		at += s.duration
	}
}

// goneShare is one in how many replicas ends for good.
const goneShare = 4

// addEnd ends some replicas for good, at any time of the run, in the place of their later faults.
func (p *Plan) addEnd(target string) {
	rng := newRand(p.opts.Seed, "end of "+target)
	at := time.Duration(rng.Int64N(int64(p.opts.Duration)))
	if rng.IntN(goneShare) > 0 {
		return
	}
	p.steps = slices.DeleteFunc(p.steps, func(s step) bool { return s.target == target && s.at > at })
	p.steps = append(p.steps, step{at: at, target: target, action: actionGone})
}

// stepsOf returns the steps of one target in order.
func (p Plan) stepsOf(target string) []step {
	return slices.DeleteFunc(slices.Clone(p.steps), func(s step) bool { return s.target != target })
}

func (p Plan) print(w io.Writer) {
	fmt.Fprintf(w, "plan of seed %d: faults %s, unframed answers %t\n", p.opts.Seed, p.opts.Faults, p.unframed)
	for _, s := range p.steps {
		fmt.Fprintf(w, "%6.2fs %-10s %-8s for %s\n", s.at.Seconds(), s.target, s.action, s.duration.Round(time.Millisecond))
	}
}

// newRand returns the random numbers of a seed for one purpose.
func newRand(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	_, _ = io.WriteString(h, purpose)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func randomDuration(rng *rand.Rand, lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(rng.Int64N(int64(highest-lowest)))
}
