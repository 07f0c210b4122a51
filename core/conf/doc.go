// Package conf reads the settings of the processes. Flags override the TOML file
// that -config names; defaults and allowed values come from schema/conf.json.
package conf

//go:generate sh ../schema/generate.sh conf conf_gen.go json,toml
//go:generate go run reference_main.go ../../docs/settings.md
