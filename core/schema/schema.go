// Package schema holds the JSON schemas of messages and settings and validates
// values against them.
package schema

import (
	"bytes"
	_ "embed" // for the schema files
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"hornbeamcove.example/core/wire"
)

// Wire is the schema of messages and configuration objects.
//
//go:embed wire.json
var Wire []byte

// Conf is the schema of settings.
//
//go:embed conf.json
var Conf []byte

// Validator checks values against one definition of a schema.
type Validator struct {
	schema *jsonschema.Schema
	doc    any
}

// Compile returns the validator of the definition named def in the schema src.
func Compile(src []byte, def string) (v *Validator, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("compile schema %s: %w", def, err)
		}
	}()
	const url = "schema.json"
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(src))
	if err != nil {
		return nil, err
	}
	delete(doc.(map[string]any), "$id")
	c := jsonschema.NewCompiler()
	if err = c.AddResource(url, doc); err != nil {
		return nil, err
	}
	s, err := c.Compile(url + "#/$defs/" + def)
	if err != nil {
		return nil, err
	}
	return &Validator{s, doc}, nil
}

// MustCompile is Compile for the embedded schemas; it panics on an error.
func MustCompile(src []byte, def string) *Validator {
	v, err := Compile(src, def)
	if err != nil {
		panic(err)
	}
	return v
}

// Check validates a decoded value and returns its first fault, or nil. Numbers
// must be int64.
func (v *Validator) Check(value any) *wire.FieldError {
	err := v.schema.Validate(value)
	if err == nil {
		return nil
	}
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return &wire.FieldError{Field: "value", Value: "a value of another type", Want: err.Error()}
	}
	for len(ve.Causes) > 0 {
		ve = ve.Causes[0]
	}
	return v.fieldError(ve, value)
}

func (v *Validator) fieldError(ve *jsonschema.ValidationError, value any) *wire.FieldError {
	at := ve.InstanceLocation
	switch k := ve.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		field := strings.Join(append(at[:len(at):len(at)], k.Properties[0]), ".")
		return &wire.FieldError{Field: field, Value: "an unknown field", Want: "one of " + v.propertyNames(ve.SchemaURL)}
	case *kind.Required:
		field := strings.Join(append(at[:len(at):len(at)], k.Missing[0]), ".")
		return &wire.FieldError{Field: field, Value: "no value", Want: DescribeRange(v.property(ve.SchemaURL, k.Missing[0]))}
	}
	node := v.node(ve.SchemaURL)
	return &wire.FieldError{Field: strings.Join(at, "."), Value: FormatValue(node, lookup(value, at)), Want: DescribeRange(node)}
}

// node returns the part of the schema that a URL with a JSON pointer names.
func (v *Validator) node(url string) map[string]any {
	_, pointer, _ := strings.Cut(url, "#/")
	node, _ := lookup(v.doc, strings.Split(pointer, "/")).(map[string]any)
	return node
}

// property returns the schema of one property of the object schema at url, with
// a reference replaced by what it names.
func (v *Validator) property(url, name string) map[string]any {
	props, _ := v.node(url)["properties"].(map[string]any)
	node, _ := props[name].(map[string]any)
	return v.resolve(node)
}

// resolve returns the definition that node refers to, with the keywords of node
// in front, or node itself.
func (v *Validator) resolve(node map[string]any) map[string]any {
	ref, ok := node["$ref"].(string)
	if !ok {
		return node
	}
	merged := maps.Clone(v.node(ref))
	maps.Copy(merged, node)
	delete(merged, "$ref")
	return merged
}

func (v *Validator) propertyNames(url string) string {
	props, _ := v.node(url)["properties"].(map[string]any)
	return strings.Join(SortedKeys(props), ", ")
}

func lookup(value any, path []string) any {
	for _, p := range path {
		switch node := value.(type) {
		case map[string]any:
			value = node[p]
		case []any:
			i, err := strconv.Atoi(p)
			if err != nil || i < 0 || i >= len(node) {
				return nil
			}
			value = node[i]
		default:
			return nil
		}
	}
	return value
}

// maxQuotedLen bounds a value quoted in an error, in bytes.
const maxQuotedLen = 80

// FormatValue returns the value in a form for errors, cut to a bounded length. A value
// that its schema marks as writeOnly is a secret; only its length is shown.
func FormatValue(node map[string]any, value any) string {
	if node["writeOnly"] == true {
		return fmt.Sprintf("a hidden value of %d bytes", len(fmt.Sprint(value)))
	}
	return formatValue(value)
}

func formatValue(value any) string {
	switch x := value.(type) {
	case map[string]any:
		return "an object"
	case []any:
		return fmt.Sprintf("%d entries", len(x))
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprintf("%v", value)
	}
	if len(text) > maxQuotedLen {
		return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(string(text[:maxQuotedLen]), ""), len(text))
	}
	return string(text)
}

// Decode reads one JSON document. Numbers become int64; a fraction, an exponent
// or a number outside 64 bits is an error, so that no literal makes the
// validator compute with numbers of unbounded size.
func Decode(data []byte) (any, error) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, &wire.FieldError{Field: "document", Value: err.Error(), Want: "one JSON document"}
	}
	return parseIntegers(value, nil)
}

func parseIntegers(value any, at []string) (any, error) {
	var err error
	switch x := value.(type) {
	case json.Number:
		n, err := strconv.ParseInt(string(x), 10, 64)
		if err != nil {
			return nil, &wire.FieldError{Field: strings.Join(at, "."), Value: formatValue(x), Want: "a whole number of at most 64 bits"}
		}
		return n, nil
	case map[string]any:
		for _, k := range SortedKeys(x) {
			if x[k], err = parseIntegers(x[k], append(at, k)); err != nil {
				return nil, err
			}
		}
	case []any:
		for i := range x {
			if x[i], err = parseIntegers(x[i], append(at, strconv.Itoa(i))); err != nil {
				return nil, err
			}
		}
	}
	return value, nil
}
