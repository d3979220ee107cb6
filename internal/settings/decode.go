package settings

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// decode decodes the document into target, a pointer to a struct. Fields that the
// document omits keep their values in target. Unknown fields, repeated fields and
// wrong types are reported.
func (d *document) decode(target any) {
	if d.root.Value == nil {
		return
	}
	d.decodeValue("", d.root, reflect.ValueOf(target).Elem())
}

func (d *document) decodeValue(path string, v hujson.Value, target reflect.Value) {
	d.offsets[path] = v.StartOffset
	switch target.Kind() {
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(path, v, target.Elem())
	case reflect.Struct:
		d.decodeStruct(path, v, target)
	case reflect.Slice:
		d.decodeSlice(path, v, target)
	case reflect.Map:
		d.decodeMap(path, v, target)
	default:
		d.decodeLiteral(path, v, target)
	}
}

func (d *document) decodeStruct(path string, v hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(path, v, "an object")
		return
	}
	fields := fieldsOf(target.Type())
	seen := make(map[string]bool)
	for _, member := range object.Members {
		name := memberName(member)
		memberPath := join(path, name)
		index, known := fields.index[name]
		switch {
		case !known:
			d.report(member.Name.StartOffset, memberPath, "got an unknown field, expected one of "+strings.Join(fields.names, ", "))
		case seen[name]:
			d.report(member.Name.StartOffset, memberPath, "got the field twice, expected it once")
		default:
			d.decodeValue(memberPath, member.Value, target.Field(index))
		}
		seen[name] = true
	}
}

func memberName(member hujson.ObjectMember) string {
	literal, _ := member.Name.Value.(hujson.Literal)
	return literal.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// structFields lists the JSON names of a struct's fields.
type structFields struct {
	names []string
	index map[string]int
}

func fieldsOf(t reflect.Type) structFields {
	fields := structFields{index: make(map[string]int)}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields.names = append(fields.names, name)
		fields.index[name] = i
	}
	return fields
}

func (d *document) decodeSlice(path string, v hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(path, v, "a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		d.decodeValue(path+"["+strconv.Itoa(i)+"]", element, list.Index(i))
	}
	target.Set(list)
}

func (d *document) decodeMap(path string, v hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(path, v, "an object")
		return
	}
	m := reflect.MakeMapWithSize(target.Type(), len(object.Members))
	for _, member := range object.Members {
		name := memberName(member)
		memberPath := join(path, name)
		key := reflect.ValueOf(name)
		if m.MapIndex(key).IsValid() {
			d.report(member.Name.StartOffset, memberPath, "got the field twice, expected it once")
			continue
		}
		value := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(memberPath, member.Value, value)
		m.SetMapIndex(key, value)
	}
	target.Set(m)
}

func (d *document) decodeLiteral(path string, v hujson.Value, target reflect.Value) {
	literal, _ := v.Value.(hujson.Literal)
	kind := kindOf(v)
	switch target.Kind() {
	case reflect.String:
		if kind != '"' {
			d.wrongType(path, v, "a string")
			return
		}
		target.SetString(literal.String())
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			d.wrongType(path, v, "true or false")
			return
		}
		target.SetBool(literal.Bool())
	case reflect.Float64:
		if kind != '0' {
			d.wrongType(path, v, "a number")
			return
		}
		d.decodeFloat(path, v, literal, target)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(string(literal), 10, 64)
		if kind != '0' || err != nil {
			d.wrongType(path, v, "a whole number")
			return
		}
		target.SetInt(n)
	default:
		panic(fmt.Sprintf("settings: field %s has unsupported type %s", path, target.Type()))
	}
}

func (d *document) decodeFloat(path string, v hujson.Value, literal hujson.Literal, target reflect.Value) {
	n := literal.Float()
	if math.IsInf(n, 0) {
		d.wrongType(path, v, "a number")
		return
	}
	target.SetFloat(n)
}

func (d *document) wrongType(path string, v hujson.Value, expected string) {
	d.report(v.StartOffset, path, "got "+describe(v)+", expected "+expected)
}

// kindOf returns the kind of a value: '"', '0', 't', 'f' or 'n' for a literal, '{'
// for an object, and '[' for an array.
func kindOf(v hujson.Value) byte {
	return byte(v.Value.Kind())
}

// describe returns the type of a value, and its text if that is short.
func describe(v hujson.Value) string {
	const maxLiteralBytes = 40
	switch kind := kindOf(v); kind {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case 'n':
		return "null"
	default:
		literal, _ := v.Value.(hujson.Literal)
		name := map[byte]string{'"': "the string ", '0': "the number "}[kind]
		if len(literal) > maxLiteralBytes {
			return strings.TrimSpace("a long value, " + name)
		}
		return name + string(literal)
	}
}
