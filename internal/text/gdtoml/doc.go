// Package gdtoml decodes TOML and reports everything that is wrong with it.
//
// The TOML library stops at the first value of a wrong type. [Decode] goes on and
// gathers all of them, together with all unknown keys, each with its line; and
// [PositionsOf] says on which line a field stands, for checks that run later.
//
// # Usage
//
//	var s Settings
//	for _, f := range gdtoml.Decode(data, &s) {
//		fmt.Printf("line %d: %s: %s\n", f.Line(), f.Key(), f.Reason())
//	}
//	line := gdtoml.PositionsOf(data).Line("services.booking.address")
package gdtoml
