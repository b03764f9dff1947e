// Package assembler wires the components of an entry VM's process together with fx.
package assembler
