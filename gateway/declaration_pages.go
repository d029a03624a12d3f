package gateway

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// declarationsPageBytes is the size of the data of a page: a datagram holds it in base64. Longer declarations than
	// maxDeclarationsPages hold are not passed on, since the queues of links drop them.
	declarationsPageBytes = 32 << 10
	maxDeclarationsPages  = 16
	// maxDeclarationsBytes bounds the size of declarations after decompression.
	maxDeclarationsBytes = 16 << 20
)

// declarationsContent is what VMs tell each other of the operators' records. It is encoded as compressed JSON.
type declarationsContent struct {
	Declarations routing.Declarations
	// Evacuated holds the evacuated availability zones.
	Evacuated []string
}

// declarationPages holds the pages of the declarations in force, and those that are being received.
type declarationPages struct {
	current []*peer.DeclarationsPage
	// received holds pages by sender.
	received map[string][]*peer.DeclarationsPage
}

// add adds a page to those of a sender, and returns those that belong together.
func (p *declarationPages) add(sender string, page *peer.DeclarationsPage) []*peer.DeclarationsPage {
	if p.received == nil {
		p.received = map[string][]*peer.DeclarationsPage{}
	}
	pages := p.received[sender]
	if len(pages) > 0 && !pages[0].SameContent(page) {
		pages = nil
	}
	if !slices.ContainsFunc(pages, func(other *peer.DeclarationsPage) bool { return other.Page == page.Page }) {
		pages = append(pages, page)
	}
	p.received[sender] = pages
	return pages
}

// keep keeps the pages of the declarations in force, so that they can be passed on as they are.
func (p *declarationPages) keep(pages []*peer.DeclarationsPage) {
	p.current = pages
	clear(p.received)
}

// encodedDeclarations returns the pages of the declarations in force.
func (c *Controller) encodedDeclarations() ([]*peer.DeclarationsPage, error) {
	table, next := c.table.Load(), c.zones.next
	if table == nil {
		return nil, errors.New("this VM has none yet")
	}
	if kept := c.declarations.pages.current; len(kept) > 0 && kept[0].Version == table.Version && kept[0].Era == next.era && kept[0].Next == next.offset {
		return kept, nil
	}
	content := declarationsContent{Declarations: table.Declarations, Evacuated: slices.Sorted(maps.Keys(c.zones.evacuated))}
	data, err := encodeDeclarations(content)
	if err != nil {
		return nil, err
	}
	first := peer.DeclarationsPage{Version: table.Version, Era: next.era, Next: next.offset, Origin: c.self.VM, Sum: sumOf(data)}
	pages, err := splitPages(first, data)
	if err != nil {
		return nil, err
	}
	c.declarations.pages.keep(pages)
	return pages, nil
}

func encodeDeclarations(content declarationsContent) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// sumOf returns the checksum of encoded declarations.
func sumOf(data []byte) uint64 { return xxhash.Sum64(data) }

// splitPages divides data into pages like first.
func splitPages(first peer.DeclarationsPage, data []byte) ([]*peer.DeclarationsPage, error) {
	parts := slices.Collect(slices.Chunk(data, declarationsPageBytes))
	if len(parts) > maxDeclarationsPages {
		return nil, fmt.Errorf("%d bytes are more than %d pages hold", len(data), maxDeclarationsPages)
	}
	var pages []*peer.DeclarationsPage
	for n, part := range parts {
		page := first
		page.Page, page.Pages, page.Data = n, len(parts), part
		pages = append(pages, &page)
	}
	return pages, nil
}

// decodeDeclarations returns the content of all pages of declarations, in any order. It fails if they are not what their sender
// encoded.
func decodeDeclarations(pages []*peer.DeclarationsPage) (declarationsContent, error) {
	slices.SortFunc(pages, func(a, b *peer.DeclarationsPage) int { return cmp.Compare(a.Page, b.Page) })
	var data []byte
	for _, page := range pages {
		data = append(data, page.Data...)
	}
	var content declarationsContent
	if sum := sumOf(data); sum != pages[0].Sum {
		return content, fmt.Errorf("the sum is %x, not %x", sum, pages[0].Sum)
	}
	plain := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDeclarationsBytes)
	if err := json.NewDecoder(plain).Decode(&content); err != nil {
		return content, err
	}
	if content.Declarations.Version != pages[0].Version {
		return content, fmt.Errorf("they are of version %d, not %d", content.Declarations.Version, pages[0].Version)
	}
	return content, nil
}
