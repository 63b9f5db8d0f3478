package tree

import (
	"sort"

	"github.com/pkg/errors"
)

// Origin tells where the value of one field comes from.
type Origin struct {
	Field string
	Value string // canonical text
	From  string // path of the node that sets it; empty for the default
}

// ErrNoNode says that a path names no node.
var ErrNoNode = errors.New("no such node")

// Resolve returns the values in effect at a node and the origin of each, in the
// order of Fields.
func (d Document) Resolve(path string) (p Policy, origins []Origin, err error) {
	defer func() { err = errors.WithMessage(err, path) }()
	if _, ok := d.Nodes[path]; !ok {
		return Policy{}, nil, ErrNoNode
	}
	chain, whole := d.chain(path)
	if !whole {
		return Policy{}, nil, errors.New("parents do not lead to the root")
	}
	for _, f := range Fields {
		o := d.origin(f, chain)
		f.assign(&p, o.Value)
		origins = append(origins, o)
	}
	return p, origins, nil
}

func (d Document) origin(f Field, chain []string) Origin {
	for _, path := range chain {
		if v, ok := d.Nodes[path].Values[f.Name]; ok {
			return Origin{Field: f.Name, Value: v, From: path}
		}
	}
	return Origin{Field: f.Name, Value: f.Default}
}

// Service is one service with its policy.
type Service struct {
	Name   string
	Path   string
	Policy Policy
}

// Services returns all services in order of their names. The document must
// have passed Check.
func (d Document) Services() []Service {
	var list []Service
	for path, n := range d.Nodes {
		if n.Kind != ServiceKind {
			continue
		}
		p, _, err := d.Resolve(path)
		if err != nil {
			continue
		}
		list = append(list, Service{Name: Name(path), Path: path, Policy: p})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Place is one place with the region it lies in.
type Place struct {
	Name   string
	Path   string
	Region string // name of its parent
}

// Places returns all places in order of their names.
func (d Document) Places() []Place {
	var list []Place
	for path, n := range d.Nodes {
		if n.Kind == PlaceKind {
			list = append(list, Place{Name: Name(path), Path: path, Region: Name(parentOf(path, n))})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
