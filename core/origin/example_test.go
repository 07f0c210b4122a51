package origin_test

import (
	"fmt"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/origin"
)

// A router that has observed one version of a service for long enough knows the origin of a
// stream without a record, unless another router has seen a second version.
func ExampleResolve() {
	versions := func(vs ...fleet.SoftwareVersion) []fleet.SoftwareVersion { return vs }
	own := origin.Answer{Versions: versions("v1"), Covered: true}
	r, ok := origin.Resolve([]origin.Answer{own}, "llm")
	fmt.Println(r.Version, ok)
	_, ok = origin.Resolve([]origin.Answer{own, {Versions: versions("v2")}}, "llm")
	fmt.Println(ok)
	// Output:
	// v1 true
	// false
}
