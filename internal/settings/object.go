package settings

import (
	"errors"
	"fmt"
	"strconv"

	"bendtrestle/internal/configerror"

	"github.com/valyala/fastjson"
)

// Object reads the fields of one JSON object. The faults in it, or in any object nested in it, are recorded at the
// outermost object.
type Object struct {
	value      *fastjson.Value
	name       string // prefix of the fields' names in faults; empty: none
	path       string // in the text, in the form that Lines returns; empty: the outermost object
	parent     *Object
	faults     []Fault // only at the outermost object
	faultCount int     // all faults, including those beyond maxFaults
}

// Fault describes what is wrong with a field. File and Line of its FieldError are not set by this package.
type Fault struct {
	Path string // in the text, in the form that Lines returns
	configerror.FieldError
}

// maxFaults bounds the faults that are kept, because nobody corrects more of them in one go.
const maxFaults = 100

// Parse reads a text that must contain a JSON object. The error is for a text that does not; what names the text in it.
func Parse(text []byte, what string) (*Object, error) {
	value, err := fastjson.ParseBytes(text)
	if err == nil && value.Type() != fastjson.TypeObject {
		err = errors.New("not an object")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", what, err)
	}
	return New(value, ""), nil
}

// New returns an Object that reads a value. Its faults begin with name, unless name is empty.
func New(value *fastjson.Value, name string) *Object { return &Object{value: value, name: name} }

// Err returns the first fault, a *configerror.FieldError, or nil if there is none.
func (o *Object) Err() error {
	if len(o.faults) == 0 {
		return nil
	}
	first := o.faults[0].FieldError
	return &first
}

// Faults returns the kept faults in the order in which they were reported.
func (o *Object) Faults() []Fault { return o.faults }

// FaultCount returns the number of all faults, including those that are not kept.
func (o *Object) FaultCount() int { return o.faultCount }

// Fault reports a problem with a field.
func (o *Object) Fault(field, problem string) {
	o.report(field, configerror.FieldError{Problem: problem})
}

// Want reports that a field is not what it should be, as "not WANT".
func (o *Object) Want(field, want string) {
	o.report(field, configerror.FieldError{Want: want})
}

// report records a fault at the outermost object.
func (o *Object) report(field string, fault configerror.FieldError) {
	outermost := o
	for outermost.parent != nil {
		outermost = outermost.parent
	}
	outermost.faultCount++
	if len(outermost.faults) >= maxFaults {
		return
	}
	fault.Key = o.qualifiedName(field)
	outermost.faults = append(outermost.faults, Fault{Path: o.path + "/" + field, FieldError: fault})
}

// qualifiedName returns a field's name, preceded by the names of the enclosing objects.
func (o *Object) qualifiedName(field string) string {
	if o.name == "" {
		return field
	}
	return o.name + ": " + field
}

// nested returns an Object that reads the value of a field.
func (o *Object) nested(value *fastjson.Value, field string) *Object {
	return &Object{value: value, name: o.qualifiedName(field), path: o.path + "/" + field, parent: o}
}

// ID reads a required whole number, 0 or above.
func (o *Object) ID(field string) uint64 {
	value := o.value.Get(field)
	if value == nil {
		o.Fault(field, "missing")
		return 0
	}
	number, err := value.Uint64()
	if err != nil {
		o.Want(field, "a whole number")
	}
	return number
}

// Count reads an optional whole number, 0 or above.
func (o *Object) Count(field string) uint64 {
	if o.Absent(field) {
		return 0
	}
	return o.ID(field)
}

// Absent reports whether a field is missing or null.
func (o *Object) Absent(field string) bool {
	value := o.value.Get(field)
	return value == nil || value.Type() == fastjson.TypeNull
}

// Number reads an optional number.
func (o *Object) Number(field string) float64 {
	if o.Absent(field) {
		return 0
	}
	number, err := o.value.Get(field).Float64()
	if err != nil {
		o.Want(field, "a number")
	}
	return number
}

// Seconds reads an optional time in nanoseconds and returns it in seconds.
func (o *Object) Seconds(field string) float64 { return o.Number(field) / 1e9 }

// Flag reads an optional boolean; absent, it is false.
func (o *Object) Flag(field string) bool {
	if o.Absent(field) {
		return false
	}
	flag, err := o.value.Get(field).Bool()
	if err != nil {
		o.Want(field, "true or false")
	}
	return flag
}

// Text reads an optional string.
func (o *Object) Text(field string) string {
	if o.Absent(field) {
		return ""
	}
	text, err := o.value.Get(field).StringBytes()
	if err != nil {
		o.Want(field, "a string")
	}
	return string(text)
}

// NameOrZero reads an optional name. A number in its place means that there is no name.
func (o *Object) NameOrZero(field string) string {
	value := o.value.Get(field)
	if value != nil && value.Type() == fastjson.TypeNumber {
		return ""
	}
	return o.Text(field)
}

// RequiredObject reads an object. A missing or malformed one is a fault and is read as an empty object.
func (o *Object) RequiredObject(field string) *Object {
	value := o.value.Get(field)
	if value == nil || value.Type() != fastjson.TypeObject {
		o.Want(field, "an object")
		value = fastjson.MustParse("{}")
	}
	return o.nested(value, field)
}

// OptionalObject reads an object. An absent one is read as an empty object; a malformed one is a fault, too.
func (o *Object) OptionalObject(field string) *Object {
	if o.Absent(field) {
		return o.nested(fastjson.MustParse("{}"), field)
	}
	return o.RequiredObject(field)
}

// List reads an optional array of objects. An element of another type is a fault and is left out.
func (o *Object) List(field string) []*Object {
	var all []*Object
	for i, value := range o.values(field) {
		if value.Type() != fastjson.TypeObject {
			o.Fault(field, "holds what is not an object")
			continue
		}
		element := o.nested(value, field)
		element.path += "/" + strconv.Itoa(i)
		all = append(all, element)
	}
	return all
}

// Texts reads an optional array of strings. It returns nil if an element is not a string.
func (o *Object) Texts(field string) []string {
	var all []string
	for _, value := range o.values(field) {
		text, err := value.StringBytes()
		if err != nil {
			o.Fault(field, "contains an element that is not a string")
			return nil
		}
		all = append(all, string(text))
	}
	return all
}

// values reads an optional array.
func (o *Object) values(field string) []*fastjson.Value {
	if o.Absent(field) {
		return nil
	}
	values, err := o.value.Get(field).Array()
	if err != nil {
		o.Want(field, "a list")
	}
	return values
}
