// Package logger writes structured logs asynchronously, without blocking the code that logs.
package logger
