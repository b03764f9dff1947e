// Package logger writes structured logs without ever holding up the code that logs.
package logger
