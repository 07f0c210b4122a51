package fleet_test

import (
	"fmt"

	"hornbeamcove.example/core/fleet"
)

// A restored store gives out revisions again, so the era decides.
func ExamplePosition_Before() {
	known := fleet.Position{Era: 1, Revision: 35}
	fmt.Println(known.Before(fleet.Position{Era: 1, Revision: 34}), known.Before(fleet.Position{Era: 2, Revision: 34}))
	// Output: false true
}
