package share

import "fmt"

func ExampleMean() {
	var m MovingAverage
	fmt.Println(m.Estimate(20))
	m.Observe(80)
	m.Observe(160)
	fmt.Println(m.Estimate(20))
	// Output:
	// 20
	// 90
}
