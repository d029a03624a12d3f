package peer

// DeclarationsPage is a part of what a VM knows of the operator's records, for VMs that need not read it in the store then.
type DeclarationsPage struct {
	// Version is the version of the declarations.
	Version uint64
	// Next is the offset in era Era of the store up to which the operator's records are known.
	Era, Next uint64
	// Origin is the name of the VM that has read the records in the store.
	Origin string
	// Page is the number of this page, from 0, and Pages that of all pages that belong together.
	Page, Pages int
	// Sum is the 64-bit xxHash of the data of all pages together.
	Sum uint64
	// Data is a part of the encoded declarations.
	Data []byte
}

// SameContent reports whether two pages belong together.
func (p *DeclarationsPage) SameContent(other *DeclarationsPage) bool {
	return p.Version == other.Version && p.Era == other.Era && p.Next == other.Next && p.Pages == other.Pages && p.Sum == other.Sum
}

// declarationsMessage is the wire format of a DeclarationsPage.
type declarationsMessage DeclarationsPage

// page returns the page of a message, or nil if there is none or its number is not one.
func (m *declarationsMessage) page() *DeclarationsPage {
	if m == nil || m.Pages < 1 || m.Page < 0 || m.Page >= m.Pages {
		return nil
	}
	return (*DeclarationsPage)(m)
}
