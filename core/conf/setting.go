package conf

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hornbeamcove.example/core/schema"
	"hornbeamcove.example/core/wire"
)

// setting is the value of one setting; it implements flag.Value.
type setting struct {
	leaf  schema.Leaf
	value any
}

// rangeError returns the error for a value that the schema doesn't allow.
func (s *setting) rangeError(value string) error {
	return &wire.FieldError{Field: s.leaf.Path, Value: schema.FormatValue(s.leaf.Node, value), Want: schema.DescribeRange(s.leaf.Node)}
}

// String implements flag.Value. It returns the default, not the current value.
func (s *setting) String() string {
	if s == nil || s.leaf.Node["default"] == nil {
		return ""
	}
	return describeDefault(s.leaf)
}

// Set implements flag.Value. A list is separated by commas.
func (s *setting) Set(text string) error {
	switch s.leaf.Node["type"] {
	case "integer":
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return s.rangeError(text)
		}
		s.value = n
	case "array":
		list := []any{}
		for part := range strings.SplitSeq(text, ",") {
			if part != "" {
				list = append(list, part)
			}
		}
		s.value = list
	default:
		s.value = text
	}
	return nil
}

// settings holds all settings of a command by their dotted paths.
type settings map[string]*setting

func newSettings(leaves []schema.Leaf) settings {
	all := make(settings, len(leaves))
	for _, l := range leaves {
		s := &setting{leaf: l, value: l.Node["default"]}
		if n, ok := s.value.(json.Number); ok {
			s.value, _ = n.Int64()
		}
		all[l.Path] = s
	}
	return all
}

// value returns the settings as the nested objects that the schema describes.
func (all settings) value() map[string]any {
	root := map[string]any{}
	for path, s := range all {
		if s.value == nil {
			continue
		}
		node, names := root, strings.Split(path, ".")
		for _, n := range names[:len(names)-1] {
			if node[n] == nil {
				node[n] = map[string]any{}
			}
			node = node[n].(map[string]any)
		}
		node[names[len(names)-1]] = s.value
	}
	return root
}

// parse is an ff.ConfigFileParser for TOML. It checks keys and types itself, so
// that errors name the key and the allowed values.
func (all settings) parse(r io.Reader, set func(name, value string) error) error {
	doc := map[string]any{}
	if err := toml.NewDecoder(r).Decode(&doc); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			return fmt.Errorf("line %d, column %d: %w", row, col, err)
		}
		return err
	}
	return all.assign("", doc, set)
}

// assign calls set for each value in the table doc, whose keys are prefixed by
// prefix.
func (all settings) assign(prefix string, doc map[string]any, set func(name, value string) error) error {
	for _, key := range schema.SortedKeys(doc) {
		path := prefix + key
		s := all[path]
		if table, ok := doc[key].(map[string]any); ok && s == nil && all.isObject(path) {
			if err := all.assign(path+".", table, set); err != nil {
				return err
			}
			continue
		}
		if s == nil {
			return &wire.FieldError{Field: path, Value: "an unknown key", Want: "one of " + all.keys()}
		}
		text, err := s.text(doc[key])
		if err != nil {
			return err
		}
		if err = set(path, text); err != nil {
			return err
		}
	}
	return nil
}

// isObject reports whether path names an object that contains settings.
func (all settings) isObject(path string) bool {
	for p := range all {
		if strings.HasPrefix(p, path+".") {
			return true
		}
	}
	return false
}

func (all settings) keys() string {
	m := make(map[string]any, len(all))
	for p := range all {
		m[p] = nil
	}
	return strings.Join(schema.SortedKeys(m), ", ")
}

// text checks the type of a TOML value and returns the value in the form that Set
// parses.
func (s *setting) text(value any) (string, error) {
	switch v := value.(type) {
	case string:
		if s.leaf.Node["type"] == "string" {
			return v, nil
		}
	case int64:
		if s.leaf.Node["type"] == "integer" {
			return strconv.FormatInt(v, 10), nil
		}
	case []any:
		if s.leaf.Node["type"] == "array" {
			return s.joinList(v)
		}
	}
	return "", s.rangeError(fmt.Sprint(value))
}

// joinList joins the entries of a list with commas. Entries with a comma are
// invalid, since Set would split them.
func (s *setting) joinList(values []any) (string, error) {
	parts := make([]string, len(values))
	for i, v := range values {
		text, ok := v.(string)
		if !ok || text == "" || strings.Contains(text, ",") {
			return "", s.rangeError(fmt.Sprint(v))
		}
		parts[i] = text
	}
	return strings.Join(parts, ","), nil
}
