package gateway

// maxListHistory bounds the number of changes that are remembered.
const maxListHistory = 8192

// listBatch holds the replicas that have changed within a range of the list, which ends at an offset.
type listBatch struct {
	end uint64
	ids []string
}

// listHistory remembers which replicas have changed since a position, in batches as they have become known. Where in its batch a
// replica has changed is not known, so a batch is told as a whole.
type listHistory struct {
	// complete is the position from which on all changes are remembered.
	complete listPosition
	// begun is whether there is such a position.
	begun   bool
	batches []listBatch
	// newest holds the end of the last batch in which a replica has changed, by ID.
	newest map[string]uint64
	count  int
}

func newListHistory() listHistory { return listHistory{newest: map[string]uint64{}} }

// begin forgets all: what has changed before a position is not known.
func (h *listHistory) begin(at listPosition) {
	*h = newListHistory()
	h.complete, h.begun = at, true
}

// add records the replicas that have changed before a position, since the last one.
func (h *listHistory) add(ids []string, to listPosition) {
	if len(ids) == 0 {
		return
	}
	h.batches = append(h.batches, listBatch{to.offset, ids})
	h.count += len(ids)
	for _, id := range ids {
		h.newest[id] = to.offset
	}
	for h.count > maxListHistory && len(h.batches) > 1 {
		oldest := h.batches[0]
		for _, id := range oldest.ids {
			if h.newest[id] == oldest.end {
				delete(h.newest, id)
			}
		}
		h.count -= len(oldest.ids)
		h.complete.offset, h.batches = oldest.end, h.batches[1:]
	}
}

// knows reports whether all changes from a position on are remembered.
func (h *listHistory) knows(from listPosition) bool {
	return h.begun && from.era == h.complete.era && from.offset >= h.complete.offset
}

// since returns the replicas that have changed from a position on, in whole batches up to about limit, and the position up to which
// these are all. to is the position up to which the list is known.
func (h *listHistory) since(from, to listPosition, limit int) ([]string, listPosition) {
	var ids []string
	for _, batch := range h.batches {
		if batch.end <= from.offset {
			continue
		}
		if len(ids) > 0 && len(ids)+len(batch.ids) > limit {
			return ids, from
		}
		for _, id := range batch.ids {
			if h.newest[id] == batch.end {
				ids = append(ids, id)
			}
		}
		from = listPosition{to.era, batch.end}
	}
	return ids, to
}
