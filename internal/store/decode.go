package store

import (
	"encoding/json"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/address"
	"plumpitch.example/plumpitch/pkg/rawjson"
)

// maxSlots is the largest valid number of a VM's slots. Sums over all VMs stay far from the limit
// of their type.
const maxSlots = 1_000_000

// vmKind is the kind of the VMs in reports of errors.
const vmKind = "vms"

// refuse counts and reports an object that can't be decoded.
func (s *Client) refuse(kind, name string, err error) {
	s.counts[refusedObjects].Add(1)
	if s.onDecodeError != nil {
		s.onDecodeError(kind, name, err)
	}
}

// decodeList decodes a list of objects one by one, so that an invalid one doesn't affect the
// others.
func (s *Client) decodeList(kind string, b []byte) (objects []Object, version uint64, err error) {
	fields, err := rawjson.Fields(b, "objects", "version")
	if err != nil {
		return nil, 0, err
	}
	list, err := elements("objects", fields[0])
	if err != nil {
		return nil, 0, err
	}
	if fields[1] != nil {
		if err := json.Unmarshal(fields[1], &version); err != nil {
			return nil, 0, errors.WithMessage(err, "version")
		}
	}
	for _, raw := range list {
		o, err := decodeNamed(raw)
		if err != nil {
			s.refuse(kind, o.Name, err)
			continue
		}
		objects = append(objects, o)
	}
	return objects, version, nil
}

// elements returns the elements of a response's list.
func elements(field string, list json.RawMessage) (raw []json.RawMessage, err error) {
	if list == nil {
		return nil, errors.Errorf("%s: found none in the response, expected a list", field)
	}
	raw, err = rawjson.Elements(list)
	return raw, errors.WithMessage(err, field)
}

// decodeObject decodes an object. One with an error has its name, if that can be decoded.
func decodeObject(raw []byte) (o Object, err error) {
	var j objectJSON
	if err := rawjson.Unmarshal(raw, &j); err != nil {
		return Object{Name: stringField(raw, "name")}, err
	}
	return Object(j), nil
}

// stringField returns a field of an object that can't be decoded as a whole, or "".
func stringField(raw []byte, field string) string {
	fields, err := rawjson.Fields(raw, field)
	if err != nil {
		return ""
	}
	return text(fields[0])
}

// decodeNamed decodes an object that must have a name.
func decodeNamed(raw []byte) (o Object, err error) {
	o, err = decodeObject(raw)
	if err == nil && o.Name == "" {
		err = errors.New("name: found nothing, expected a name")
	}
	return o, err
}

// text decodes a string, or returns "".
func text(raw json.RawMessage) (s string) {
	if json.Unmarshal(raw, &s) != nil {
		return ""
	}
	return s
}

// decodeVMs decodes the VM list one by one, as decodeList does.
func (s *Client) decodeVMs(b []byte) (vms []VM, err error) {
	fields, err := rawjson.Fields(b, "vms")
	if err != nil {
		return nil, err
	}
	list, err := elements("vms", fields[0])
	if err != nil {
		return nil, err
	}
	for _, raw := range list {
		id, vm, err := decodeVM(raw)
		if err != nil {
			s.refuse(vmKind, id, err)
			continue
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// decodeVM decodes a VM. With an error it returns its ID, if that can be decoded.
func decodeVM(raw json.RawMessage) (id string, vm VM, err error) {
	var j vmJSON
	if err := rawjson.Unmarshal(raw, &j); err != nil {
		return stringField(raw, "id"), vm, err
	}
	if j.ID == "" {
		return "", vm, errors.New("id: found nothing, expected a name")
	}
	if err := address.Check(j.Addr); err != nil {
		return j.ID, vm, errors.WithMessage(err, "addr")
	}
	if j.Slots < 0 || j.Slots > maxSlots {
		return j.ID, vm, errors.Errorf("slots: found %d, expected a whole number from 0 to %d", j.Slots, maxSlots)
	}
	return j.ID, VM(j), nil
}

// decodeChange decodes an event of a watch.
func decodeChange(raw json.RawMessage) (c Change, tag string, err error) {
	fields, err := rawjson.Fields(raw, "object", "deleted", "tag")
	if err != nil {
		return c, "", err
	}
	if c.Object, err = decodeNamed(fields[0]); err != nil {
		return c, "", err
	}
	if fields[1] != nil {
		if err := json.Unmarshal(fields[1], &c.Deleted); err != nil {
			return c, "", errors.WithMessage(err, "deleted")
		}
	}
	return c, text(fields[2]), nil
}
