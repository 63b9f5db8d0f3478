// Package tree is the settings of a site: a tree of nodes in which every
// service inherits from its parents and overrides only what differs, and the
// edits that led to its present revision.
//
// The package decides and does no I/O. A Document is never changed in place:
// what alters one returns another.
package tree

import "time"

// Root is the path of the node from which all others inherit.
const Root = "/"

// Document is the whole tree at one revision. Values are in the canonical text
// of their fields.
type Document struct {
	Revision uint64          // counts accepted edits
	Nodes    map[string]Node // by path, such as /swanbourne/deposit-ledger
	Edits    []Edit          // the last ones, oldest first, up to Revision
}

// Node is one point of the tree with the values it overrides.
type Node struct {
	Kind   Kind
	Parent string            // path it inherits from; empty for the enclosing one
	Values map[string]string // by field name
}

// Kind is what a node stands for.
type Kind string

// Kinds of nodes. Only groups and the root can be inherited from.
const (
	RootKind    Kind = "root"
	GroupKind   Kind = "group"
	ServiceKind Kind = "service"
	PlaceKind   Kind = "place"
)

// Edit is a set of changes that are accepted together or not at all.
type Edit struct {
	ID       string // chosen by the operator's side; the same for each resend
	Author   string
	Time     time.Time // of acceptance
	Base     uint64    // revision that the author had seen
	Revision uint64    // revision it led to; 0 until accepted
	Changes  []Change
}

// Op is what a Change does.
type Op string

// Operations of a Change.
const (
	Set    Op = "set"
	Unset  Op = "unset"
	Create Op = "create"
	Remove Op = "remove"
	Move   Op = "move" // to another parent
)

// Change is one step of an Edit.
type Change struct {
	Op     Op
	Path   string
	Field  string // of Set and Unset
	Value  string // of Set
	Kind   Kind   // of Create
	Parent string // of Create and Move; empty for the enclosing one
}

// New returns the document of revision 0: a root that overrides nothing.
func New() Document {
	return Document{Nodes: map[string]Node{Root: {Kind: RootKind}}}
}
