package fleet

// Position is a point in the history of the platform's store.
type Position struct {
	Era      Era
	Revision Revision
}

// Before reports whether p is earlier than o. The eras decide, since a restored store
// gives out revisions again; if one of them is unknown the revisions do.
func (p Position) Before(o Position) bool {
	if p.Era != o.Era && p.Era != 0 && o.Era != 0 {
		return p.Era < o.Era
	}
	return p.Revision < o.Revision
}

// Restored reports whether the store was restored from a copy between p and the later
// position o.
func (p Position) Restored(o Position) bool { return p.Era != 0 && o.Era > p.Era }
