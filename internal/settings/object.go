package settings

import (
	"errors"
	"fmt"
	"strconv"

	"bendtrestle/internal/configerror"

	"github.com/valyala/fastjson"
)

// Object reads the fields of one JSON object. The faults met in it, or in any object within it, are kept at the
// outermost.
type Object struct {
	value      *fastjson.Value
	name       string // before the fields' names in faults; empty: of the outermost
	path       string // within the text, as Lines has it
	parent     *Object
	faults     []Fault // of the outermost
	faultCount int     // all faults, also those beyond maxFaults
}

// Fault is what is wrong with a field. The File and Line of its error are not known here.
type Fault struct {
	Path string // within the text, as Lines has it
	configerror.FieldError
}

// maxFaults bounds the faults that are kept: a person mends no more at once.
const maxFaults = 100

// Parse reads a text that must hold an object; what names it in an error, which is about the text itself.
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

// New makes a reader of a value, called name in its faults.
func New(value *fastjson.Value, name string) *Object { return &Object{value: value, name: name} }

// Err returns the first fault, a FieldError; nil: there is none.
func (o *Object) Err() error {
	if len(o.faults) == 0 {
		return nil
	}
	first := o.faults[0].FieldError
	return &first
}

// Faults returns the faults in the order in which they were met.
func (o *Object) Faults() []Fault { return o.faults }

// FaultCount counts all faults, also those that are not kept.
func (o *Object) FaultCount() int { return o.faultCount }

// Fault notes what is wrong with a field, in words.
func (o *Object) Fault(field, problem string) {
	o.report(field, configerror.FieldError{Problem: problem})
}

// Want notes that a field is not what it should be: "not WANT".
func (o *Object) Want(field, want string) {
	o.report(field, configerror.FieldError{Want: want})
}

// report keeps a fault at the outermost object.
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

// qualifiedName returns a field's name with those of the objects that hold it.
func (o *Object) qualifiedName(field string) string {
	if o.name == "" {
		return field
	}
	return o.name + ": " + field
}

// nested makes a reader of a value that a field holds.
func (o *Object) nested(value *fastjson.Value, field string) *Object {
	return &Object{value: value, name: o.qualifiedName(field), path: o.path + "/" + field, parent: o}
}

// ID reads a number that must be there.
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

// Count reads a whole number that may be absent.
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

// Number reads a number that may be absent.
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

// Seconds reads a time in nanoseconds that may be absent.
func (o *Object) Seconds(field string) float64 { return o.Number(field) / 1e9 }

// Flag reads true or false; false where it is absent.
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

// Text reads a text that may be absent.
func (o *Object) Text(field string) string {
	if o.Absent(field) {
		return ""
	}
	text, err := o.value.Get(field).StringBytes()
	if err != nil {
		o.Want(field, "a text")
	}
	return string(text)
}

// NameOrZero reads a name, for which a number stands where there is none.
func (o *Object) NameOrZero(field string) string {
	value := o.value.Get(field)
	if value != nil && value.Type() == fastjson.TypeNumber {
		return ""
	}
	return o.Text(field)
}

// RequiredObject reads an object; one that is missing or malformed is a fault and reads as empty.
func (o *Object) RequiredObject(field string) *Object {
	value := o.value.Get(field)
	if value == nil || value.Type() != fastjson.TypeObject {
		o.Want(field, "an object")
		value = fastjson.MustParse("{}")
	}
	return o.nested(value, field)
}

// OptionalObject reads an object that may be absent and then reads as empty.
func (o *Object) OptionalObject(field string) *Object {
	if o.Absent(field) {
		return o.nested(fastjson.MustParse("{}"), field)
	}
	return o.RequiredObject(field)
}

// List reads an array of objects; what else it holds is a fault, and left out.
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

// Texts reads an array of texts.
func (o *Object) Texts(field string) []string {
	var all []string
	for _, value := range o.values(field) {
		text, err := value.StringBytes()
		if err != nil {
			o.Fault(field, "holds what is not a text")
			return nil
		}
		all = append(all, string(text))
	}
	return all
}

// values reads an array that may be absent.
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
