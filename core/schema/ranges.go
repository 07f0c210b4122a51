package schema

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// SortedKeys returns the keys of m in order.
func SortedKeys(m map[string]any) []string {
	return slices.Sorted(maps.Keys(m))
}

// DescribeRange describes the values that a schema node allows.
func DescribeRange(node map[string]any) string {
	low, high := node["minimum"], node["maximum"]
	switch {
	case node["enum"] != nil:
		return "one of " + joinValues(node["enum"].([]any))
	case low != nil && high != nil:
		return fmt.Sprintf("%v to %v", low, high)
	case low != nil:
		return fmt.Sprintf("at least %v", low)
	case node["pattern"] != nil:
		return fmt.Sprintf("text matching %v", node["pattern"])
	case node["maxLength"] != nil:
		return fmt.Sprintf("text of at most %v characters", node["maxLength"])
	case node["maxItems"] != nil:
		least := node["minItems"]
		if least == nil {
			least = 0
		}
		return fmt.Sprintf("%v to %v entries", least, node["maxItems"])
	case node["type"] != nil:
		return fmt.Sprintf("a value of type %v", node["type"])
	}
	return "a value that the schema allows"
}

func joinValues(values []any) string {
	names := make([]string, len(values))
	for i, v := range values {
		names[i] = fmt.Sprint(v)
	}
	return strings.Join(names, ", ")
}

// Leaf is one value in an object schema; Path joins the names of the objects
// around it with dots.
type Leaf struct {
	Path     string
	Node     map[string]any
	Required bool
}

// Leaves returns the values of the definition def, those of nested objects
// included, in order of their paths.
func (v *Validator) Leaves(def string) []Leaf {
	node, _ := lookup(v.doc, []string{"$defs", def}).(map[string]any)
	return v.leaves(nil, "", node)
}

func (v *Validator) leaves(out []Leaf, prefix string, node map[string]any) []Leaf {
	props, _ := node["properties"].(map[string]any)
	required, _ := node["required"].([]any)
	for _, name := range SortedKeys(props) {
		p := v.resolve(props[name].(map[string]any))
		if p["type"] == "object" {
			out = v.leaves(out, prefix+name+".", p)
			continue
		}
		out = append(out, Leaf{prefix + name, p, slices.Contains(required, any(name))})
	}
	return out
}
