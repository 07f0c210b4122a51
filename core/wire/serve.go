package wire

import "slices"

// CanRun reports whether an engine with a model and adapters loaded can run a
// call that asks for others. An empty model on either side fits any: services
// have none, and an engine's is not known before its first report.
func CanRun(model ModelID, adapters []AdapterID, wantModel ModelID, wantAdapter AdapterID) bool {
	if model != "" && wantModel != "" && model != wantModel {
		return false
	}
	return wantAdapter == "" || model == "" || slices.Contains(adapters, wantAdapter)
}
