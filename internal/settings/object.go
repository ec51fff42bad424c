// Package settings reads what an instance is told: JSON objects field by field, and the settings among them,
// for the simulator's wire and for the real router's configuration alike.
package settings

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"
)

// Object reads the fields of one JSON object. The faults met in it, or in any object within it, are kept at the
// outermost.
type Object struct {
	v      *fastjson.Value
	name   string
	path   string // within the text, as Lines has it
	up     *Object
	faults []Fault
	met    int // all faults, also those that are not kept
}

// Fault is what is wrong with a field.
type Fault struct{ Path, Text string }

const mostFaults = 100 // that are kept: a person mends no more at once

// Parse reads a text that must hold an object; what names it in a fault of the text itself.
func Parse(text []byte, what string) (*Object, error) {
	v, err := fastjson.ParseBytes(text)
	if err == nil && v.Type() != fastjson.TypeObject {
		err = errors.New("not an object")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", what, err)
	}
	return New(v, ""), nil
}

// New makes a reader of v, called name in its faults.
func New(v *fastjson.Value, name string) *Object { return &Object{v: v, name: name} }

// Err is the first fault.
func (o *Object) Err() error {
	if len(o.faults) == 0 {
		return nil
	}
	return errors.New(o.faults[0].Text)
}

// Faults are all faults, in the order in which they were met.
func (o *Object) Faults() []Fault { return o.faults }

// Met counts all faults, also those that are not kept.
func (o *Object) Met() int { return o.met }

// Fault notes that a field cannot be used.
func (o *Object) Fault(field, what string) {
	text := field + ": " + what
	if o.name != "" {
		text = o.name + ": " + text
	}
	root := o
	for root.up != nil {
		root = root.up
	}
	if root.met++; len(root.faults) < mostFaults {
		root.faults = append(root.faults, Fault{o.path + "/" + field, text})
	}
}

func (o *Object) within(v *fastjson.Value, field string) *Object {
	path := o.path + "/" + field
	if o.name != "" {
		field = o.name + ": " + field
	}
	return &Object{v: v, name: field, path: path, up: o}
}

// ID reads a number that must be there.
func (o *Object) ID(field string) uint64 {
	v := o.v.Get(field)
	if v == nil {
		o.Fault(field, "missing")
		return 0
	}
	x, err := v.Uint64()
	if err != nil {
		o.Fault(field, "not a whole number")
	}
	return x
}

// Count reads a whole number that may be absent.
func (o *Object) Count(field string) uint64 {
	if o.Absent(field) {
		return 0
	}
	return o.ID(field)
}

// Absent tells whether a field is missing or null.
func (o *Object) Absent(field string) bool {
	v := o.v.Get(field)
	return v == nil || v.Type() == fastjson.TypeNull
}

// Number reads a number that may be absent.
func (o *Object) Number(field string) float64 {
	if o.Absent(field) {
		return 0
	}
	x, err := o.v.Get(field).Float64()
	if err != nil {
		o.Fault(field, "not a number")
	}
	return x
}

// Seconds reads a time in nanoseconds that may be absent.
func (o *Object) Seconds(field string) float64 { return o.Number(field) / 1e9 }

// Flag reads a mark that is false where absent.
func (o *Object) Flag(field string) bool {
	if o.Absent(field) {
		return false
	}
	x, err := o.v.Get(field).Bool()
	if err != nil {
		o.Fault(field, "not true or false")
	}
	return x
}

// Text reads a text that may be absent.
func (o *Object) Text(field string) string {
	if o.Absent(field) {
		return ""
	}
	x, err := o.v.Get(field).StringBytes()
	if err != nil {
		o.Fault(field, "not a text")
	}
	return string(x)
}

// Name0 reads a name that is 0 where there is none.
func (o *Object) Name0(field string) string {
	if v := o.v.Get(field); v != nil && v.Type() == fastjson.TypeNumber {
		return ""
	}
	return o.Text(field)
}

// Sub reads an object; one that is missing or malformed is a fault and reads as empty.
func (o *Object) Sub(field string) *Object {
	v := o.v.Get(field)
	if v == nil || v.Type() != fastjson.TypeObject {
		o.Fault(field, "not an object")
		v = fastjson.MustParse("{}")
	}
	return o.within(v, field)
}

// Part reads an object that may be absent and then reads as empty.
func (o *Object) Part(field string) *Object {
	if o.Absent(field) {
		return o.within(fastjson.MustParse("{}"), field)
	}
	return o.Sub(field)
}

// List reads an array of objects; what else it holds is a fault, and left out.
func (o *Object) List(field string) []*Object {
	var all []*Object
	for i, v := range o.values(field) {
		if v.Type() != fastjson.TypeObject {
			o.Fault(field, "holds what is not an object")
			continue
		}
		e := o.within(v, field)
		e.path += "/" + strconv.Itoa(i)
		all = append(all, e)
	}
	return all
}

// Texts reads an array of texts.
func (o *Object) Texts(field string) []string {
	var all []string
	for _, v := range o.values(field) {
		text, err := v.StringBytes()
		if err != nil {
			o.Fault(field, "holds what is not a text")
			return nil
		}
		all = append(all, string(text))
	}
	return all
}

func (o *Object) values(field string) []*fastjson.Value {
	if o.Absent(field) {
		return nil
	}
	values, err := o.v.Get(field).Array()
	if err != nil {
		o.Fault(field, "not a list")
	}
	return values
}
