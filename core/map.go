package core

import (
	"hash/maphash"
	"iter"
	"math/bits"
	"slices"
)

// Map is an immutable map. A changed copy shares all but a few nodes with the original, so the cost of publishing a
// change depends on the change and not on the size of the map. Reads take no lock. The zero value is empty.
//
// It is a hash array mapped trie with 32 branches at each level.
type Map[K ~string, V any] struct {
	root *mapNode[K, V]
	size int
}

const (
	mapBits = 5
	mapMask = 1<<mapBits - 1
	// mapMaxShift is the depth at which all bits of the hash are used. Pairs with equal hashes form a list there.
	mapMaxShift = 65
)

var mapSeed = maphash.MakeSeed()

// mapPair is one key with its value.
type mapPair[K ~string, V any] struct {
	key   K
	value V
}

// mapNode holds pairs and child nodes, each ordered by branch.
type mapNode[K ~string, V any] struct {
	// token identifies the edit that created the node and may still change it in place.
	token             *mapEditToken
	hasPair, hasChild uint32
	pairs             []mapPair[K, V]
	children          []*mapNode[K, V]
}

// mapEditToken must not have size zero, so that any two tokens have different addresses.
type mapEditToken struct{ _ byte }

// Get returns the value of a key and whether the map has it.
func (m Map[K, V]) Get(key K) (V, bool) {
	hash := maphash.String(mapSeed, string(key))
	node := m.root
	for shift := uint(0); node != nil; shift += mapBits {
		if shift >= mapMaxShift {
			return node.search(key)
		}
		bit := uint32(1) << (hash >> shift & mapMask)
		if node.hasPair&bit != 0 {
			if pair := &node.pairs[position(node.hasPair, bit)]; pair.key == key {
				return pair.value, true
			}
			break
		}
		if node.hasChild&bit == 0 {
			break
		}
		node = node.children[position(node.hasChild, bit)]
	}
	var zero V
	return zero, false
}

// search finds a key among pairs with equal hashes.
func (n *mapNode[K, V]) search(key K) (V, bool) {
	for i := range n.pairs {
		if n.pairs[i].key == key {
			return n.pairs[i].value, true
		}
	}
	var zero V
	return zero, false
}

// Value returns the value of a key, or the zero value when the map does not have it.
func (m Map[K, V]) Value(key K) V {
	value, _ := m.Get(key)
	return value
}

// Len returns the number of keys.
func (m Map[K, V]) Len() int { return m.size }

// All returns all keys with their values, in no particular order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.root != nil {
			m.root.visit(yield)
		}
	}
}

func (n *mapNode[K, V]) visit(yield func(K, V) bool) bool {
	for i := range n.pairs {
		if !yield(n.pairs[i].key, n.pairs[i].value) {
			return false
		}
	}
	for _, child := range n.children {
		if !child.visit(yield) {
			return false
		}
	}
	return true
}

// MapOf returns a map with the content of a Go map.
func MapOf[K ~string, V any](content map[K]V) Map[K, V] {
	var edit MapEdit[K, V]
	for key, value := range content {
		edit.Set(key, value)
	}
	return edit.Done()
}

// Edit starts a changed copy of the map.
func (m Map[K, V]) Edit() *MapEdit[K, V] { return &MapEdit[K, V]{content: m} }

// MapEdit makes a changed copy of a Map. It is not safe for concurrent use. The zero value starts with an empty map.
type MapEdit[K ~string, V any] struct {
	content Map[K, V]
	token   *mapEditToken
}

// Get returns the current value of a key and whether there is one.
func (e *MapEdit[K, V]) Get(key K) (V, bool) { return e.content.Get(key) }

// Set stores the value of a key.
func (e *MapEdit[K, V]) Set(key K, value V) {
	if e.token == nil {
		e.token = new(mapEditToken)
	}
	hash := maphash.String(mapSeed, string(key))
	root, added := e.set(e.content.root, 0, hash, mapPair[K, V]{key, value})
	e.content.root = root
	if added {
		e.content.size++
	}
}

