package tree

import (
	"sort"

	"github.com/pkg/errors"
)

// ResolvedValue is the value of a field in effect at a node, with its source.
type ResolvedValue struct {
	Field  string
	Value  string // canonical text
	Source string // path of the node that sets the value; empty for the default
}

// ErrNoNode means that there is no node at a path.
var ErrNoNode = errors.New("no such node")

// Resolve returns the values in effect at a node, as a policy and as a list in the
// order of Fields.
func (d Document) Resolve(path string) (p Policy, values []ResolvedValue, err error) {
	defer func() { err = errors.WithMessage(err, path) }()
	if _, ok := d.Nodes[path]; !ok {
		return Policy{}, nil, ErrNoNode
	}
	chain, complete := d.chainToRoot(path)
	if !complete {
		return Policy{}, nil, errors.New("parents do not lead to the root")
	}
	for _, f := range Fields {
		value := d.resolveField(f, chain)
		f.assign(&p, value.Value)
		values = append(values, value)
	}
	return p, values, nil
}

// resolveField returns the value that the first node of chain sets, or the
// default. The chain runs from a node to the root.
func (d Document) resolveField(f Field, chain []string) ResolvedValue {
	for _, path := range chain {
		if v, ok := d.Nodes[path].Values[f.Name]; ok {
			return ResolvedValue{Field: f.Name, Value: v, Source: path}
		}
	}
	return ResolvedValue{Field: f.Name, Value: f.Default}
}

// Service is a service with the policy in effect.
type Service struct {
	Name   string
	Path   string
	Policy Policy
}

// Services returns all services, sorted by name. The document must have passed
// Check.
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

// Place is a place with its region.
type Place struct {
	Name   string
	Path   string
	Region string // name of the parent node
}

// Places returns all places, sorted by name.
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
