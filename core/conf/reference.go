package conf

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"hornbeamcove.example/core/schema"
)

// Reference writes the settings of all commands as Markdown tables.
func Reference(w io.Writer) error {
	var b bytes.Buffer
	b.WriteString("# Settings\n\nGenerated from `core/schema/conf.json` by `go generate`; do not edit.\n\n" +
		"Each key is set in the TOML file that `-config` names or by a flag of the same name; flags override the\n" +
		"file. A list given as a flag is separated by commas. Unknown keys are errors.\n")
	writeTable(&b, "hbrouter", routerSchema().Leaves("Router"))
	writeTable(&b, "hbagent", agentSchema().Leaves("Agent"))
	_, err := w.Write(b.Bytes())
	if err != nil {
		return fmt.Errorf("write settings reference: %w", err)
	}
	return nil
}

func writeTable(b *bytes.Buffer, command string, leaves []schema.Leaf) {
	fmt.Fprintf(b, "\n## %s\n\n| key | type | allowed | default | meaning |\n|---|---|---|---|---|\n", command)
	for _, l := range leaves {
		fmt.Fprintf(b, "| `%s` | %v | %s | %s | %s |\n",
			l.Path, l.Node["type"], escapeCell(describeAllowed(l)), escapeCell(describeDefault(l)), escapeCell(fmt.Sprint(l.Node["description"])))
	}
}

func escapeCell(text string) string { return strings.ReplaceAll(text, "|", `\|`) }

// describeAllowed describes the values of a setting; for a list also those of its entries.
func describeAllowed(l schema.Leaf) string {
	text := schema.DescribeRange(l.Node)
	if items, ok := l.Node["items"].(map[string]any); ok {
		text += ", each " + schema.DescribeRange(items)
	}
	return text
}

func describeDefault(l schema.Leaf) string {
	switch d := l.Node["default"]; {
	case l.Required:
		return "required"
	case l.Node["type"] == "array":
		return "empty"
	default:
		return fmt.Sprint(d)
	}
}
