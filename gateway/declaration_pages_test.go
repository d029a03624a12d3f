package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/routing"
)

// newPages returns the pages of declarations that need several.
func newPages(t testing.TB, version uint64) []*peer.DeclarationsPage {
	t.Helper()
	random := rand.New(rand.NewPCG(1, version))
	content := declarationsContent{Declarations: routing.Declarations{Version: version}, Evacuated: []string{"zone"}}
	for range 5000 {
		content.Declarations.Routes = append(content.Declarations.Routes, routing.Route{Name: fmt.Sprintf("%016x", random.Uint64()), Host: fmt.Sprintf("%016x", random.Uint64())})
	}
	data, err := encodeDeclarations(content)
	require.NoError(t, err)
	pages, err := splitPages(peer.DeclarationsPage{Version: version, Sum: sumOf(data)}, data)
	require.NoError(t, err)
	require.Greater(t, len(pages), 2)
	return pages
}

func TestDeclarationPages(t *testing.T) {
	t.Run("in any order, one twice", func(t *testing.T) {
		var received declarationPages
		pages := newPages(t, 3)
		received.add("vm", pages[2])
		received.add("vm", pages[2])
		assert.Len(t, received.add("other vm", pages[0]), 1)
		for _, page := range pages {
			received.add("vm", page)
		}
		content, err := decodeDeclarations(received.received["vm"])
		require.NoError(t, err)
		assert.EqualValues(t, 3, content.Declarations.Version)
		assert.Len(t, content.Declarations.Routes, 5000)
		assert.Equal(t, []string{"zone"}, content.Evacuated)
	})
	t.Run("of two versions", func(t *testing.T) {
		var received declarationPages
		received.add("vm", newPages(t, 3)[0])
		assert.Len(t, received.add("vm", newPages(t, 4)[1]), 1, "pages of an older version are dropped")
	})
	t.Run("changed on the way", func(t *testing.T) {
		pages := newPages(t, 3)
		page := *pages[1]
		page.Data = append([]byte{page.Data[0] ^ 1}, page.Data[1:]...)
		pages[1] = &page
		_, err := decodeDeclarations(pages)
		assert.ErrorContains(t, err, "the sum is")
	})
	t.Run("of another version than they say", func(t *testing.T) {
		pages := newPages(t, 3)
		for _, page := range pages {
			page.Version = 9
		}
		_, err := decodeDeclarations(pages)
		assert.ErrorContains(t, err, "they are of version 3, not 9")
	})
	t.Run("too long", func(t *testing.T) {
		_, err := splitPages(peer.DeclarationsPage{}, make([]byte, declarationsPageBytes*maxDeclarationsPages+1))
		assert.Error(t, err)
	})
	t.Run("a page fits in a datagram", func(t *testing.T) {
		data, err := peer.EncodeBeacon(peer.Beacon{VM: "vm", Scope: peer.ScopeDeclarations, Declarations: newPages(t, 3)[0]})
		require.NoError(t, err)
		assert.Less(t, len(data), 60<<10)
		b, err := peer.DecodeBeacon(data)
		require.NoError(t, err)
		assert.Equal(t, newPages(t, 3)[0], b.Declarations)
	})
}

// TestStrangerDeclaresRoutes guards against declarations, with their keys, from whoever can send a datagram.
func TestStrangerDeclaresRoutes(t *testing.T) {
	f := newSimFleet(t, 6, 6)
	f.run(100 * time.Millisecond)
	v, other := f.vms[0], f.vms[1]
	pages := newPages(t, 9)
	tell := func(vm string, from netip.AddrPort) {
		for _, page := range pages {
			v.handleBeacon(peer.Beacon{VM: vm, Incarnation: "x", Scope: peer.ScopeDeclarations, Version: 9, Declarations: page}, from)
		}
	}
	tell("stranger", netip.MustParseAddrPort("10.9.9.9:7500"))
	tell(other.self.VM, netip.MustParseAddrPort("10.9.9.9:7500"))
	assert.EqualValues(t, 1, v.version())
	assert.Nil(t, v.peers["stranger"])
	tell(other.self.VM, other.address)
	assert.EqualValues(t, 9, v.version())
}

// FuzzDeclarationPages guards against pages of any content that end the process.
func FuzzDeclarationPages(f *testing.F) {
	f.Add([]byte("{}"), uint64(1))
	f.Fuzz(func(t *testing.T, data []byte, sum uint64) {
		for _, sum := range []uint64{sum, sumOf(data)} {
			_, _ = decodeDeclarations([]*peer.DeclarationsPage{{Version: 1, Pages: 1, Sum: sum, Data: data}})
		}
	})
}

// TestVMWithoutDeclarationsIsAskedForThem guards against a VM that knows of an evacuation, and of no declarations that it can read, and ends
// when a peer asks for them.
func TestVMWithoutDeclarationsIsAskedForThem(t *testing.T) {
	f := newSimFleet(t, 6, 6)
	f.run(100 * time.Millisecond)
	v, other := f.vms[0], f.vms[1]
	v.table.Store(nil)
	v.zones.changed = listPosition{offset: 9}
	v.handleBeacon(peer.Beacon{VM: other.self.VM, Incarnation: "x", Scope: peer.ScopeDeclarationsRequest}, other.address)
}
