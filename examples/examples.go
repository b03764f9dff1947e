package examples

import _ "embed" // The documents are part of the binary.

// Berkep is the document of Bérkép Alapítvány's tabulator.
//
//go:embed berkep.json
var Berkep []byte

// Qurum is the document of Qurum Knotworks Lab's kit planner.
//
//go:embed qurum.json
var Qurum []byte
