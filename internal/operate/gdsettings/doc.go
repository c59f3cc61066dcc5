// Package gdsettings loads the settings of one process from a TOML file.
//
// Settings are specific to one process: its name, its failure domain, its listen
// addresses and the files that contain its keys. What all processes share is in the
// configuration, which a process reads from the platform; see package config.
//
// # Usage
//
//	s, err := gdsettings.Load[gdsettings.Agent]("/etc/godwitdrift/agent.toml")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // all problems, each with file, line and key
//		os.Exit(2)
//	}
//	key, err := s.FleetKey()
//
// # Errors
//
// Load reports all problems at once: unknown keys, values of a wrong type or out of
// range, missing keys and missing files. It returns settings only if there are none.
// The file has no tables, so that each problem has a single-part key and a line. File
// names in settings are relative to the directory of the settings file.
//
// # Secrets
//
// Settings contain no secrets, only the names of files that do. A [Key] read from such
// a file never reveals its bytes, whatever formatting verb or encoder is used.
package gdsettings
