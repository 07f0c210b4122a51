package share

import "fmt"

func ExampleMean() {
	var m Mean
	fmt.Println(m.Estimate(20))
	m.Learn(80)
	m.Learn(160)
	fmt.Println(m.Estimate(20))
	// Output:
	// 20
	// 90
}
