package fleet

import (
	"slices"
	"time"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/quota"
	"github.com/cassiabridge/cassiabridge/resumption"
)

// maxUnreachableReports bounds the count of VMs that report a replica as unreachable: two are enough to avoid it.
const maxUnreachableReports = 2

// Summarize returns the state of several VMs or groups as if they were one VM: loads add up, of positions and versions the
// newest counts, and of ages the lowest. Spent tokens, levels, suspected parts of prompts, members and what names the sender are
// left to the caller.
func Summarize(states []peer.Beacon) peer.Beacon {
	s := peer.Beacon{ReplicaLoads: map[string]placement.Load{}, QueuedTokens: map[string]int{}, ServiceCalls: map[placement.CallClass]int{}, UnreachableReports: map[string]int{},
		ReplicaLimits: map[string]quota.LimitReport{}, ColdReplicas: map[string]time.Duration{}, ServiceLoads: map[string]placement.ServiceLoad{}, Streams: resumption.Page{Streams: resumption.Report{}}, ListAge: -time.Millisecond, CheckAge: -time.Millisecond}
	for _, b := range states {
		s.Version = max(s.Version, b.Version)
		addLoads(s, b)
		addReplicaHints(s, b)
		s.ReplacedReplicas = append(s.ReplacedReplicas, b.ReplacedReplicas...)
		s.TrialParts = append(s.TrialParts, b.TrialParts...)
		s.ListAge, s.CheckAge = lowestAge(s.ListAge, b.ListAge), lowestAge(s.CheckAge, b.CheckAge)
		addListPosition(&s, b)
		for origin, names := range b.Streams.Streams {
			s.Streams.Streams[origin] = append(s.Streams.Streams[origin], names...)
		}
		s.EvacuationsEra, s.EvacuationsOffset = latest(s.EvacuationsEra, s.EvacuationsOffset, b.EvacuationsEra, b.EvacuationsOffset)
	}
	s.ReplacedReplicas, s.TrialParts = sortedUnique(s.ReplacedReplicas), sortedUnique(s.TrialParts)
	return s
}

func addLoads(s, b peer.Beacon) {
	for id, load := range b.ReplicaLoads {
		total := s.ReplicaLoads[id]
		s.ReplicaLoads[id] = placement.Load{Requests: total.Requests + load.Requests, Tokens: total.Tokens + load.Tokens}
	}
	for class, count := range b.ServiceCalls {
		s.ServiceCalls[class] += count
	}
	for pool, tokens := range b.QueuedTokens {
		s.QueuedTokens[pool] += tokens
	}
}

func addReplicaHints(s, b peer.Beacon) {
	for _, id := range b.UnreachableReplicas {
		s.UnreachableReports[id] = min(s.UnreachableReports[id]+1, maxUnreachableReports)
	}
	for id, count := range b.UnreachableReports {
		s.UnreachableReports[id] = min(s.UnreachableReports[id]+count, maxUnreachableReports)
	}
	for id, report := range b.ReplicaLimits {
		if known, found := s.ReplicaLimits[id]; !found || report.Age < known.Age {
			s.ReplicaLimits[id] = report
		}
	}
	for id, load := range b.ServiceLoads {
		if load.At.After(s.ServiceLoads[id].At) {
			s.ServiceLoads[id] = load
		}
	}
	for id, remaining := range b.ColdReplicas {
		s.ColdReplicas[id] = max(s.ColdReplicas[id], remaining)
	}
}

// addListPosition adds up to where a VM knows the list of replicas. What it lists then belongs to the furthest position.
func addListPosition(s *peer.Beacon, b peer.Beacon) {
	if b.ListEra < s.ListEra {
		return
	}
	if b.ListEra > s.ListEra {
		s.ListEra, s.ListOffset, s.ListNext, s.ListDigest = b.ListEra, 0, 0, 0
	}
	s.ListOffset = max(s.ListOffset, b.ListOffset)
	if b.ListNext > s.ListNext {
		s.ListNext, s.ListDigest = b.ListNext, b.ListDigest
	}
}

// lowestAge returns the lower of two ages, of which negative ones mean never.
func lowestAge(a, b time.Duration) time.Duration {
	if a < 0 || b >= 0 && b < a {
		return b
	}
	return a
}

// latest returns the later of two positions.
func latest(eraA, offsetA, eraB, offsetB uint64) (era, offset uint64) {
	if eraB > eraA || eraB == eraA && offsetB > offsetA {
		return eraB, offsetB
	}
	return eraA, offsetA
}

func sortedUnique(ids []string) []string {
	slices.Sort(ids)
	return slices.Compact(ids)
}
