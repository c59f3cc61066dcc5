// Package gdsettings reads the settings of one process from one TOML file.
//
// Settings say what a single process needs to know about itself: its name, its
// failure domain, the addresses on which it listens and the files with its
// keys. What the whole fleet shares is in the configuration, which the process
// reads from the platform; see package config.
//
// # Usage
//
//	s, err := gdsettings.Load[gdsettings.Agent]("/etc/godwitdrift/agent.toml")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // every problem, each with file, line and key
//		os.Exit(2)
//	}
//	key, err := s.FleetKey()
//
// # Errors
//
// Load gathers: one run names every unknown key, value of a wrong type, value
// out of its range, missing key and missing file. Nothing is returned unless the
// whole file is right. The file is flat, so that each problem has a key of one
// word and a line of its own. File names in settings are relative to the
// directory of the settings file.
//
// # Secrets
//
// Settings name the files of secrets and hold none themselves. A [Key] read from
// such a file never prints its bytes, whatever verb or encoder is used.
package gdsettings
