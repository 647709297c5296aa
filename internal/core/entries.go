package core

import (
	"slices"
	"strings"
)

// This file selects the entry VMs that a caller should use.

// entriesAsked answers which entry addresses a caller should use: those of its hall first, then
// the less loaded ones. VMs that are leaving or have no lease are omitted. A VM without a lease
// itself returns no addresses, since its list may name VMs that were removed long ago.
func (n *Node) entriesAsked(e EntriesAsked) {
	var addresses []EntryAddress
	if n.hasLease() {
		addresses = n.preferredEntries(e.Hall)
	}
	n.emit(Entries{
		Conn:      e.Conn,
		Addresses: addresses,
		KeepUntil: n.now.Add(n.addressCacheTime()),
	})
}

// maxEntryAddresses bounds the addresses that a caller is given: it uses a few of them, and an
// answer with all VMs of a large deployment would cost more than a request.
const maxEntryAddresses = 64

// preferredEntries returns up to maxEntryAddresses addresses, best first. Equally good
// addresses are in an order that starts at a random VM, so that callers receive different ones.
func (n *Node) preferredEntries(hall string) []EntryAddress {
	views := n.entry.view
	start := 0
	if len(views) > 0 {
		start = n.rand.IntN(len(views))
	}
	var near, far [loadLevels][]EntryAddress
	for i := range views {
		v := &views[(start+i)%len(views)]
		if v.Leaving {
			continue
		}
		level := min(max(v.LoadLevel, 0), loadLevels-1)
		ranked := &far[level]
		if hall == "" || strings.EqualFold(v.Address.Hall, hall) {
			ranked = &near[level]
		}
		if len(*ranked) < maxEntryAddresses {
			*ranked = append(*ranked, v.Address)
		}
	}
	addresses := slices.Concat(slices.Concat(near[:]...), slices.Concat(far[:]...))
	return addresses[:min(len(addresses), maxEntryAddresses)]
}

// otherEntryAddresses returns the addresses of other entry VMs for callers.
func (n *Node) otherEntryAddresses() []string {
	var addresses []string
	for _, a := range n.preferredEntries(n.settings.Address.Hall) {
		if a.VM != n.settings.Self.VM {
			addresses = append(addresses, a.Callers)
		}
	}
	return addresses
}
