// Package examples embeds the documents of the first two services.
package examples
