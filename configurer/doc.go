// Package configurer decodes and validates the settings file of an entry.
package configurer
