package contract_test

import (
	"fmt"

	"bergamotreel/contract"
)

const text = `
[customer]
name = trinidad
memory = 80GB

[model "clerk-7b"]
checkpoint = clerk-7b:v3
memory = 16GB
max_wait = 8s

[service "booking"]
once = POST /book
`

func ExampleParse() {
	c, err := contract.Parse(text)
	if err != nil {
		fmt.Println(err)
		return
	}
	unit, _ := c.FindUnit("clerk-7b")
	booking, _ := c.FindService("booking")
	fmt.Println(c.Customer, unit.MaxReplicas, unit.MaxWait)
	fmt.Println(booking.IsAtMostOnce("POST", "//%62ook?slot=9"), booking.IsAtMostOnce("GET", "/book"))
	// Output:
	// trinidad 1 8s
	// true false
}

func ExampleContract_With() {
	c, err := contract.Parse(text)
	if err != nil {
		fmt.Println(err)
		return
	}
	_, err = c.With(map[string]string{`adapter "shop-12"`: "base = clerk-8b\ncheckpoint = shop-12:v1\nmemory = 200MB\n"})
	fmt.Println(err)
	// Output: contract: [adapter "shop-12"] base: no model "clerk-8b" in this contract
}
