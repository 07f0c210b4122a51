package wire

import "slices"

// CanRun reports whether an engine with a loaded model and adapters can run a call
// that wants a model and an adapter. An empty model on either side matches any:
// plain services have none, and an engine's model is unknown before its first
// report.
func CanRun(loadedModel ModelID, loadedAdapters []AdapterID, wantModel ModelID, wantAdapter AdapterID) bool {
	if loadedModel != "" && wantModel != "" && loadedModel != wantModel {
		return false
	}
	return wantAdapter == "" || loadedModel == "" || slices.Contains(loadedAdapters, wantAdapter)
}
