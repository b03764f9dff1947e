// Package configurer decodes and checks the settings of one process.
package configurer
