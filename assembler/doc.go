// Package assembler puts the parts of an entry together with fx.
package assembler
