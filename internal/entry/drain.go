package entry

import (
	"context"
	"maps"
	"net/http"
	"strconv"

	"github.com/go-kit/kit/endpoint"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
)

// drainKind is the kind of the store's objects that drain a target, named as it and
// with its incarnation, or evacuate a place, named as that and with placeValue. Both
// are read by one call.
const drainKind = "drain"

// placeValue is the value of an object that evacuates a place.
const placeValue = "place"

// drained is what operators want no new work for.
type drained struct {
	targets map[string]uint64 // with the incarnation that is meant
	places  map[string]bool
}

// has reports whether a VM itself is to get no new work.
func (d drained) has(vm store.VM) bool {
	boot, ok := d.targets[vm.ID]
	return ok && boot == vm.Boot
}

func (d drained) equal(o drained) bool {
	return maps.Equal(d.targets, o.targets) && maps.Equal(d.places, o.places)
}

// drains decodes the drain objects; one that can't be read drains nothing.
func drains(objects []store.Object) drained {
	d := drained{targets: make(map[string]uint64), places: make(map[string]bool)}
	for _, o := range objects {
		if string(o.Value) == placeValue {
			d.places[o.Name] = true
		} else if boot, err := strconv.ParseUint(string(o.Value), 10, 64); err == nil {
			d.targets[o.Name] = boot
		}
	}
	return d
}

// drainAnswer confirms a drain or its end.
type drainAnswer struct {
	Target  string `json:"target"`
	Boot    uint64 `json:"boot"`
	Drained bool   `json:"drained"`
}

func (e *Entry) drainEndpoint(do func(ctx context.Context, vm store.VM) error) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		name := request.(string)
		vm, err := e.findVM(ctx, name)
		if err != nil {
			return nil, err
		}
		if err := do(ctx, vm); err != nil {
			return nil, err
		}
		_, err = e.store.Get(ctx, drainKind, name)
		return drainAnswer{name, vm.Boot, err == nil}, nil
	}
}

// drain records in the store that operators drain a target, and takes it out
// here at once. The incarnation is written, so that a restarted target is not
// drained by an old order.
func (e *Entry) drain(ctx context.Context, vm store.VM) (err error) {
	defer func() { err = errors.WithMessage(err, "drain "+vm.ID) }()
	if err := e.putDrain(ctx, vm.ID, strconv.FormatUint(vm.Boot, 10)); err != nil {
		return err
	}
	e.left(vm.ID, vm.Boot)
	return nil
}

func (e *Entry) undrain(ctx context.Context, vm store.VM) (err error) {
	defer func() { err = errors.WithMessage(err, "undrain "+vm.ID) }()
	return e.dropDrain(ctx, vm.ID)
}

// evacuateAnswer confirms an evacuation or its end.
type evacuateAnswer struct {
	Place     string `json:"place"`
	Evacuated bool   `json:"evacuated"`
	Targets   int    `json:"targets"` // in the place
}

func (e *Entry) placeEndpoint(do func(ctx context.Context, place string, targets int) error) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		place := request.(string)
		list, err := e.store.VMs(ctx)
		if err != nil {
			return nil, err
		}
		targets := 0
		for _, vm := range list {
			if vm.Place == place {
				targets++
			}
		}
		if err := do(ctx, place, targets); err != nil {
			return nil, err
		}
		_, err = e.store.Get(ctx, drainKind, place)
		return evacuateAnswer{place, err == nil, targets}, nil
	}
}

// evacuate records in the store that no target of a place gets new work until it is
// restored. All entries go by it within a second or so. A place that no target is in is
// refused: it would be a typing error, and the place that was meant would go on.
func (e *Entry) evacuate(ctx context.Context, place string, targets int) (err error) {
	defer func() { err = errors.WithMessage(err, "evacuate "+place) }()
	if targets == 0 {
		return operatorError{http.StatusNotFound, errors.Errorf("name: found %q, expected a place with targets", place)}
	}
	return e.putDrain(ctx, place, placeValue)
}

// restore takes an evacuation back.
func (e *Entry) restore(ctx context.Context, place string, _ int) (err error) {
	defer func() { err = errors.WithMessage(err, "restore "+place) }()
	return e.dropDrain(ctx, place)
}

// putDrain writes a drain object unless it says so already.
func (e *Entry) putDrain(ctx context.Context, name, value string) error {
	o, err := e.store.Get(ctx, drainKind, name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if string(o.Value) == value {
		return nil
	}
	_, err = e.store.Put(ctx, drainKind, name, o.Version, []byte(value))
	return err
}

// dropDrain removes a drain object if there is one.
func (e *Entry) dropDrain(ctx context.Context, name string) error {
	o, err := e.store.Get(ctx, drainKind, name)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return e.store.Delete(ctx, drainKind, name, o.Version)
}
