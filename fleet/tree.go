package fleet

import "slices"

// TreeFanOut is the number of VMs below each VM of a tree.
const TreeFanOut = 4

// Parent returns the VM above another one in a tree that holds VMs level by level, or an empty string if it is the first or not in
// the tree.
func Parent(tree []string, vm string) string {
	index := slices.Index(tree, vm)
	if index <= 0 {
		return ""
	}
	return tree[(index-1)/TreeFanOut]
}

// Children returns the VMs below another one in a tree that holds VMs level by level. No VM's link then carries news for many
// others.
func Children(tree []string, vm string) []string {
	index := slices.Index(tree, vm)
	if index < 0 {
		return nil
	}
	from := min(TreeFanOut*index+1, len(tree))
	return tree[from:min(from+TreeFanOut, len(tree))]
}

// WithRoot returns a tree in which a VM comes first, and the others in the order that they had.
func WithRoot(tree []string, root string) []string {
	rooted := []string{root}
	for _, vm := range tree {
		if vm != root {
			rooted = append(rooted, vm)
		}
	}
	return rooted
}
