// Package placer owns the index that finds workers with room for a task
// without examining each worker.
//
// Scan visits every worker in the index that has room, in order. The cost of a
// search grows with the number of visited workers and the depth of the index,
// not with the size of the fleet. Package placer does not handle jobs and
// accounts: package planner selects among the visited workers.
package placer

import "github.com/dotterelrill/dotterelrill/modeller"

// Index is a binary tree over positions, numbered from zero. Each node holds the
// component-wise maximum of the free resources at the positions below it.
type Index struct {
	// leaves is a power of two; the node of position p is leaves+p.
	leaves int
	nodes  []modeller.Resources
}

// excluded is the value of a position that no size fits: it is smaller than any
// size in every component.
var excluded = modeller.Resources{MilliProcessors: -1, MemoryMiB: -1, Accelerators: -1}

// New returns an index with the number of positions, all of them excluded.
func New(positions int) *Index {
	leaves := 1
	for leaves < positions {
		leaves *= 2
	}
	index := &Index{leaves: leaves, nodes: make([]modeller.Resources, 2*leaves)}
	for node := range index.nodes {
		index.nodes[node] = excluded
	}
	return index
}

// SetFree sets the free resources at a position.
func (index *Index) SetFree(position int, free modeller.Resources) {
	index.set(position, free)
}

// Exclude hides a position from searches until the next SetFree.
func (index *Index) Exclude(position int) {
	index.set(position, excluded)
}

func (index *Index) set(position int, free modeller.Resources) {
	node := index.leaves + position
	index.nodes[node] = free
	for node > 1 {
		node /= 2
		largest := componentMax(index.nodes[2*node], index.nodes[2*node+1])
		if index.nodes[node] == largest {
			return
		}
		index.nodes[node] = largest
	}
}

func componentMax(left, right modeller.Resources) modeller.Resources {
	return modeller.Resources{
		MilliProcessors: max(left.MilliProcessors, right.MilliProcessors),
		MemoryMiB:       max(left.MemoryMiB, right.MemoryMiB),
		Accelerators:    max(left.Accelerators, right.Accelerators),
	}
}

// Scan visits the positions where the size fits, first from start to the last
// position and then from zero up to start, until visit returns false.
func (index *Index) Scan(size modeller.Resources, start int, visit func(position int) bool) {
	search := search{index: index, size: size, visit: visit}
	if search.walk(1, 0, index.leaves, start, index.leaves) {
		search.walk(1, 0, index.leaves, 0, start)
	}
}

type search struct {
	index *Index
	size  modeller.Resources
	visit func(position int) bool
}

// walk visits the matching positions in the range [from, end) below a node that
// covers the count positions starting with first. It returns false as soon as
// visit does.
func (search *search) walk(node, first, count, from, end int) bool {
	if first+count <= from || first >= end || !search.size.Fits(search.index.nodes[node]) {
		return true
	}
	if count == 1 {
		return search.visit(first)
	}
	half := count / 2
	return search.walk(2*node, first, half, from, end) &&
		search.walk(2*node+1, first+half, half, from, end)
}
