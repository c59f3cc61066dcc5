// Package gdtoml decodes TOML documents and reports all problems in them.
//
// The TOML library stops at the first value of a wrong type. [Decode] continues and
// returns all of them and all unknown keys, each with its line. [PositionsOf] returns
// the line of each field, for checks after decoding.
//
// # Usage
//
//	var s Settings
//	for _, f := range gdtoml.Decode(data, &s) {
//		fmt.Printf("line %d: %s: %s\n", f.Line(), f.Key(), f.Reason())
//	}
//	line := gdtoml.PositionsOf(data).Line("services.booking.address")
package gdtoml
