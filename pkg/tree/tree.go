// Package tree implements the settings of a site: a tree of nodes in which a
// service inherits values from its parents and overrides only those that
// differ, with a log of the latest edits. It parses, validates, edits, merges
// and encodes these documents.
//
// The package performs no I/O. A Document is immutable: functions that change
// one return a new one.
package tree

import "time"

// Root is the path of the root node, from which all other nodes inherit.
const Root = "/"

// Document is the tree at one revision. Values are stored in the canonical text
// form of their fields.
type Document struct {
	Revision uint64          // number of edits accepted so far
	Nodes    map[string]Node // keyed by path, such as /swanbourne/deposit-ledger
	Edits    []Edit          // log of the latest edits, oldest first, up to Revision
}

// Node is a node of the tree with the values that it overrides.
type Node struct {
	Kind   Kind
	Parent string            // path of the node to inherit from; empty for the enclosing path
	Values map[string]string // keyed by field name
}

// Kind is the kind of object that a node configures.
type Kind string

// Kinds of nodes. Only the root and groups can be parents.
const (
	RootKind    Kind = "root"
	GroupKind   Kind = "group"
	ServiceKind Kind = "service"
	PlaceKind   Kind = "place"
	AccountKind Kind = "account"
)

// Edit is an atomic set of changes: either all are accepted or none.
type Edit struct {
	ID       string // chosen by the client; a resend carries the same ID
	Author   string
	Time     time.Time // time of acceptance
	Base     uint64    // revision that the author edited
	Revision uint64    // revision that the edit created; 0 until accepted
	Changes  []Change
}

// Op is the operation of a Change.
type Op string

// Operations of a Change.
const (
	Set    Op = "set"
	Unset  Op = "unset"
	Create Op = "create"
	Remove Op = "remove"
	Move   Op = "move" // inherit from another parent
)

// Change is one operation of an Edit.
type Change struct {
	Op     Op
	Path   string
	Field  string // for Set and Unset
	Value  string // for Set
	Kind   Kind   // for Create
	Parent string // for Create and Move; empty for the enclosing path
}

// New returns the document of revision 0: a root node without values.
func New() Document {
	return Document{Nodes: map[string]Node{Root: {Kind: RootKind}}}
}
