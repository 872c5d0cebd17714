package streamversion

// Origin is what began a stream and has to write the rest of it.
type Origin struct {
	// Version is the software version of the backend server, empty for any.
	Version string
	// Weights is the version of the model's weights, 0 if unknown.
	Weights int64
}
