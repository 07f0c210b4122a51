package schema

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// SortedKeys returns the keys of m in lexical order.
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
		minItems := node["minItems"]
		if minItems == nil {
			minItems = 0
		}
		return fmt.Sprintf("%v to %v entries", minItems, node["maxItems"])
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

// Leaf is a property of a schema that is not an object itself. Path joins the names
// of the enclosing objects and of the property with dots. Node is the schema of the
// property, with its reference resolved.
type Leaf struct {
	Path     string
	Node     map[string]any
	Required bool
}

// Leaves returns the leaves of the definition def, including those of nested
// objects, with the properties of each object in lexical order.
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
