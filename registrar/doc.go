// Package registrar names the rows in the platform's store that outlive processes, and encodes them.
package registrar