// Delete removes a key.
func (e *MapEdit[K, V]) Delete(key K) {
	if _, ok := e.content.Get(key); !ok {
		return
	}
	if e.token == nil {
		e.token = new(mapEditToken)
	}
	e.content.root = e.remove(e.content.root, 0, maphash.String(mapSeed, string(key)), key)
	e.content.size--
}

// Done returns the map. Later edits do not change it.
func (e *MapEdit[K, V]) Done() Map[K, V] {
	e.token = nil
	return e.content
}

// editable returns n if this edit may change it in place, or a copy that it may change.
func (e *MapEdit[K, V]) editable(n *mapNode[K, V]) *mapNode[K, V] {
	if n.token == e.token {
		return n
	}
	return &mapNode[K, V]{
		token: e.token, hasPair: n.hasPair, hasChild: n.hasChild, pairs: slices.Clone(n.pairs), children: slices.Clone(n.children),
	}
}

func (e *MapEdit[K, V]) set(n *mapNode[K, V], shift uint, hash uint64, pair mapPair[K, V]) (_ *mapNode[K, V], added bool) {
	if n == nil {
		n = &mapNode[K, V]{token: e.token}
	}
	n = e.editable(n)
	if shift >= mapMaxShift {
		return n, n.setEqualHash(pair)
	}
	bit := uint32(1) << (hash >> shift & mapMask)
	switch {
	case n.hasChild&bit != 0:
		i := position(n.hasChild, bit)
		n.children[i], added = e.set(n.children[i], shift+mapBits, hash, pair)
		return n, added
	case n.hasPair&bit == 0:
		n.pairs = slices.Insert(n.pairs, position(n.hasPair, bit), pair)
		n.hasPair |= bit
		return n, true
	}
	i := position(n.hasPair, bit)
	if n.pairs[i].key == pair.key {
		n.pairs[i].value = pair.value
		return n, false
	}
	// Two keys share the branch, so both move one level down.
	old := n.pairs[i]
	child, _ := e.set(nil, shift+mapBits, maphash.String(mapSeed, string(old.key)), old)
	child, _ = e.set(child, shift+mapBits, hash, pair)
	n.pairs = slices.Delete(n.pairs, i, i+1)
	n.hasPair &^= bit
	n.children = slices.Insert(n.children, position(n.hasChild, bit), child)
	n.hasChild |= bit
	return n, true
}

func (n *mapNode[K, V]) setEqualHash(pair mapPair[K, V]) (added bool) {
	for i := range n.pairs {
		if n.pairs[i].key == pair.key {
			n.pairs[i].value = pair.value
			return false
		}
	}
	n.pairs = append(n.pairs, pair)
	return true
}

// remove deletes a key that the node has, and every node that becomes empty.
func (e *MapEdit[K, V]) remove(n *mapNode[K, V], shift uint, hash uint64, key K) *mapNode[K, V] {
	n = e.editable(n)
	bit := uint32(1) << (hash >> shift & mapMask)
	switch {
	case shift >= mapMaxShift:
		n.pairs = slices.DeleteFunc(n.pairs, func(p mapPair[K, V]) bool { return p.key == key })
	case n.hasPair&bit != 0:
		i := position(n.hasPair, bit)
		n.pairs = slices.Delete(n.pairs, i, i+1)
		n.hasPair &^= bit
	default:
		i := position(n.hasChild, bit)
		if n.children[i] = e.remove(n.children[i], shift+mapBits, hash, key); n.children[i] == nil {
			n.children = slices.Delete(n.children, i, i+1)
			n.hasChild &^= bit
		}
	}
	if len(n.pairs) == 0 && len(n.children) == 0 {
		return nil
	}
	return n
}

// position returns the index of a branch among the branches of a bit set.
func position(set, bit uint32) int { return bits.OnesCount32(set & (bit - 1)) }
