// Package examples holds the sample contracts of the two workloads, for `dev`,
// the tests and the docs.
package examples

import _ "embed"

// Trinidad is the contract of the instrument hire association.
//
//go:embed trinidad.ini
var Trinidad string

// Kathmandu is the contract of the debt advice franchise.
//
//go:embed kathmandu.ini
var Kathmandu string
