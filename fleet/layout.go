// Package fleet divides the VMs of a fleet into groups, and sums up the state of several VMs.
//
// If every VM sends its state to every other one, the messages grow with the square of their number, and most of them
// cross the links between regions. So the VMs of an availability zone form groups. Within a group each VM sends its beacons to
// all others. One VM of a group sends summaries of it to each other group, to the VMs there by turns, and whoever receives one
// passes it on to its group. Another VM may send them to another group, so that all carry about as much.
//
// The package performs no I/O and does not know the time.
package fleet

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// maxGroupSize is the number of VMs of an availability zone from which on they form more than one group.
const maxGroupSize = 16

// Layout assigns VMs to groups. It is immutable.
type Layout struct {
	// groupOf holds the group of each VM.
	groupOf map[string]string
}

// NewLayout returns the layout of VMs, given the availability zone of each.
func NewLayout(zoneOf map[string]string) Layout {
	l := Layout{groupOf: make(map[string]string, len(zoneOf))}
	partsOf := map[string]uint64{}
	sizes := map[string]int{}
	for _, zone := range zoneOf {
		sizes[zone]++
	}
	for zone, size := range sizes {
		// Powers of two move at most half of the VMs of a zone to another group when the zone grows.
		parts := uint64(1)
		for uint64(size) > parts*maxGroupSize {
			parts *= 2
		}
		partsOf[zone] = parts
	}
	for vm, zone := range zoneOf {
		l.groupOf[vm] = fmt.Sprintf("%s/%d", zone, xxhash.Sum64String(vm)%partsOf[zone])
	}
	return l
}

// GroupOf returns the group of a VM, or "" if the VM is not known.
func (l Layout) GroupOf(vm string) string { return l.groupOf[vm] }

// Groups returns the VMs of each group, sorted by name.
func (l Layout) Groups() map[string][]string {
	groups := map[string][]string{}
	for vm, group := range l.groupOf {
		groups[group] = append(groups[group], vm)
	}
	for _, vms := range groups {
		slices.Sort(vms)
	}
	return groups
}

// SenderTo returns which of several VMs of a group sends its summaries to another group. The groups are divided evenly, and if a
// VM goes, only those that it sent to are given to others.
func SenderTo(group string, vms []string) string {
	return rendezvous.New(vms, xxhash.Sum64String).Lookup(group)
}

// FirstTurn returns the turn of the VMs of the group to with which summaries of the group from begin.
func FirstTurn(from, to string) uint64 { return xxhash.Sum64String(from + " " + to) }
